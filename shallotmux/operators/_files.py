"""Configuration files: reading them, and applying them to an instance."""

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
    """A difference between an object in force and the configuration file.

    :param current: fields in force, or None if the object does not exist.
    :param desired: fields in the file.
    :param revision: revision in force, 0 if the object does not exist.
    """

    object_name: ObjectName
    current: dict[str, Any] | None
    desired: dict[str, Any]
    revision: int

    def diff(self) -> list[str]:
        """Return the lines of a unified diff."""
        before = [] if self.current is None else _render(self.current)
        return list(
            unified_diff(
                before,
                _render(self.desired),
                f'{self.object_name} (revision {self.revision})',
                f'{self.object_name} (file)',
                lineterm='',
            )
        )


def read_configuration(path: Path, zone: str) -> list[tuple[ObjectName, dict[str, Any]]]:
    """Return the objects of a configuration file, in the order in which they are applied.

    :param zone: zone whose section under ``zones`` is merged into the objects for all zones.
    :raises SettingsError: if the file cannot be read.
    :raises CallerError: if an object is invalid; the message names the object and the field.
    """
    content = read_json(path)
    if not isinstance(content, dict):
        raise SettingsError(f'{path}: a JSON object is expected')
    zones = content.pop('zones', {})
    _check_kinds(content, str(path))
    for zone_name, section in zones.items():
        _check_kinds(section, f'{path}: zones.{zone_name}')
    zone_section = zones.get(zone, {})
    merged = {
        each: {**content.get(each, {}), **zone_section.get(each, {})} for each in OBJECT_CLASSES
    }
    object_names = [ObjectName(kind, name) for kind, by_name in merged.items() for name in by_name]
    return [
        (
            object_name,
            object_to_builtins(
                build_object(object_name, merged[object_name.kind][object_name.name])
            ),
        )
        for object_name in object_names
    ]


async def plan_changes(
    client: OperatorClient, objects: Sequence[tuple[ObjectName, dict[str, Any]]]
) -> list[Change]:
    """Return the objects that differ from the configuration in force."""
    changes = []
    for object_name, desired in objects:
        stored = await client.find(object_name)
        current = None if stored is None else stored['item']
        if current != desired:
            changes.append(
                Change(object_name, current, desired, stored['revision'] if stored else 0)
            )
    return changes


async def send_changes(
    client: OperatorClient, changes: Sequence[Change], responses: list[dict[str, Any]]
) -> None:
    """Send changes in order; each replaces only the revision it was compared with.

    :param responses: list to which responses are appended, so that they are known if a later change
        fails.
    """
    for change in changes:
        response = await client.put(change.object_name, change.desired, change.revision)
        responses.append({'subject': str(change.object_name), **response})


def _render(content: object) -> list[str]:
    """Return the lines of indented JSON."""
    return json.dumps(content, indent=2, ensure_ascii=False).splitlines()


def _check_kinds(content: Any, source: str) -> None:
    """Check that a configuration maps known kinds to objects by name.

    :raises SettingsError: if it is not a JSON object or has an unknown kind.
    :raises CallerError: if the value of a kind is not a JSON object.
    """
    if not isinstance(content, dict):
        raise SettingsError(f'{source}: a JSON object is expected')
    for kind, by_name in content.items():
        if kind not in OBJECT_CLASSES:
            raise SettingsError(f'{source}: {kind}: allowed are {", ".join(OBJECT_CLASSES)}')
        if not isinstance(by_name, dict):
            raise CallerError(
                f'{source}: {kind}: an object of names is expected', status=400, code='invalid'
            )
