"""What a control instance does beside its replica: it asks to join, and as leader changes the group."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from shallotmux.checking._node import Node
from shallotmux.control import (
    CHECK_INTERVAL_S,
    MEMBERSHIP_INTERVAL_S,
    REJOIN_AFTER_S,
    ControlGroupView,
    JoinRequests,
    MemberStability,
    MemberTimeouts,
)
from shallotmux.replication import Replica


@dataclass(slots=True)
class SimulatedMember:
    """Membership duties of a node since its start; all times are those of its own clock.

    It does in simulated time what :class:`shallotmux.control.ControlMember` does in its tasks.

    :param tolerated: number of disks that may be lost at once.
    :param started_at: time of the start.
    """

    node: Node
    tolerated: int
    timeouts: MemberTimeouts
    started_at: float
    _join_due_at: float = field(init=False)
    _check_due_at: float = field(init=False)
    _leader_contact_at: float = field(init=False)
    _led_term: int = 0
    _led_since: float = 0
    _joining: JoinRequests = field(default_factory=JoinRequests)
    _stability: MemberStability = field(default_factory=MemberStability)

    def __post_init__(self) -> None:
        """Set the times that begin with the start."""
        self._join_due_at = self.started_at + MEMBERSHIP_INTERVAL_S
        self._check_due_at = self.started_at + CHECK_INTERVAL_S
        self._leader_contact_at = self.started_at

    def asks_to_join(self, replica: Replica, now: float) -> bool:
        """Return whether the node sends join requests now."""
        if now < self._join_due_at:
            return False
        self._join_due_at = now + MEMBERSHIP_INTERVAL_S
        status = replica.status()
        self._leader_contact_at = max(self._leader_contact_at, status.last_leader_contact)
        is_member = self.node.name in status.configuration.members
        return not is_member or now - self._leader_contact_at > REJOIN_AFTER_S

    def receive_join(self, identity: str, now: float) -> None:
        """Record a join request."""
        self._joining.record(identity, now)

    def keep_as_learner(self, identity: str, now: float) -> None:
        """Record a join request of a live voter that was removed."""
        self._joining.record_for_removed(identity, now)

    def view(self, replica: Replica, now: float) -> ControlGroupView | None:
        """Return the group as the node sees it if it checks the membership now as its leader."""
        if now < self._check_due_at:
            return None
        self._check_due_at = now + CHECK_INTERVAL_S
        joining = self._joining.valid(now)
        status = replica.status()
        applied_term = self.node.log.term_at(self.node.applied_index)
        if now >= status.lease_end or applied_term != status.term:
            return None
        if status.term != self._led_term:
            self._led_term = status.term
            self._led_since = now
            self._stability = MemberStability()
        view = ControlGroupView(
            self.node.name,
            status.configuration,
            replica.followers(),
            joining - {self.node.name},
            status.last_index,
            self._led_since,
            now,
            self.tolerated,
            self.timeouts,
        )
        live = frozenset(filter(view.is_live, status.configuration.members))
        return replace(
            view, live_since=self._stability.update(status.configuration.voters, live, now)
        )
