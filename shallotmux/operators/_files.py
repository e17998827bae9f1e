"""Configuration files, and bringing an instance in line with one."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from difflib import unified_diff
from pathlib import Path
from typing import Any

from shallotmux.errors import CallerError, SettingsError
from shallotmux.operators._client import OperatorClient
from shallotmux.operators._objects import (
    OBJECT_CLASSES,
    ObjectName,
    build_object,
    object_to_builtins,
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
        before = [] if self.current is None else _render(self.current)
        return list(
            unified_diff(
                before,
                _render(self.wanted),
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
    _check_kinds(plain, str(path))
    for zone_name, section in zones.items():
        _check_kinds(section, f'{path}: zones.{zone_name}')
    own = zones.get(zone, {})
    merged = {each: {**plain.get(each, {}), **own.get(each, {})} for each in OBJECT_CLASSES}
    places = [ObjectName(kind, name) for kind, named in merged.items() for name in named]
    return [
        (place, object_to_builtins(build_object(place, merged[place.kind][place.name])))
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


def _render(content: object) -> list[str]:
    """Return the lines of a value as indented JSON."""
    return json.dumps(content, indent=2, ensure_ascii=False).splitlines()


def _check_kinds(plain: Any, source: str) -> None:
    """Refuse a configuration whose top level is not kinds of objects by name.

    :raises CallerError: naming the file and the kind.
    """
    if not isinstance(plain, dict):
        raise SettingsError(f'{source}: a JSON object is expected')
    for kind, named in plain.items():
        if kind not in OBJECT_CLASSES:
            raise SettingsError(f'{source}: {kind}: allowed are {", ".join(OBJECT_CLASSES)}')
        if not isinstance(named, dict):
            raise CallerError(
                f'{source}: {kind}: an object of names is expected', status=400, code='invalid'
            )
