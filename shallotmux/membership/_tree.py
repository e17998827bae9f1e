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

#: Intervals without an answer after which another instance is followed, and without a poll after
#: which a follower is forgotten.
SILENT_INTERVALS = 3


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

    def followable(self, voters: tuple[str, ...]) -> tuple[str, ...]:
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

    :param send: sends a message to an identity.
    :param interval_s: time between polls.
    """

    def __init__(
        self,
        position: Position,
        state: GroupState,
        table: MemberTable,
        send: Callable[[str, MembershipMessage], None],
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
        self._answered_at = float('-inf')
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        self._news = GroupNews()
        self.followers: dict[str, Follower] = {}
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
            self._answered_at = trio.current_time()
            while True:
                self._poll()
                await trio.sleep(self._interval_s)

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
            # The answer left after the poll did, so the confirmation is no older than this.
            self._state.confirm(update.applied_index, asked_at - update.age_s)

    def _poll(self) -> None:
        now = trio.current_time()
        self._forget_silent(now)
        target = self._choose(now)
        if target is None:
            return
        self._number += 1
        self._sent_at[self._number] = now
        if len(self._sent_at) > POLLS_REMEMBERED:
            self._sent_at.popitem(last=False)
        own = self._position.own_report()
        others = tuple(each for each in self._table.recent(now) if each.identity != own.identity)
        is_member = self._position.is_member()
        poll = Poll(self._number, self._state.applied_index, not is_member, (own, *others))
        self._send(target, poll)

    def _choose(self, now: float) -> str | None:
        """Return the instance to poll; the next one if the last did not answer."""
        targets = self._position.followable(self.voters())
        if not targets:
            self._answered_at = now
            return None
        if now - self._answered_at > SILENT_INTERVALS * self._interval_s:
            self._offset += 1
            self._answered_at = now
        return targets[self._offset % len(targets)]

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
        now = trio.current_time()
        entries, copy = self._next_entries(follower, now)
        confirmed_at = self._state.confirmed_at
        self._send(
            name,
            Update(
                follower.poll.number,
                max(self._position.term(), self._news.term),
                self.leader(),
                self.voters(),
                self._state.applied_index,
                now - confirmed_at if confirmed_at > float('-inf') else None,
                entries,
                copy,
                self._position.knows_member(name),
                self.zone_revisions,
            ),
        )

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
