"""Tree of polls that distributes a group's log and collects reports for the leader.

Every instance but the leader polls one other instance: members poll the leader, all others poll a
voter. A poll carries the reports of the polling instance and of its followers. The update in
response carries log entries, and the time since the sender's state was confirmed as complete. Only
members poll the leader, so its load does not grow with the size of the zone.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import trio

from shallotmux.authority import GroupState
from shallotmux.membership._messages import (
    MembershipMessage,
    Poll,
    Report,
    StateCopy,
    Update,
)
from shallotmux.membership._table import MemberTable
from shallotmux.replication import Entry

#: Maximum number of entries in one update; the others are sent with later updates.
MAX_ENTRIES_PER_UPDATE = 256

#: Maximum size of the payloads in one update; a single larger entry is sent nevertheless.
MAX_UPDATE_BYTES = 1 << 20

#: Time after which unacknowledged entries are sent to a follower again.
RESEND_AFTER_S = 1.5

#: Minimum time between pushes, so that a burst of commits is sent in few messages.
PUSH_INTERVAL_S = 0.02

#: Number of polls whose send times are kept. The age of the confirmation in an update is relative
#: to the poll that it answers.
MAX_TRACKED_POLLS = 32

#: Poll intervals without a poll after which a follower is removed. An update whose confirmation is
#: older than this does not count as an answer.
MAX_SILENT_INTERVALS = 3

#: Time after which an unanswered poll is sent to another instance. Followers of a failed instance
#: must reach another one well before their own state counts as stale.
ANSWER_TIMEOUT_S = 0.4

#: Minimum time between polls that accompany a reply to the leader, as a fraction of the interval.
#: Every commit causes a reply, and not every reply needs a poll.
REPLY_POLL_FRACTION = 0.5

#: Poll intervals after which a tree polls by itself if its external trigger does not occur.
TRIGGER_TIMEOUT_INTERVALS = 2


#: Sends a message to an identity; the flag tells whether it may be delayed until another one.
Send = Callable[[str, MembershipMessage, bool], None]


class Membership(Protocol):
    """Current membership of this instance in the group."""

    def own_report(self) -> Report:
        """Return the report on this instance."""

    def is_member(self) -> bool:
        """Return whether this instance is a voter or a learner; both get the log from the leader."""

    def lookup_membership(self, identity: str) -> bool | None:
        """Return whether an instance is a member; None if this instance is not a member itself."""

    def record_removal(self, index: int) -> None:
        """Record that this instance was not a member as of an applied index."""

    def leader(self) -> str | None:
        """Return the identity of the leader, if the replica knows it."""

    def is_leader(self) -> bool:
        """Return whether this instance is the leader."""

    def term(self) -> int:
        """Return the replica's term."""

    def voters(self) -> tuple[str, ...]:
        """Return the voters that may be polled; empty if this instance is not a member."""

    def poll_targets(self, voters: tuple[str, ...], leader: str | None) -> tuple[str, ...]:
        """Return the instances to poll, in order of preference; empty on the leader.

        :param voters: the voters as far as this instance knows them.
        """


@dataclass(slots=True)
class Follower:
    """An instance that polls this one.

    :param heard_at: time of its last poll.
    :param sent_index: last index sent to it, at ``sent_at``.
    """

    poll: Poll
    heard_at: float
    sent_index: int = 0
    sent_at: float = float('-inf')


@dataclass(slots=True)
class GroupInfo:
    """Leader and voters according to the newest update of the highest term."""

    term: int = 0
    leader: str | None = None
    voters: tuple[str, ...] = ()


class ReportTree:
    """One instance's node in the report tree of a group.

    A member polls when it replies to the leader, so that the poll and its answer share messages
    with the replication protocol. All other instances poll at intervals.

    :param interval_s: time between polls.
    """

    def __init__(
        self,
        membership: Membership,
        state: GroupState,
        table: MemberTable,
        send: Callable[[str, MembershipMessage, bool], None],
        *,
        interval_s: float,
        random: Random,
    ) -> None:
        self._membership = membership
        self._state = state
        self._table = table
        self._send = send
        self._interval_s = interval_s
        self._random = random
        self._poll_number = 0
        self._target_offset = 0
        self._targets: tuple[str, ...] = ()
        self._answered_at = float('-inf')
        self._poll_times: OrderedDict[int, float] = OrderedDict()
        self._group_info = GroupInfo()
        self.followers: dict[str, Follower] = {}
        #: Trees of other groups that poll whenever this one does, so that the polls share a message.
        self.piggybacked_trees: list[ReportTree] = []
        #: Whether the polls of this tree are triggered by another group's tree.
        self.is_piggybacked = False
        self._polled_at = float('-inf')
        #: Per zone, the lowest revision in force, as the leader last computed it.
        self.zone_revisions: dict[str, int] = {}

    def leader(self) -> str | None:
        """Return the identity of the leader, if this instance knows it."""
        return (
            self._membership.leader() if self._membership.is_member() else self._group_info.leader
        )

    def voters(self) -> tuple[str, ...]:
        """Return the identities of the voters that this instance knows of."""
        return self._membership.voters() or self._group_info.voters

    async def run(self) -> None:
        """Poll, and push new entries to the followers, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push_entries)
            # Instances of a zone start together; without jitter they would poll together.
            await trio.sleep(self._random.uniform(0, self._interval_s))
            while True:
                self._expire_followers(trio.current_time())
                if self._is_due():
                    self.poll()
                await trio.sleep(min(ANSWER_TIMEOUT_S, self._interval_s))
                if self._is_unanswered():
                    self._target_offset += 1
                else:
                    await trio.sleep(max(0, self._interval_s - ANSWER_TIMEOUT_S))

    def poll(self) -> None:
        """Poll the followed instance, and trigger the polls of the piggybacked trees."""
        target = self._choose_target()
        may_wait = target is not None and self._membership.is_member() and target == self.leader()
        self._polled_at = trio.current_time()
        if target is not None:
            self._send_poll(target, may_wait=may_wait)
        for tree in self.piggybacked_trees:
            tree.poll_piggybacked(target, may_wait=may_wait)

    def poll_with_reply(self) -> None:
        """Poll together with a reply to the leader, at about the usual interval."""
        if trio.current_time() - self._polled_at >= REPLY_POLL_FRACTION * self._interval_s:
            self.poll()

    def poll_piggybacked(self, target: str | None, *, may_wait: bool) -> None:
        """Poll the instance that another group's tree polls.

        Does nothing on a member, whose polls accompany its replies to the leader.

        :param target: the other tree's target; if None, this tree chooses one itself.
        """
        if self._membership.is_member():
            return
        if target is None and self._answered_at < self._polled_at:
            # The trigger interval leaves time for an answer. Without one, try another instance:
            # the first one may not follow this group itself.
            self._target_offset += 1
        self._polled_at = trio.current_time()
        chosen = target or self._choose_target()
        if chosen is not None:
            self._send_poll(chosen, may_wait=may_wait and target is not None)

    def handle_poll(self, sender: str, poll: Poll) -> None:
        """Record a follower's poll and its reports, and answer with an update."""
        now = trio.current_time()
        follower = self.followers.setdefault(sender, Follower(poll, now))
        follower.poll = poll
        follower.heard_at = now
        self._table.record(poll.reports, now)
        self._send_update(sender, follower)

    def handle_update(self, update: Update) -> None:
        """Apply an update from the instance that this one follows."""
        asked_at = self._poll_times.get(update.number)
        if asked_at is None:
            return
        if update.age_s is not None and update.age_s < MAX_SILENT_INTERVALS * self._interval_s:
            # An instance whose own state is out of date counts as one that does not answer.
            self._answered_at = trio.current_time()
        if update.is_member is False:
            self._membership.record_removal(update.applied_index)
        if update.term >= self._group_info.term:
            self._group_info = GroupInfo(update.term, update.leader, update.voters)
            if update.zone_revisions:
                self.zone_revisions = update.zone_revisions
        if update.copy is not None:
            copy = update.copy
            self._state.restore(copy.index, copy.term, copy.payload)
        self._state.apply_all(update.entries)
        if update.age_s is not None:
            # The age refers to the arrival of the poll, which was later than its sending, so the
            # confirmation is no older than this.
            self._state.confirm(update.applied_index, asked_at - update.age_s)

    def _send_poll(self, target: str, *, may_wait: bool) -> None:
        now = trio.current_time()
        self._poll_number += 1
        self._poll_times[self._poll_number] = now
        if len(self._poll_times) > MAX_TRACKED_POLLS:
            self._poll_times.popitem(last=False)
        own = self._membership.own_report()
        others = tuple(
            each for each in self._table.recent_reports(now) if each.identity != own.identity
        )
        wants_entries = not self._membership.is_member()
        poll = Poll(
            self._poll_number, self._state.applied_index, wants_entries, may_wait, (own, *others)
        )
        self._send(target, poll, may_wait)

    def _is_due(self) -> bool:
        """Return whether a poll is due; with external triggers, only if these fail to occur."""
        wait_s = (
            TRIGGER_TIMEOUT_INTERVALS * self._interval_s if self._is_externally_triggered() else 0
        )
        return trio.current_time() - self._polled_at >= wait_s

    def _is_unanswered(self) -> bool:
        """Return whether the last poll, if not externally triggered, is still unanswered."""
        return not self._is_externally_triggered() and self._answered_at < self._polled_at

    def _is_externally_triggered(self) -> bool:
        """Return whether polls are triggered by replies to the leader or by another tree.

        A member that knows no leader may have been removed, so it polls other voters by itself.
        """
        return self.is_piggybacked or (self._membership.is_member() and self.leader() is not None)

    def _choose_target(self) -> str | None:
        """Return the identity of the instance to poll, if any."""
        targets = self._membership.poll_targets(self.voters(), self.leader())
        if targets != self._targets:
            # The first targets are chosen such that polls are spread evenly; start there again.
            self._targets = targets
            self._target_offset = 0
        return targets[self._target_offset % len(targets)] if targets else None

    def _expire_followers(self, now: float) -> None:
        limit = now - MAX_SILENT_INTERVALS * self._interval_s
        expired = [name for name, each in self.followers.items() if each.heard_at < limit]
        for name in expired:
            self.followers.pop(name)

    async def _push_entries(self) -> None:
        applied = self._state.applied_index
        while True:
            applied = await self._state.wait_applied(applied)
            for name, follower in tuple(self.followers.items()):
                if follower.poll.wants_entries:
                    self._send_update(name, follower)
            await trio.sleep(PUSH_INTERVAL_S)

    def _send_update(self, name: str, follower: Follower) -> None:
        entries, copy = self._next_entries(follower, trio.current_time())
        confirmed_at = self._state.confirmed_at
        age_s = follower.heard_at - confirmed_at if confirmed_at > float('-inf') else None
        update = Update(
            follower.poll.number,
            max(self._membership.term(), self._group_info.term),
            self.leader(),
            self.voters(),
            self._state.applied_index,
            age_s,
            entries,
            copy,
            self._membership.lookup_membership(name),
            self.zone_revisions,
        )
        may_wait = follower.poll.may_wait and not entries and copy is None
        self._send(name, update, may_wait)

    def _next_entries(
        self, follower: Follower, now: float
    ) -> tuple[tuple[Entry, ...], StateCopy | None]:
        if not follower.poll.wants_entries:
            return (), None
        base = follower.poll.applied_index
        if now - follower.sent_at < RESEND_AFTER_S:
            base = max(base, follower.sent_index)
        if base >= self._state.applied_index:
            return (), None
        follower.sent_at = now
        available = self._state.entries_after(base)
        if available is None:
            follower.sent_index = self._state.applied_index
            copy = StateCopy(
                self._state.applied_index, self._state.applied_term, self._state.zone.snapshot()
            )
            return (), copy
        entries = take_entries_for_update(available)
        follower.sent_index = entries[-1].index
        return entries, None


def take_entries_for_update(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """Return the leading entries that fit into one update; at least one."""
    size = 0
    for count, entry in enumerate(entries[:MAX_ENTRIES_PER_UPDATE]):
        size += len(entry.payload)
        if count and size > MAX_UPDATE_BYTES:
            return entries[:count]
    return entries[:MAX_ENTRIES_PER_UPDATE]
