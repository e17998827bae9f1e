"""Commands that show the state of the fleet."""

from __future__ import annotations

from itertools import chain
from typing import Any, TextIO

import click
import trio

from shallotmux.cli._history import read_steps, summarize_outcome
from shallotmux.cli._output import print_json, print_rows
from shallotmux.cli._session import Session, pass_session, with_examples
from shallotmux.operators import OperatorClient

SECTIONS = ('zones', 'instances', 'endpoints', 'pending')


@click.command(epilog=with_examples('shallotmux status', 'shallotmux --output json status'))
@pass_session
def status(session: Session) -> None:
    """Show zones, leaders, instances, endpoints and pending changes."""
    response = session.call(lambda client: client.view('status'))
    print_status(session, response)


@click.command(epilog=with_examples('shallotmux usage', 'shallotmux usage --customer tailors'))
@click.option('--customer', help='Show only this customer.')
@pass_session
def usage(session: Session, customer: str | None) -> None:
    """Show usage by customer and window."""
    query = {'customer': customer} if customer else {}
    response = session.call(lambda client: client.view('usage', **query))
    session.show(response, response['items'])


@click.command(
    epilog=with_examples(
        'shallotmux explain',
        'shallotmux explain chatcmpl-0123456789abcdef-...',
        'shallotmux explain --log entry.log 9c41d07be2a35f68',
    )
)
@click.argument('subject', required=False)
@click.option(
    '--log',
    type=click.File(errors='replace'),
    multiple=True,
    help='Log file; SUBJECT is then a request id, and no instance is contacted.',
)
@pass_session
def explain(session: Session, subject: str | None, log: tuple[TextIO, ...]) -> None:
    """Show the recent decisions on SUBJECT (a response id, endpoint or zone) with their figures.

    With --log, show the log entries of a request and how it ended.
    """
    if log:
        _explain_from_logs(session, subject, log)
        return
    query = {'subject': subject} if subject else {}
    response = session.call(lambda client: client.view('decision', **query))
    columns = ('time_s', 'kind', 'subject', 'outcome', 'reason', 'figures')
    session.show(response, response['items'], *columns)


def _explain_from_logs(session: Session, subject: str | None, logs: tuple[TextIO, ...]) -> None:
    if subject is None:
        raise click.UsageError('--log requires a request id')
    steps = read_steps(chain.from_iterable(logs), subject)
    if not steps:
        raise click.ClickException(f'no log line mentions request {subject}')
    rows = [{'time_s': step.time_s, 'kind': step.kind, 'text': step.text} for step in steps]
    conclusion = summarize_outcome(steps)
    session.show({'items': rows, 'conclusion': conclusion}, rows)
    if not session.as_json:
        click.echo(conclusion)


@click.command(epilog=with_examples('shallotmux watch', 'shallotmux watch --interval 5 --count 3'))
@click.option(
    '--interval', type=click.FloatRange(0.1), default=2.0, help='Seconds between requests.'
)
@click.option('--count', type=click.IntRange(1), help='Number of requests after which to stop.')
@pass_session
def watch(session: Session, interval: float, count: int | None) -> None:
    """Show the status now and whenever it changes, until interrupted."""

    async def act(client: OperatorClient) -> None:
        previous: dict[str, Any] = {}
        reads = 0
        while True:
            current = await client.view('status')
            if current != previous:
                print_status(session, current)
            previous = current
            reads += 1
            if reads == count:
                return
            await trio.sleep(interval)

    session.call(act)


def print_status(session: Session, response: dict[str, Any]) -> None:
    """Print a status, section by section."""
    if session.as_json:
        print_json(response)
        return
    ready = 'ready' if response['ready'] else 'not ready'
    click.echo(
        f'seen from {response["instance"]} in {response["zone"]}, version {response["version"]}, {ready}'
    )
    for section in SECTIONS:
        click.echo(f'\n{section}')
        print_rows(response[section])
