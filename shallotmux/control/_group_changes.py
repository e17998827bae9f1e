"""Choose the next membership change of the control group."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from shallotmux.control._timeouts import MemberTimeouts
from shallotmux.control._voter_placement import (
    SPREAD_AFTER_S,
    choose_exchange,
    choose_learner,
    crowding,
)
from shallotmux.replication import (
    MAX_VOTERS,
    AddLearner,
    Configuration,
    FollowerStatus,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from shallotmux.transport import instance_name

#: Minimum target number of voters; three keep a majority after the loss of one.
MIN_VOTERS = 3

#: Lag in log entries up to which a learner counts as caught up.
MAX_LEARNER_LAG_ENTRIES = 32


@dataclass(frozen=True, slots=True)
class ControlGroupView:
    """State of the control group as the leader sees it.

    :param joining: identities with a valid join request.
    :param led_since: local time at which the leadership began.
    :param tolerated: number of disks that may be lost at once.
    :param zones: availability zones by identity, as far as they are known.
    :param leaving: members that said that they stop.
    :param live_since: local times since when members have been live and the voters the same.
    """

    leader: str
    configuration: Configuration
    followers: Mapping[str, FollowerStatus]
    joining: frozenset[str]
    last_index: int
    led_since: float
    now: float
    tolerated: int = 1
    timeouts: MemberTimeouts = field(default_factory=MemberTimeouts)
    zones: Mapping[str, str] = field(default_factory=dict)
    live_since: Mapping[str, float] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()

    def silence_s(self, identity: str) -> float:
        """Return the time for which neither this leader nor an earlier one has heard of a member."""
        if identity == self.leader:
            return 0
        status = self.followers.get(identity)
        heard_at = max(status.acked_at, status.heard_at) if status else self.led_since
        return self.now - heard_at

    def is_live(self, identity: str) -> bool:
        """Return whether a member answered within the live timeout."""
        if identity == self.leader:
            return True
        status = self.followers.get(identity)
        return status is not None and self.now - status.acked_at <= self.timeouts.live_timeout_s

    def is_lost(self, identity: str) -> bool:
        """Return whether a voter stops, or has been silent for so long that it is replaced.

        A voter that was silent to earlier leaders has the time to answer this one, too.
        """
        if identity in self.leaving:
            return True
        is_observed = self.now - self.led_since >= self.timeouts.observe_s
        return is_observed and self.silence_s(identity) >= self.timeouts.replace_after_s

    def is_settled(self, identity: str) -> bool:
        """Return whether a member has been live for so long that a live voter may be exchanged."""
        return self.now - self.live_since.get(identity, self.now) >= SPREAD_AFTER_S

    def is_caught_up(self, identity: str) -> bool:
        """Return whether the log of a member is nearly complete."""
        status = self.followers.get(identity)
        return (
            status is not None and status.match_index >= self.last_index - MAX_LEARNER_LAG_ENTRIES
        )

    @property
    def target_voters(self) -> int:
        """Return the target number of voters.

        Every majority must include at least one disk more than the tolerated number of lost disks.
        More than :data:`MAX_VOTERS` can bear is not reached; the health of the group shows it.
        """
        return min(max(MIN_VOTERS, 2 * self.tolerated + 1), MAX_VOTERS)


def next_group_change(view: ControlGroupView) -> MembershipChange | None:
    """Return the next change towards the target voters, or None.

    The old identity of a member that lost its disk is removed first, since its vote is lost and it
    must never vote again. New members are added as learners and promoted once they caught up.

    A silent voter is removed only after its successor was promoted. With the removal first, a group of
    three would have two voters for a moment, both of them needed: if one lost its disk then, no leader
    could be elected again, although the silent one comes back with its disk.
    """
    steps = (
        _remove_replaced_identity,
        _add_learner,
        _remove_surplus_voter,
        _promote_learner,
        _spread_voters,
        _remove_lost_learner,
    )
    changes = (step(view) for step in steps)
    return next((change for change in changes if change is not None), None)


def _remove_replaced_identity(view: ControlGroupView) -> MembershipChange | None:
    """Remove the old identity of an instance that asks to join under a new one."""
    for identity in sorted(view.joining - view.configuration.members):
        for member in sorted(view.configuration.members):
            is_same_instance = instance_name(member) == instance_name(identity)
            if is_same_instance and _keeps_quorum(view, member):
                return RemoveMember(member)
    return None


def _add_learner(view: ControlGroupView) -> MembershipChange | None:
    names = {instance_name(each) for each in view.configuration.members}
    for identity in sorted(view.joining - view.configuration.members):
        if instance_name(identity) not in names:
            return AddLearner(identity, has_disk=True)
    return None


def _ready_learners(view: ControlGroupView) -> list[str]:
    learners = sorted(view.configuration.learners - view.leaving)
    return [each for each in learners if view.is_live(each) and view.is_caught_up(each)]


def _promote_learner(view: ControlGroupView) -> MembershipChange | None:
    """Promote a learner that caught up, to reach the target or to replace a lost voter.

    The successor of a lost voter makes one voter more than the target, until that one is removed.
    """
    ready = _ready_learners(view)
    voters = view.configuration.voters
    vacancies = view.target_voters - len(voters)
    lost = [each for each in voters if view.is_lost(each)]
    if ready and (vacancies > 0 or (vacancies == 0 and lost)):
        return PromoteLearner(choose_learner(ready, voters, lost, view.zones))
    return None


def _spread_voters(view: ControlGroupView) -> MembershipChange | None:
    """Promote a learner in exchange for a voter of a more crowded zone, which is removed afterwards.

    Only a group whose voters have been live for some time is changed.
    """
    voters = view.configuration.voters
    ready = [each for each in _ready_learners(view) if view.is_settled(each)]
    if len(voters) != view.target_voters or not all(map(view.is_settled, voters)):
        return None
    learner = choose_exchange(ready, voters, view.zones)
    return PromoteLearner(learner) if learner else None


def _remove_surplus_voter(view: ControlGroupView) -> MembershipChange | None:
    """Remove one of too many voters.

    It is one that stops, otherwise the one that has been silent for the longest time, if one is silent,
    and otherwise one of the most crowded zone. A new leader waits before it takes a voter for silent,
    since live ones may not have answered it yet.
    """
    voters = view.configuration.voters
    if len(voters) <= view.target_voters:
        return None
    removable = [each for each in sorted(voters) if _keeps_quorum(view, each)]
    leaving = [each for each in removable if each in view.leaving]
    if leaving:
        return RemoveMember(leaving[0])
    silent = [each for each in removable if not view.is_live(each)]
    if silent and view.now - view.led_since < view.timeouts.observe_s:
        return None
    if silent:
        return RemoveMember(max(silent, key=view.silence_s))
    if removable:
        return RemoveMember(min(removable, key=lambda each: crowding(voters - {each}, view.zones)))
    return None


def _remove_lost_learner(view: ControlGroupView) -> MembershipChange | None:
    for learner in sorted(view.configuration.learners - view.joining):
        if view.silence_s(learner) >= view.timeouts.remove_after_s:
            return RemoveMember(learner)
    return None


def _keeps_quorum(view: ControlGroupView, member: str) -> bool:
    """Return whether the voters still have a live majority after a member is removed."""
    remaining = view.configuration.voters - {member}
    live = [each for each in remaining if view.is_live(each)]
    return member != view.leader and len(live) > len(remaining) // 2
