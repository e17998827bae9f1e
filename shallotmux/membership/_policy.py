"""Which instances should vote in a group, and the next step towards that."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from shallotmux.membership._messages import Report
from shallotmux.replication import (
    AddLearner,
    Configuration,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from shallotmux.transport import instance_name

#: Voters of a group; more would slow the commit without surviving a likelier failure.
MAX_VOTERS = 5

#: Disks from which a group's voters all have one, so that a majority survives a restart of all.
DISKS_FOR_MAJORITY = 3


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """Which instances a group consists of, from the settings.

    :param disks: names of the instances that have a disk, by zone.
    :param zones: names of the instances, by zone.
    :param witness: name of an instance of another zone that votes but never leads, or empty.
    :param one_per_zone: whether each zone has one voter, as in the fleet group.
    """

    zones: Mapping[str, tuple[str, ...]]
    disks: frozenset[str] = frozenset()
    witness: str = ''
    one_per_zone: bool = False

    def names(self) -> frozenset[str]:
        """Return the names of all instances that may vote."""
        names = {name for zone in self.zones.values() for name in zone}
        return frozenset(names | {self.witness} if self.witness else names)


@dataclass(frozen=True, slots=True)
class GroupView:
    """What the leader knows of its group.

    :param live: reports of the instances that take part, by identity.
    :param lost: members that have been unreachable for too long, or restarted under another
        identity.
    :param caught_up: learners that hold nearly all of the log.
    """

    leader: str
    configuration: Configuration
    live: Mapping[str, Report]
    lost: frozenset[str] = field(default_factory=frozenset)
    caught_up: frozenset[str] = field(default_factory=frozenset)


def next_change(plan: GroupPlan, view: GroupView) -> MembershipChange | None:
    """Return the next single change towards the desired voters, or None.

    A new voter first catches up as a learner, so that a quorum never waits for it. A voter is
    removed only while the rest of the group has a live majority.
    """
    current = view.configuration
    wanted = desired_voters(plan, view)
    missing = sorted(wanted - current.voters)
    surplus = sorted(current.voters - wanted)
    unwanted = current.learners - wanted
    if unwanted:
        return RemoveMember(min(unwanted))
    if missing and not current.learners:
        report = view.live[missing[0]]
        is_witness = instance_name(missing[0]) == plan.witness
        return AddLearner(missing[0], report.has_disk, is_witness)
    ready = current.learners & view.caught_up
    has_room = len(current.voters) < len(wanted)
    if ready and has_room:
        return PromoteLearner(min(ready))
    removable = [each for each in surplus if _is_removable(each, view)]
    if removable and (ready or not missing):
        return RemoveMember(removable[0])
    return None


def desired_voters(plan: GroupPlan, view: GroupView) -> frozenset[str]:
    """Return the identities that should vote.

    Voters stay unless they are lost; instances with a disk come before others. A single lost
    voter that cannot be replaced stays too: an even number of voters tolerates no more failures,
    and the instance may return.
    """
    candidates = _candidates(plan, view)
    lost = sorted(view.configuration.voters & view.lost)[:1]
    if plan.one_per_zone:
        return _first_of_each_zone(plan, candidates + lost)
    disks = sum(1 for name in plan.names() if name in plan.disks)
    if disks >= DISKS_FOR_MAJORITY:
        with_disk = [each for each in candidates if instance_name(each) in plan.disks]
        candidates = with_disk if len(with_disk) >= DISKS_FOR_MAJORITY else candidates
    candidates += lost
    return frozenset(candidates[: _odd_target(len(candidates))])


def _candidates(plan: GroupPlan, view: GroupView) -> list[str]:
    """Return identities by descending preference; the leader comes first."""
    voters = view.configuration.voters
    names = plan.names()
    known = (voters | frozenset(view.live)) - view.lost
    fitting = {each for each in known if instance_name(each) in names} | {view.leader}

    def rank(identity: str) -> tuple[bool, bool, bool, bool, str]:
        name = instance_name(identity)
        return (
            identity != view.leader,
            name == plan.witness,
            name not in plan.disks,
            identity not in voters,
            identity,
        )

    return sorted(fitting, key=rank)


def _first_of_each_zone(plan: GroupPlan, candidates: list[str]) -> frozenset[str]:
    chosen: set[str] = set()
    for zone in sorted(plan.zones)[:MAX_VOTERS]:
        of_zone = (each for each in candidates if instance_name(each) in plan.zones[zone])
        chosen.update(list(of_zone)[:1])
    return frozenset(chosen)


def _odd_target(available: int) -> int:
    """Return the number of voters: odd, as an even one tolerates no more failures."""
    limited = min(available, MAX_VOTERS)
    return limited if limited % 2 or limited <= 2 else limited - 1


def _is_removable(identity: str, view: GroupView) -> bool:
    current = view.configuration
    remaining = current.voters - {identity}
    live = {each for each in remaining if each in view.live or each == view.leader}
    has_quorum = len(live) > len(remaining) // 2
    disks = current.voters & current.disks
    loses_last_disk = bool(disks) and not disks - {identity}
    return identity != view.leader and has_quorum and not loses_last_disk
