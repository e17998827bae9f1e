"""Command that applies a configuration file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from shallotmux.cli._session import Session, pass_session, with_examples
from shallotmux.errors import ShallotmuxError
from shallotmux.operators import (
    Change,
    OperatorClient,
    plan_changes,
    read_configuration,
    send_changes,
)


@click.command(
    epilog=with_examples(
        'shallotmux apply --dry-run configuration.json', 'shallotmux apply configuration.json'
    )
)
@click.argument('file', type=click.Path(path_type=Path))
@click.option('--dry-run', is_flag=True, help='Show the differences without sending changes.')
@pass_session
def apply(session: Session, file: Path, dry_run: bool) -> None:
    """Create and replace the objects in FILE; other objects are left unchanged.

    FILE contains objects by kind and name, and under "zones" additional objects for single zones;
    of these, the objects for the zone of the instance are applied.

    Shows the differences from the configuration in force before it sends changes. Stops at the
    first change that fails; the file can be applied again.
    """
    responses: list[dict[str, Any]] = []
    planned: list[Change] = []

    async def act(client: OperatorClient) -> None:
        zone = (await client.view('status'))['zone']
        planned.extend(await plan_changes(client, read_configuration(file, zone)))
        if not session.as_json:
            _print_diff(planned)
        if not dry_run:
            await _send(client, planned, responses)

    session.call(act)
    _summarize(session, planned, responses)


async def _send(
    client: OperatorClient, planned: list[Change], responses: list[dict[str, Any]]
) -> None:
    try:
        await send_changes(client, planned, responses)
    except ShallotmuxError:
        failed = planned[len(responses)].object_name
        click.echo(f'{len(responses)} of {len(planned)} changes made; failed at {failed}', err=True)
        raise


def _print_diff(planned: list[Change]) -> None:
    for change in planned:
        click.echo('\n'.join(change.diff()))


def _summarize(session: Session, planned: list[Change], responses: list[dict[str, Any]]) -> None:
    if session.as_json:
        names = [str(change.object_name) for change in planned]
        session.show({'planned': names, 'done': responses}, [])
        return
    for response in responses:
        session.show_change(response['subject'], response)
    click.echo(f'{len(planned)} differences, {len(responses)} changes made')
