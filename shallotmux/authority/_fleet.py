"""One zone's authority together with the fleet's."""

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

#: Kinds of objects that apply to the whole fleet.
FLEET_KINDS = frozenset(('defaults', 'exception'))


def is_fleet_command(command: Command) -> bool:
    """Tell whether a command belongs to the fleet group and not to a zone group."""
    match command:
        case PutObject(item=item):
            return object_kind(item) in FLEET_KINDS
        case DeleteObject(kind=kind):
            return kind in FLEET_KINDS
        case _:
            return False


class FleetAuthority:
    """Sends fleet-wide changes to the fleet group and all others to the zone group.

    Leadership and freshness are those of the zone group: a zone that cannot reach the fleet group
    continues with the last defaults and exceptions it received.
    """

    def __init__(self, zone: ReplicatedAuthority, fleet: ReplicatedAuthority) -> None:
        self.zone = zone
        self.fleet = fleet
        self._view = ZoneState()
        self._seen: tuple[ZoneState, ZoneState, int] | None = None

    async def submit(self, command: Command) -> Result:
        """Commit a command in the group that it belongs to."""
        group = self.fleet if is_fleet_command(command) else self.zone
        return await group.submit(command)

    def read(self) -> ZoneState:
        """Return the zone's state with the fleet's defaults and exceptions."""
        zone, fleet = self.zone.read(), self.fleet.read()
        seen = (zone, fleet, zone.revision)
        if self._seen is None or not _is_same(self._seen, seen):
            objects = ChainMap(zone.configuration.objects, fleet.configuration.objects)
            self._view = replace(zone, configuration=ConfigurationState(objects))  # type: ignore[arg-type]
            self._seen = seen
        return self._view

    def is_fresh(self) -> bool:
        """Tell whether the zone's state was complete within the freshness limit."""
        return self.zone.is_fresh()

    def leadership(self) -> Leadership:
        """Return who leads the zone group."""
        return self.zone.leadership()

    async def wait_changed(self, revision: int) -> None:
        """Return when the revision of the zone's state is beyond the given one."""
        await self.zone.wait_changed(revision)


def _is_same(
    first: tuple[ZoneState, ZoneState, int], second: tuple[ZoneState, ZoneState, int]
) -> bool:
    return first[0] is second[0] and first[1] is second[1] and first[2] == second[2]
