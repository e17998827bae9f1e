"""Which control instances vote: the next single change of the group."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from shallotmux.replication import (
    AddLearner,
    Configuration,
    FollowerStatus,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)
from shallotmux.transport import instance_name

#: Fewest voters to aim for: with three, the loss of one leaves a majority.
LEAST_VOTERS = 3

#: Most voters; more would slow the commit.
MOST_VOTERS = 5

#: Entries that a learner may lack to count as caught up.
CAUGHT_UP_ENTRIES = 32


@dataclass(frozen=True, slots=True)
class SeatTimes:
    """Silence after which a member counts as lost, in seconds.

    :param live_s: age of the last answer up to which a follower counts as live.
    :param replace_s: silence after which a voter makes room for another one. It exceeds the
        pauses from which machines usually come back.
    :param forget_s: silence after which a learner is removed.
    """

    live_s: float = 1.0
    replace_s: float = 5.0
    forget_s: float = 20.0


@dataclass(frozen=True, slots=True)
class SeatView:
    """What the leader knows of its group.

    :param joining: identities that asked to be taken in lately.
    :param led_since: local time at which the leadership began.
    :param tolerated: disks that may be lost at once.
    """

    leader: str
    configuration: Configuration
    followers: Mapping[str, FollowerStatus]
    joining: frozenset[str]
    last_index: int
    led_since: float
    now: float
    tolerated: int = 1
    times: SeatTimes = field(default_factory=SeatTimes)

    def silence_s(self, identity: str) -> float:
        """Return the time since a member's last answer to this leader."""
        if identity == self.leader:
            return 0
        status = self.followers.get(identity)
        heard_at = status.heard_at if status else float('-inf')
        return self.now - max(heard_at, self.led_since)

    def is_live(self, identity: str) -> bool:
        """Return whether a member answered lately."""
        if identity == self.leader:
            return True
        status = self.followers.get(identity)
        return status is not None and self.now - status.heard_at <= self.times.live_s

    def is_caught_up(self, identity: str) -> bool:
        """Return whether a member holds nearly all of the log."""
        status = self.followers.get(identity)
        return status is not None and status.match_index >= self.last_index - CAUGHT_UP_ENTRIES

    @property
    def target(self) -> int:
        """Return the number of voters to aim for.

        A majority must keep one disk when as many as tolerated are lost.
        """
        return min(max(LEAST_VOTERS, 2 * self.tolerated + 1), MOST_VOTERS)


def next_seat_change(view: SeatView) -> MembershipChange | None:
    """Return the next change towards the wanted voters, or None.

    Members that lost their disk are removed first: under their old identity they must never vote
    again. New members follow as learners until they hold the log.
    """
    steps = (_remove_predecessor, _add_joining, _promote, _make_room, _forget_learner)
    changes = (step(view) for step in steps)
    return next((change for change in changes if change is not None), None)


def _remove_predecessor(view: SeatView) -> MembershipChange | None:
    """Remove the old identity of an instance that asks to join under a new one."""
    for identity in sorted(view.joining - view.configuration.members):
        for member in sorted(view.configuration.members):
            is_same_instance = instance_name(member) == instance_name(identity)
            if is_same_instance and _leaves_quorum(view, member):
                return RemoveMember(member)
    return None


def _add_joining(view: SeatView) -> MembershipChange | None:
    names = {instance_name(each) for each in view.configuration.members}
    for identity in sorted(view.joining - view.configuration.members):
        if instance_name(identity) not in names:
            return AddLearner(identity, has_disk=True)
    return None


def _ready_learners(view: SeatView) -> list[str]:
    learners = sorted(view.configuration.learners)
    return [each for each in learners if view.is_live(each) and view.is_caught_up(each)]


def _promote(view: SeatView) -> MembershipChange | None:
    ready = _ready_learners(view)
    if ready and len(view.configuration.voters) < view.target:
        return PromoteLearner(ready[0])
    return None


def _make_room(view: SeatView) -> MembershipChange | None:
    """Remove a voter that is silent for long when a learner can take its place."""
    if not _ready_learners(view):
        return None
    for voter in sorted(view.configuration.voters):
        is_lost = view.silence_s(voter) >= view.times.replace_s
        if is_lost and _leaves_quorum(view, voter):
            return RemoveMember(voter)
    return None


def _forget_learner(view: SeatView) -> MembershipChange | None:
    for learner in sorted(view.configuration.learners - view.joining):
        if view.silence_s(learner) >= view.times.forget_s:
            return RemoveMember(learner)
    return None


def _leaves_quorum(view: SeatView, member: str) -> bool:
    """Return whether the other voters have a live majority without a member."""
    remaining = view.configuration.voters - {member}
    live = [each for each in remaining if view.is_live(each)]
    return member != view.leader and len(live) > len(remaining) // 2
