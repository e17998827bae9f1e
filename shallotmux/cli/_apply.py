"""Bring the configuration in line with a file."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from difflib import unified_diff
from pathlib import Path
from typing import Any

import click

from shallotmux.cli._objects import check_kinds
from shallotmux.cli._session import Session, pass_session, render, with_examples
from shallotmux.errors import SettingsError, ShallotmuxError
from shallotmux.operators import (
    OBJECT_CLASSES,
    ObjectName,
    OperatorClient,
    build_object,
    plain_object,
)
from shallotmux.settings import read_json


@dataclass(frozen=True, slots=True)
class Change:
    """An object that differs from the file.

    :param current: fields in force, or None when the object does not exist.
    :param revision: revision in force, 0 when the object does not exist.
    """

    place: ObjectName
    current: dict[str, Any] | None
    wanted: dict[str, Any]
    revision: int

    def diff(self) -> list[str]:
        """Return the lines of a unified diff."""
        before = [] if self.current is None else render(self.current)
        return list(
            unified_diff(
                before,
                render(self.wanted),
                f'{self.place} (revision {self.revision})',
                f'{self.place} (file)',
                lineterm='',
            )
        )


def read_configuration(path: Path, zone: str) -> list[tuple[ObjectName, dict[str, Any]]]:
    """Return the objects of a configuration file, in the order in which they are applied.

    :param zone: zone whose section under ``zones`` is added to the objects for all zones.
    :raises SettingsError: if the file cannot be read.
    :raises CallerError: naming the object and the field that is wrong.
    """
    plain = read_json(path)
    if not isinstance(plain, dict):
        raise SettingsError(f'{path}: a JSON object is expected')
    zones = plain.pop('zones', {})
    check_kinds(plain, str(path))
    for zone_name, section in zones.items():
        check_kinds(section, f'{path}: zones.{zone_name}')
    own = zones.get(zone, {})
    merged = {each: {**plain.get(each, {}), **own.get(each, {})} for each in OBJECT_CLASSES}
    places = [ObjectName(kind, name) for kind, named in merged.items() for name in named]
    return [
        (place, plain_object(build_object(place, merged[place.kind][place.name])))
        for place in places
    ]


async def plan_changes(
    client: OperatorClient, objects: Sequence[tuple[ObjectName, dict[str, Any]]]
) -> list[Change]:
    """Return the objects that differ from what is in force."""
    changes = []
    for place, wanted in objects:
        kept = await client.find(place)
        current = None if kept is None else kept['item']
        if current != wanted:
            changes.append(Change(place, current, wanted, kept['revision'] if kept else 0))
    return changes


async def send_changes(
    client: OperatorClient, changes: Sequence[Change], done: list[dict[str, Any]]
) -> None:
    """Send changes in order; each replaces only the revision that the diff was made against.

    :param done: receives the answers, so that they are known when a later change fails.
    """
    for change in changes:
        answer = await client.put(change.place, change.wanted, change.revision)
        done.append({'subject': str(change.place), **answer})


@click.command(
    epilog=with_examples(
        'shallotmux apply --dry-run configuration.json', 'shallotmux apply configuration.json'
    )
)
@click.argument('file', type=click.Path(path_type=Path))
@click.option('--dry-run', is_flag=True, help='Show the differences and send nothing.')
@pass_session
def apply(session: Session, file: Path, dry_run: bool) -> None:
    """Create and replace the objects in FILE; objects that it does not name are left alone.

    FILE holds objects by kind and name, and under "zones" further objects of single zones; those
    of the zone of the instance are applied.

    Shows the differences to the configuration in force before it sends. Stops at the first change
    that fails; the file can be applied again.
    """
    done: list[dict[str, Any]] = []
    planned: list[Change] = []

    async def act(client: OperatorClient) -> None:
        zone = (await client.view('status'))['zone']
        planned.extend(await plan_changes(client, read_configuration(file, zone)))
        if not session.as_json:
            _print_diff(planned)
        if not dry_run:
            await _send(client, planned, done)

    session.call(act)
    _summarize(session, planned, done)


async def _send(client: OperatorClient, planned: list[Change], done: list[dict[str, Any]]) -> None:
    try:
        await send_changes(client, planned, done)
    except ShallotmuxError:
        failed = planned[len(done)].place
        click.echo(f'{len(done)} of {len(planned)} changes made; failed at {failed}', err=True)
        raise


def _print_diff(planned: list[Change]) -> None:
    for change in planned:
        click.echo('\n'.join(change.diff()))


def _summarize(session: Session, planned: list[Change], done: list[dict[str, Any]]) -> None:
    if session.as_json:
        names = [str(change.place) for change in planned]
        session.show({'planned': names, 'done': done}, [])
        return
    for answer in done:
        session.show_change(answer['subject'], answer)
    click.echo(f'{len(planned)} differences, {len(done)} changes made')
