"""Choice of a group's voters, and of the next membership change towards it."""

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

#: Maximum number of voters that is desired for a zone group or the fleet group. Five tolerate two
#: failures; more would slow down commits to guard against failures that are unlikely to coincide.
MAX_DESIRED_VOTERS = 5

#: From this number of instances with a disk, only they vote, so that the log survives a restart
#: of all instances.
MIN_DISK_VOTERS = 3


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """Instances that may belong to a group, according to the settings.

    :param disks: names of the instances that have a disk.
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
    """State of a group as seen by its leader.

    :param live: reports of the live instances, by identity.
    :param lost: members to replace: unreachable for too long, no longer listed by the platform,
        or restarted under another identity.
    :param caught_up: instances whose log is nearly complete.
    """

    leader: str
    configuration: Configuration
    live: Mapping[str, Report]
    lost: frozenset[str] = field(default_factory=frozenset)
    caught_up: frozenset[str] = field(default_factory=frozenset)


def next_change(plan: GroupPlan, view: GroupView) -> MembershipChange | None:
    """Return the next single change towards the desired voters, or None.

    A new voter first catches up as a learner, so that commits never wait for it. A voter is
    removed only if the remaining voters have a live majority.
    """
    current = view.configuration
    desired = desired_voters(plan, view)
    missing = sorted(desired - current.voters)
    surplus = sorted(current.voters - desired)
    unwanted = current.learners - desired
    if unwanted:
        return RemoveMember(min(unwanted))
    if missing and not current.learners:
        report = view.live[missing[0]]
        is_witness = instance_name(missing[0]) == plan.witness
        return AddLearner(missing[0], report.has_disk, is_witness)
    promotable = current.learners & view.caught_up
    has_vacancy = len(current.voters) < len(desired)
    if promotable and has_vacancy:
        return PromoteLearner(min(promotable))
    removable = [each for each in surplus if _is_removable(each, view)]
    if removable and (promotable or not missing):
        return RemoveMember(removable[0])
    return None


def desired_voters(plan: GroupPlan, view: GroupView) -> frozenset[str]:
    """Return the identities that should vote.

    Voters stay unless they are lost, and instances with a disk are preferred. One lost voter that
    cannot be replaced also stays. Without it the number of voters would be even, which tolerates
    no more failures, and the instance may return.
    """
    candidates = _candidates(plan, view)
    lost = sorted(view.configuration.voters & view.lost)[:1]
    if plan.one_per_zone:
        return _choose_one_per_zone(plan, candidates + lost)
    disks = sum(1 for name in plan.names() if name in plan.disks)
    if disks >= MIN_DISK_VOTERS:
        with_disk = [each for each in candidates if instance_name(each) in plan.disks]
        candidates = with_disk if len(with_disk) >= MIN_DISK_VOTERS else candidates
    candidates += lost
    return frozenset(candidates[: _odd_voter_count(len(candidates))])


def _candidates(plan: GroupPlan, view: GroupView) -> list[str]:
    """Return the eligible identities in descending order of preference, the leader first."""
    voters = view.configuration.voters
    names = plan.names()
    known = (voters | frozenset(view.live)) - view.lost
    eligible = {each for each in known if instance_name(each) in names} | {view.leader}

    def rank(identity: str) -> tuple[bool, bool, bool, bool, str]:
        name = instance_name(identity)
        return (
            identity != view.leader,
            name == plan.witness,
            name not in plan.disks,
            identity not in voters,
            identity,
        )

    return sorted(eligible, key=rank)


def _choose_one_per_zone(plan: GroupPlan, candidates: list[str]) -> frozenset[str]:
    chosen: set[str] = set()
    for zone in sorted(plan.zones)[:MAX_DESIRED_VOTERS]:
        in_zone = (each for each in candidates if instance_name(each) in plan.zones[zone])
        chosen.update(list(in_zone)[:1])
    return frozenset(chosen)


def _odd_voter_count(available: int) -> int:
    """Return the number of voters for a number of candidates.

    It is odd from three on, since one more voter would tolerate no more failures.
    """
    limited = min(available, MAX_DESIRED_VOTERS)
    return limited if limited % 2 or limited <= 2 else limited - 1


def _is_removable(identity: str, view: GroupView) -> bool:
    current = view.configuration
    remaining = current.voters - {identity}
    live = {each for each in remaining if each in view.live or each == view.leader}
    has_quorum = len(live) > len(remaining) // 2
    disks = current.voters & current.disks
    loses_last_disk = bool(disks) and not disks - {identity}
    return identity != view.leader and has_quorum and not loses_last_disk
