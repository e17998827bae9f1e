"""In which zones a change is in force."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from shallotmux.membership._messages import Report
from shallotmux.membership._policy import GroupPlan
from shallotmux.transport import instance_name


@dataclass(frozen=True, slots=True)
class Propagation:
    """Where a revision is in force.

    :param in_force: zones in which every instance has reported the revision or a later one.
    :param pending: all other zones of the group.
    """

    revision: int
    in_force: tuple[str, ...]
    pending: tuple[str, ...]


def lowest_revisions(plan: GroupPlan, reports: Iterable[Report]) -> dict[str, int]:
    """Return per zone the lowest revision in force on its instances.

    An instance that never reported counts as revision 0, and one that fell silent as its last
    report: a cut-off instance may go on serving with what it had.

    :param reports: in the order of their times; the last one of an instance counts, whichever
        incarnation it is from.
    """
    newest = {instance_name(report.identity): report.revision for report in reports}
    return {
        zone: min((newest.get(name, 0) for name in names), default=0)
        for zone, names in plan.zones.items()
    }


def find_propagation(
    revision: int, zones: Iterable[str], zone_revisions: Mapping[str, int]
) -> Propagation:
    """Return the zones in which a revision is in force, and those where it is pending."""
    ordered = sorted(zones)
    in_force = tuple(each for each in ordered if zone_revisions.get(each, 0) >= revision)
    pending = tuple(each for each in ordered if each not in in_force)
    return Propagation(revision, in_force, pending)
