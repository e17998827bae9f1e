"""Commands for configuration objects."""

from __future__ import annotations

from typing import Any, TextIO

import click
import json5

from shallotmux.cli._session import Session, pass_session, with_examples
from shallotmux.errors import SettingsError
from shallotmux.operators import (
    OBJECT_CLASSES,
    ObjectName,
    OperatorClient,
    OperatorError,
    build_object,
    object_to_builtins,
)

KIND = click.Choice(tuple(OBJECT_CLASSES))
REVISION_HELP = 'Revision to replace or remove; by default the one in force.'


@click.command(
    epilog=with_examples('shallotmux get customer', 'shallotmux --output json get route sorter')
)
@click.argument('kind', type=KIND)
@click.argument('name', required=False)
@pass_session
def get(session: Session, kind: str, name: str | None) -> None:
    """List the objects of a KIND, or show the object NAME."""
    path = kind if name is None else f'{kind}/{name}'
    response = session.call(lambda client: client.view(path))
    items = response['items'] if name is None else [response]
    rows = [{'name': each['name'], 'revision': each['revision'], **each['item']} for each in items]
    session.show(response, rows)


@click.command(
    epilog=with_examples(
        'shallotmux put customer tailors customer.json',
        'shallotmux put route sorter - < route.json',
    )
)
@click.argument('kind', type=KIND)
@click.argument('name')
@click.argument('file', type=click.File(encoding='utf-8'))
@click.option('--revision', type=click.IntRange(0), help=REVISION_HELP)
@pass_session
def put(session: Session, kind: str, name: str, file: TextIO, revision: int | None) -> None:
    """Create or replace the object NAME with the fields in FILE (- for standard input)."""
    object_name = ObjectName(kind, name)

    async def act(client: OperatorClient) -> dict[str, Any]:
        try:
            fields = json5.loads(file.read())
        except ValueError as error:
            raise SettingsError(f'{file.name}: not valid JSON: {error}') from error
        item = object_to_builtins(build_object(object_name, fields))
        return await client.put(
            object_name, item, await resolve_revision(client, object_name, revision)
        )

    session.show_change(str(object_name), session.call(act))


@click.command(epilog=with_examples('shallotmux delete route sorter'))
@click.argument('kind', type=KIND)
@click.argument('name')
@click.option('--revision', type=click.IntRange(0), help=REVISION_HELP)
@pass_session
def delete(session: Session, kind: str, name: str, revision: int | None) -> None:
    """Remove the object NAME of a KIND."""
    object_name = ObjectName(kind, name)

    async def act(client: OperatorClient) -> dict[str, Any]:
        expected_revision = await resolve_revision(client, object_name, revision)
        if expected_revision == 0:
            raise OperatorError(
                f'{object_name} does not exist', status=404, code='absent', details={}
            )
        return await client.delete(object_name, expected_revision)

    session.show_change(str(object_name), session.call(act))


@click.group()
def exception() -> None:
    """Override a default for one object, with a written reason."""


@exception.command(
    'add',
    epilog=with_examples(
        'shallotmux exception add night-shift --subject customer/tailors \\',
        '    --setting cheap_share --amount 0 --reason "cutting machine is supervised at night"',
    ),
)
@click.argument('name')
@click.option(
    '--subject', required=True, help='Object it applies to, for example customer/tailors.'
)
@click.option('--setting', required=True, help='Name of the default that is overridden.')
@click.option('--amount', required=True, type=float, help='Value that replaces the default.')
@click.option('--reason', required=True, help='Reason; must not be empty.')
@pass_session
def add_exception(session: Session, /, name: str, **fields: Any) -> None:
    """Add the exception NAME, which must not exist yet."""
    object_name = ObjectName('exception', name)

    async def act(client: OperatorClient) -> dict[str, Any]:
        return await client.put(
            object_name, object_to_builtins(build_object(object_name, fields)), 0
        )

    session.show_change(str(object_name), session.call(act))


async def resolve_revision(
    client: OperatorClient, object_name: ObjectName, revision: int | None
) -> int:
    """Return the revision if given, otherwise the one in force; 0 if the object does not exist."""
    if revision is not None:
        return revision
    current = await client.find(object_name)
    return 0 if current is None else int(current['revision'])
