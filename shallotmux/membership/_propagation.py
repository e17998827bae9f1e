"""Propagation of a change: the zones in which it is in force."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from shallotmux.authority import FLEET_KINDS, Command, is_fleet_command
from shallotmux.membership._messages import Report
from shallotmux.membership._policy import GroupPlan
from shallotmux.transport import instance_name


@dataclass(frozen=True, slots=True)
class Propagation:
    """Zones in which a revision is in force, and the rest.

    :param in_force: zones in which every instance has reported the revision or a later one.
    :param pending: all other zones of the group.
    """

    revision: int
    in_force: tuple[str, ...]
    pending: tuple[str, ...]


def lowest_revisions(plan: GroupPlan, reports: Iterable[Report]) -> dict[str, int]:
    """Return the lowest revision in force on the instances of each zone.

    An instance that never reported counts as revision 0. One that no longer reports counts with
    its last report, because it may be partitioned and still serve with that revision.

    :param reports: ordered by time; the last one of an instance counts, whichever incarnation it
        is from.
    """
    newest = {instance_name(report.identity): report.revision for report in reports}
    return {
        zone: min((newest.get(name, 0) for name in names), default=0)
        for zone, names in plan.zones.items()
    }


class RevisionSource(Protocol):
    """Provides the lowest revision of a group in force in each zone."""

    def zone_revisions(self) -> Mapping[str, int]:
        """Return the revisions by zone, as last published by the leader."""


class PropagationTracker:
    """Looks up in which zones an accepted change is in force, for operators.

    A change is in force in a zone once all its instances have reported it; until then it is
    pending there. The reported revisions may lag by a few poll intervals, but are never ahead.

    :param zone: the zone group of this instance.
    :param fleet: the fleet group.
    """

    def __init__(self, zone: RevisionSource, fleet: RevisionSource, zones: Iterable[str]) -> None:
        self._zone = zone
        self._fleet = fleet
        self._zones = tuple(zones)

    def find(self, command: Command, revision: int) -> Propagation:
        """Return the propagation of the revision at which a command was applied."""
        return self._find(revision, is_fleet=is_fleet_command(command))

    def find_by_kind(self, kind: str, revision: int) -> Propagation:
        """Return the propagation of a revision of an object of this kind."""
        return self._find(revision, is_fleet=kind in FLEET_KINDS)

    def fleet_zones(self) -> Mapping[str, int]:
        """Return the lowest fleet revision in force in each zone."""
        return self._fleet.zone_revisions()

    def _find(self, revision: int, *, is_fleet: bool) -> Propagation:
        if is_fleet:
            return find_propagation(revision, self._zones, self._fleet.zone_revisions())
        own = self._zone.zone_revisions()
        return find_propagation(revision, own, own)


def find_propagation(
    revision: int, zones: Iterable[str], zone_revisions: Mapping[str, int]
) -> Propagation:
    """Return the zones in which a revision is in force, and those where it is pending."""
    ordered = sorted(zones)
    in_force = tuple(each for each in ordered if zone_revisions.get(each, 0) >= revision)
    pending = tuple(each for each in ordered if each not in in_force)
    return Propagation(revision, in_force, pending)
