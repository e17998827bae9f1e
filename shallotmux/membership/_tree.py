"""Following a group's log from another instance, and reporting to the leader.

Every instance but the leader polls one other instance: voters poll the leader, the others one of
the voters. The answer brings the log and tells how old the answering instance's own confirmation
is; the poll takes the reports of all instances below along. So the load of an instance does not
grow with its zone, except that voters share the other instances between them.
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

#: Entries in one update; the rest follows with the next.
ENTRIES_PER_UPDATE = 256

#: Payload bytes in one update, except that one entry always fits.
BYTES_PER_UPDATE = 1 << 20

#: Time after which entries that a follower has not confirmed are sent again.
RESEND_S = 1.5

#: Pause after a push, so that a burst of commits goes out in few messages.
PUSH_PAUSE_S = 0.02

#: Polls remembered, to know when the one that an update answers was sent.
POLLS_REMEMBERED = 32

#: Intervals without a poll after which a follower is forgotten.
SILENT_INTERVALS = 3

#: Time after which an unanswered poll is sent to another instance. Followers of an instance that
#: died must find another one well before their own state counts as stale.
ANSWER_S = 0.4

#: Share of the interval from which on a member's poll goes along with a reply; every commit causes
#: a reply, and not every one needs a poll.
REPLY_SHARE = 0.5

#: Intervals after which a tree polls by itself although others set its pace.
PACED_INTERVALS = 2


#: Sends a message to an identity; the last argument tells whether it may wait for others.
Send = Callable[[str, MembershipMessage, bool], None]


class Position(Protocol):
    """Where an instance stands in its group at present."""

    def own_report(self) -> Report:
        """Return the report on this instance."""

    def is_member(self) -> bool:
        """Tell whether this instance gets the log as voter or learner."""

    def knows_member(self, identity: str) -> bool | None:
        """Tell whether an instance is a member; None if this instance is none itself."""

    def note_removed(self, index: int) -> None:
        """Note that this instance was no member as of an applied index."""

    def leader(self) -> str | None:
        """Return the leader that the replica of a member knows."""

    def leads(self) -> bool:
        """Tell whether this instance leads."""

    def term(self) -> int:
        """Return the replica's term."""

    def voters(self) -> tuple[str, ...]:
        """Return the voters that may be followed, if the replica of a member knows them."""

    def followable(self, voters: tuple[str, ...], leader: str | None) -> tuple[str, ...]:
        """Return instances to follow, in order of preference; empty on the leader.

        :param voters: the voters as far as this instance knows them.
        """


@dataclass(slots=True)
class Follower:
    """An instance that polls this one."""

    poll: Poll
    heard_at: float
    sent_index: int = 0
    sent_at: float = float('-inf')


@dataclass(slots=True)
class GroupNews:
    """What the newest update said of the group."""

    term: int = 0
    leader: str | None = None
    voters: tuple[str, ...] = ()


class ReportTree:
    """One instance's place in the tree of a group.

    A member polls whenever it answers the leader, so that its poll and the answer to it go along
    with messages of the replicas. The others poll at intervals.

    :param interval_s: time between polls.
    """

    def __init__(
        self,
        position: Position,
        state: GroupState,
        table: MemberTable,
        send: Callable[[str, MembershipMessage, bool], None],
        *,
        interval_s: float,
        random: Random,
    ) -> None:
        self._position = position
        self._state = state
        self._table = table
        self._send = send
        self._interval_s = interval_s
        self._random = random
        self._number = 0
        self._offset = 0
        self._targets: tuple[str, ...] = ()
        self._answered_at = float('-inf')
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        self._news = GroupNews()
        self.followers: dict[str, Follower] = {}
        #: Trees of other groups, which poll when this one does, so that both go in one message.
        self.piggybacked_trees: list[ReportTree] = []
        #: Whether another group's tree polls on behalf of this one.
        self.is_piggybacked = False
        self._polled_at = float('-inf')
        #: Per zone, the lowest revision in force, as the leader last computed it.
        self.zone_revisions: dict[str, int] = {}

    def leader(self) -> str | None:
        """Return the leader as far as this instance knows it."""
        return self._position.leader() if self._position.is_member() else self._news.leader

    def voters(self) -> tuple[str, ...]:
        """Return the voters as far as this instance knows them."""
        return self._position.voters() or self._news.voters

    async def run(self) -> None:
        """Poll and push until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push)
            # Instances of a zone start together; without jitter they would poll together.
            await trio.sleep(self._random.uniform(0, self._interval_s))
            while True:
                self._forget_silent(trio.current_time())
                if self._is_due():
                    self.poll()
                await trio.sleep(min(ANSWER_S, self._interval_s))
                if self._is_unanswered():
                    self._offset += 1
                else:
                    await trio.sleep(max(0, self._interval_s - ANSWER_S))

    def poll(self) -> None:
        """Ask the followed instance for news, and let other groups' trees do so along with it."""
        target = self._choose()
        may_wait = target is not None and self._position.is_member() and target == self.leader()
        self._polled_at = trio.current_time()
        if target is not None:
            self._send_poll(target, may_wait=may_wait)
        for companion in self.piggybacked_trees:
            companion.poll_along(target, may_wait=may_wait)

    def poll_with_reply(self) -> None:
        """Poll along with a reply to the leader, at about the usual interval."""
        if trio.current_time() - self._polled_at >= REPLY_SHARE * self._interval_s:
            self.poll()

    def poll_along(self, target: str | None, *, may_wait: bool) -> None:
        """Poll the instance that another group's tree polls, unless the own replica sets the pace.

        :param target: None if the other tree polls nobody; then this tree chooses.
        """
        if self._position.is_member():
            return
        if target is None and self._answered_at < self._polled_at:
            # The other tree's pace leaves time for an answer; without one, another instance is
            # asked, since the first choice may not follow the group itself.
            self._offset += 1
        self._polled_at = trio.current_time()
        chosen = target or self._choose()
        if chosen is not None:
            self._send_poll(chosen, may_wait=may_wait and target is not None)

    def take_poll(self, sender: str, poll: Poll) -> None:
        """Answer an instance that follows this one."""
        now = trio.current_time()
        follower = self.followers.setdefault(sender, Follower(poll, now))
        follower.poll = poll
        follower.heard_at = now
        self._table.record(poll.reports, now)
        self._update(sender, follower)

    def take_update(self, update: Update) -> None:
        """Take news from the instance that this one follows."""
        asked_at = self._sent_at.get(update.number)
        if asked_at is None:
            return
        if update.age_s is not None and update.age_s < SILENT_INTERVALS * self._interval_s:
            # An instance without recent news is no better than one that does not answer.
            self._answered_at = trio.current_time()
        if update.is_member is False:
            self._position.note_removed(update.applied_index)
        if update.term >= self._news.term:
            self._news = GroupNews(update.term, update.leader, update.voters)
            if update.zone_revisions:
                self.zone_revisions = update.zone_revisions
        if update.copy is not None:
            copy = update.copy
            self._state.restore(copy.index, copy.term, copy.payload)
        self._state.apply_all(update.entries)
        if update.age_s is not None:
            # The poll arrived after it was sent, so the confirmation is no older than this.
            self._state.confirm(update.applied_index, asked_at - update.age_s)

    def _send_poll(self, target: str, *, may_wait: bool) -> None:
        now = trio.current_time()
        self._number += 1
        self._sent_at[self._number] = now
        if len(self._sent_at) > POLLS_REMEMBERED:
            self._sent_at.popitem(last=False)
        own = self._position.own_report()
        others = tuple(each for each in self._table.recent(now) if each.identity != own.identity)
        wants_entries = not self._position.is_member()
        poll = Poll(
            self._number, self._state.applied_index, wants_entries, may_wait, (own, *others)
        )
        self._send(target, poll, may_wait)

    def _is_due(self) -> bool:
        """Tell whether to poll now; others set the pace of members and of companions."""
        wait_s = PACED_INTERVALS * self._interval_s if self._is_paced() else 0
        return trio.current_time() - self._polled_at >= wait_s

    def _is_unanswered(self) -> bool:
        """Tell whether a poll that must be answered at once was not."""
        return not self._is_paced() and self._answered_at < self._polled_at

    def _is_paced(self) -> bool:
        """Tell whether replies to the leader or another tree set the pace.

        A member that hears of no leader may have been removed, and asks other voters about it.
        """
        return self.is_piggybacked or (self._position.is_member() and self.leader() is not None)

    def _choose(self) -> str | None:
        """Return the instance to poll, if any."""
        targets = self._position.followable(self.voters(), self.leader())
        if targets != self._targets:
            # The first target is the one at which instances are shared evenly.
            self._targets = targets
            self._offset = 0
        return targets[self._offset % len(targets)] if targets else None

    def _forget_silent(self, now: float) -> None:
        limit = now - SILENT_INTERVALS * self._interval_s
        silent = [name for name, each in self.followers.items() if each.heard_at < limit]
        for name in silent:
            self.followers.pop(name)

    async def _push(self) -> None:
        applied = self._state.applied_index
        while True:
            applied = await self._state.wait_applied(applied)
            for name, follower in tuple(self.followers.items()):
                if follower.poll.wants_entries:
                    self._update(name, follower)
            await trio.sleep(PUSH_PAUSE_S)

    def _update(self, name: str, follower: Follower) -> None:
        entries, copy = self._next_entries(follower, trio.current_time())
        confirmed_at = self._state.confirmed_at
        age_s = follower.heard_at - confirmed_at if confirmed_at > float('-inf') else None
        update = Update(
            follower.poll.number,
            max(self._position.term(), self._news.term),
            self.leader(),
            self.voters(),
            self._state.applied_index,
            age_s,
            entries,
            copy,
            self._position.knows_member(name),
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
        if now - follower.sent_at < RESEND_S:
            base = max(base, follower.sent_index)
        if base >= self._state.applied_index:
            return (), None
        follower.sent_at = now
        held = self._state.entries_after(base)
        if held is None:
            follower.sent_index = self._state.applied_index
            copy = StateCopy(
                self._state.applied_index, self._state.applied_term, self._state.zone.snapshot()
            )
            return (), copy
        entries = limit_entries(held)
        follower.sent_index = entries[-1].index
        return entries, None


def limit_entries(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """Return the first entries that fit into one update."""
    size = 0
    for count, entry in enumerate(entries[:ENTRIES_PER_UPDATE]):
        size += len(entry.payload)
        if count and size > BYTES_PER_UPDATE:
            return entries[:count]
    return entries[:ENTRIES_PER_UPDATE]
