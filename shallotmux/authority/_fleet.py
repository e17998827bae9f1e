"""State and commands of one zone, combined with the settings that apply to the whole fleet."""

from __future__ import annotations

from collections import ChainMap
from dataclasses import replace

from shallotmux.authority._configuration import (
    ConfigurationState,
    DeleteObject,
    PutObject,
    object_kind,
)
from shallotmux.authority._local import Leadership
from shallotmux.authority._replicated import ReplicatedAuthority
from shallotmux.authority._state import Command, Result, ZoneState

#: Kinds of configuration objects that apply to the whole fleet.
FLEET_KINDS = frozenset(('defaults', 'exception'))


def is_fleet_command(command: Command) -> bool:
    """Return whether a command is committed in the fleet group instead of a zone group."""
    match command:
        case PutObject(item=item):
            return object_kind(item) in FLEET_KINDS
        case DeleteObject(kind=kind):
            return kind in FLEET_KINDS
        case _:
            return False


class FleetAuthority:
    """Submits fleet-wide changes to the fleet group and all others to the zone group.

    Leadership and freshness are those of the zone group: a zone that cannot reach the fleet group
    continues with the last defaults and exceptions it received.
    """

    def __init__(self, zone: ReplicatedAuthority, fleet: ReplicatedAuthority) -> None:
        self.zone = zone
        self.fleet = fleet
        self._view = ZoneState()
        self._view_sources: tuple[ZoneState, ZoneState, int] | None = None

    async def submit(self, command: Command) -> Result:
        """Commit a command in the fleet group or the zone group."""
        group = self.fleet if is_fleet_command(command) else self.zone
        return await group.submit(command)

    def read(self) -> ZoneState:
        """Return the zone's state with the fleet's defaults and exceptions."""
        zone, fleet = self.zone.read(), self.fleet.read()
        # The groups change their state in place, and the view holds a copy of the zone's revision.
        sources = (zone, fleet, zone.revision)
        if self._view_sources is None or not _are_identical(self._view_sources, sources):
            objects = ChainMap(zone.configuration.objects, fleet.configuration.objects)
            self._view = replace(zone, configuration=ConfigurationState(objects))  # type: ignore[arg-type]
            self._view_sources = sources
        return self._view

    def is_fresh(self) -> bool:
        """Return whether the zone's state was confirmed within the freshness limit."""
        return self.zone.is_fresh()

    def leadership(self) -> Leadership:
        """Return the leadership of the zone group."""
        return self.zone.leadership()

    async def wait_changed(self, revision: int) -> None:
        """Wait until the revision of the zone's state exceeds the given one."""
        await self.zone.wait_changed(revision)


def _are_identical(
    first: tuple[ZoneState, ZoneState, int], second: tuple[ZoneState, ZoneState, int]
) -> bool:
    return first[0] is second[0] and first[1] is second[1] and first[2] == second[2]
