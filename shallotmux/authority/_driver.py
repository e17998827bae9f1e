"""The task that owns a replica and its store."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol

import msgspec
import trio

from shallotmux.authority._group_state import GroupState
from shallotmux.authority._state import Result, decode_command, encode_result
from shallotmux.errors import MembershipRefused, NotLeader
from shallotmux.replication import (
    AppendReply,
    Effects,
    Entry,
    Envelope,
    FollowerStatus,
    MembershipChange,
    Replica,
    ReplicaStatus,
    Role,
    StoredGroup,
    decode_envelope,
    encode_envelope,
)
from shallotmux.transport import Channel, ForwardAnswer, PeerEnvelope, Refusal

#: Inputs that wait for the driver. Beyond this, envelopes are dropped and commands are refused.
INBOX_LENGTH = 4096

#: Interval of time inputs of an instance that is no member; they only bound its start-up.
OUTSIDER_TICK_S = 1.0

#: What decoding a command from another program version may raise.
UNDECODABLE = (msgspec.MsgspecError, KeyError, TypeError, ValueError)

#: Inputs handled before their effects are carried out. One append and one sync serve them all.
INPUTS_PER_ROUND = 512


class GroupStorage(Protocol):
    """Keeps a replica's durable state."""

    def load(self) -> StoredGroup | None:
        """Return what was saved, or None for a new member."""

    def save(self, effects: Effects) -> None:
        """Make term, vote, entries and snapshot durable."""


#: Runs the store's blocking call. The daemon uses a worker thread: a sync takes milliseconds,
#: for which no token would be relayed otherwise. Tests run it inline, on the test clock.
RunBlocking = Callable[[Callable[[Effects], None], Effects], Awaitable[None]]


async def run_in_thread(save: Callable[[Effects], None], effects: Effects) -> None:
    """Save in a worker thread."""
    await trio.to_thread.run_sync(save, effects)


async def run_inline(save: Callable[[Effects], None], effects: Effects) -> None:
    """Save on the event loop, for stores that do not block."""
    save(effects)


@dataclass(slots=True)
class Proposal:
    """A command that waits for its commit.

    :param answer: set before ``done`` is.
    """

    payload: bytes
    answer: ForwardAnswer = ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail='not proposed')
    is_proposed: bool = False
    is_abandoned: bool = False
    term: int = 0
    done: trio.Event = field(default_factory=trio.Event)

    def finish(self, answer: ForwardAnswer) -> None:
        """Give the answer to the waiting submitter."""
        self.answer = answer
        self.done.set()


Input = Envelope | Proposal


class GroupDriver:
    """Drives one replica: time, messages, storage, commands, snapshots.

    :param send: sends an envelope to a peer without waiting.
    :param tick_s: interval of time inputs.
    """

    def __init__(
        self,
        group: str,
        identity: str,
        replica: Replica,
        state: GroupState,
        store: GroupStorage,
        send: Callable[[PeerEnvelope], None],
        *,
        tick_s: float,
        run_blocking: RunBlocking = run_in_thread,
    ) -> None:
        self.group = group
        self.identity = identity
        self.state = state
        self._replica = replica
        self._store = store
        self._send = send
        self._tick_s = tick_s
        self._run_blocking = run_blocking
        channels = trio.open_memory_channel[Input](INBOX_LENGTH)
        self._outgoing = channels[0]
        self._inbox = channels[1]
        self._waiting: dict[int, Proposal] = {}
        self._status = replica.status()
        #: Called before a reply to the leader is sent, so that other messages can go with it.
        self.before_reply: Callable[[], None] = _do_nothing
        #: Last index that the replica handed out; the state may be ahead of it when it also
        #: follows another instance.
        self._delivered_index = state.applied_index

    def status(self) -> ReplicaStatus:
        """Return what the replica knew after its last input.

        The lease in it can only have been prolonged since.
        """
        return self._status

    def followers(self) -> dict[str, FollowerStatus]:
        """Return what this instance knows of each follower; empty unless it leads."""
        return self._replica.followers()

    def is_leader(self) -> bool:
        """Tell whether this instance holds the lease and has applied all earlier entries."""
        status = self.status()
        return (
            status.role is Role.LEADER
            and trio.current_time() < status.lease_end
            and self.state.applied_term == status.term
        )

    def receive(self, envelope: PeerEnvelope) -> None:
        """Take a replication message, or drop it when the driver is behind."""
        try:
            message = decode_envelope(envelope.payload)
        except msgspec.DecodeError:
            return
        if message.sender != envelope.sender or message.recipient != self.identity:
            return
        with suppress(trio.WouldBlock):
            self._outgoing.send_nowait(message)

    async def commit(self, payload: bytes, timeout_s: float) -> ForwardAnswer:
        """Commit a command on this instance if it leads."""
        refusal = _check_command(payload)
        if refusal is not None:
            return refusal
        proposal = Proposal(payload)
        try:
            self._outgoing.send_nowait(proposal)
        except trio.WouldBlock:
            return ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail='too many commands')
        with trio.move_on_after(timeout_s):
            await proposal.done.wait()
            return proposal.answer
        proposal.is_abandoned = True
        if proposal.is_proposed:
            return ForwardAnswer(refusal=Refusal.UNKNOWN, detail='no quorum answered in time')
        return proposal.answer

    def change_membership(self, change: MembershipChange) -> bool:
        """Propose a membership change; returns whether it could be proposed now."""
        try:
            self._replica.change_membership(change, trio.current_time())
        except (NotLeader, MembershipRefused):
            return False
        self._status = self._replica.status()
        return True

    def transfer(self, target: str) -> bool:
        """Hand leadership over; returns whether that could be started."""
        try:
            self._replica.transfer(target, trio.current_time())
        except (NotLeader, MembershipRefused):
            return False
        self._status = self._replica.status()
        return True

    async def run(self) -> None:
        """Drive the replica until cancelled."""
        next_tick = trio.current_time()
        while True:
            with trio.move_on_at(next_tick):
                self._handle(await self._inbox.receive())
            self._drain()
            now = trio.current_time()
            if now >= next_tick:
                self._replica.tick(now)
                next_tick = now + self._next_tick_s()
            # Before messages go out: one of them may let another leader be elected.
            self._status = self._replica.status()
            await self._carry_out()
            self._status = self._replica.status()
            self._confirm_as_leader()
            self._release_waiting()

    def _next_tick_s(self) -> float:
        """Return the time to the next time input; an instance that is no member has no timers."""
        is_member = self.identity in self._status.configuration.members
        return self._tick_s if is_member else max(self._tick_s, OUTSIDER_TICK_S)

    def _drain(self) -> None:
        for _ in range(INPUTS_PER_ROUND):
            try:
                self._handle(self._inbox.receive_nowait())
            except trio.WouldBlock:
                return

    def _handle(self, taken: Input) -> None:
        match taken:
            case Envelope():
                self._replica.receive(taken, trio.current_time())
            case Proposal(is_abandoned=False):
                self._propose(taken)

    def _propose(self, proposal: Proposal) -> None:
        try:
            position = self._replica.propose(proposal.payload, trio.current_time())
        except NotLeader as error:
            proposal.finish(ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail=error.message))
            return
        proposal.is_proposed = True
        proposal.term = position[1]
        self._waiting[position[0]] = proposal

    async def _carry_out(self) -> None:
        """Carry out effects in the order that the replica requires, until there are none."""
        effects = self._replica.take_effects()
        while effects != Effects():
            await self._persist(effects)
            self._send_messages(effects)
            self._apply(effects)
            self._take_snapshot()
            effects = self._replica.take_effects()

    async def _persist(self, effects: Effects) -> None:
        if not (effects.hard_state or effects.entries or effects.snapshot):
            return
        await self._run_blocking(self._store.save, effects)
        if effects.entries:
            self._replica.persisted(effects.entries[-1].index)

    def _send_messages(self, effects: Effects) -> None:
        if any(isinstance(each.message, AppendReply) for each in effects.messages):
            self.before_reply()
        for message in effects.messages:
            payload = encode_envelope(message)
            self._send(
                PeerEnvelope(
                    self.group, message.sender, message.recipient, Channel.REPLICATION, payload
                )
            )

    def _apply(self, effects: Effects) -> None:
        before = self.state.applied_index
        if effects.snapshot is not None:
            snapshot = effects.snapshot
            self.state.restore(snapshot.index, snapshot.term, snapshot.payload)
            self._delivered_index = max(self._delivered_index, snapshot.index)
        for entry in effects.committed:
            result = self.state.apply(entry)
            self._answer(entry, result)
            self._delivered_index = entry.index
        if self.state.applied_index != before:
            self.state.settle()
            self.state.notify()

    def _answer(self, entry: Entry, result: Result | None) -> None:
        proposal = self._waiting.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term and result is not None:
            proposal.finish(ForwardAnswer(encode_result(result)))
        elif proposal.term == entry.term:
            proposal.finish(ForwardAnswer(refusal=Refusal.UNKNOWN, detail='already applied'))
        else:
            detail = 'the entry was replaced by another leader'
            proposal.finish(ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail=detail))

    def _take_snapshot(self) -> None:
        is_aligned = self._delivered_index == self.state.applied_index
        if is_aligned and self._replica.is_snapshot_due():
            self._replica.compact(self.state.applied_index, self.state.zone.snapshot())

    def _confirm_as_leader(self) -> None:
        """Note for the local state that a majority still answered at some time."""
        status = self.status()
        if status.role is Role.LEADER and self.state.applied_term == status.term:
            if status.last_leader_contact > -math.inf:
                self.state.confirm(status.commit_index, status.last_leader_contact)

    def _release_waiting(self) -> None:
        """Let submitters retry once this replica leads no more; their commands may commit yet."""
        if not self._waiting or self.status().role is Role.LEADER:
            return
        for proposal in self._waiting.values():
            proposal.finish(ForwardAnswer(refusal=Refusal.UNKNOWN, detail='leadership was lost'))
        self._waiting.clear()


def _do_nothing() -> None:
    """Stand in for a hook that is not set."""


def _check_command(payload: bytes) -> ForwardAnswer | None:
    """Refuse what could not be applied, since every replica would stop at such an entry."""
    try:
        decode_command(payload)
    except UNDECODABLE as error:
        return ForwardAnswer(refusal=Refusal.INVALID, detail=repr(error))
    return None
