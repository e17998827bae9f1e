"""Event loop of a replica: timers, messages, durable storage and applied state."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio
from eliot import log_message

from shallotmux.authority._commands import parse_command
from shallotmux.authority._document import ReadDocument
from shallotmux.authority._driver_inputs import Input, Proposal, ReceivedMessage
from shallotmux.authority._group_state import GroupState
from shallotmux.authority._reads import NO_QUORUM, ConfirmedReads
from shallotmux.authority._state import Result, encode_result
from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import AuthorityUnavailable, MembershipRefused, NotLeader
from shallotmux.repeats import RepeatLog
from shallotmux.replication import (
    AppendReply,
    Effects,
    Entry,
    FollowerStatus,
    LogSizes,
    MembershipChange,
    Replica,
    ReplicaStatus,
    Role,
    StoredGroup,
    decode_envelope,
    encode_envelope,
)
from shallotmux.suspension import SuspensionMonitor
from shallotmux.transport import Channel, ForwardAnswer, PeerEnvelope, Refusal

#: Capacity of the input queue. When it is full, envelopes are dropped and commands are refused.
INBOX_CAPACITY = 4096

#: Bytes of replication messages, and of commands, that wait in the input queue while the disk is
#: slow. What comes on top is dropped, or refused.
MAX_INBOX_MESSAGE_BYTES = 16 << 20
MAX_INBOX_COMMAND_BYTES = 8 << 20

#: Tick interval of an instance that is not a member. It has no timers, so the interval only
#: limits how late they start after it has joined the group.
NON_MEMBER_TICK_S = 1.0

#: Reason of a message that is dropped since too much waits for the disk.
QUEUE_FULL = 'too much is queued'

#: Inputs handled before their effects are executed, so that they share one append and one sync.
MAX_INPUTS_PER_BATCH = 512


class GroupStorage(Protocol):
    """Durable storage of a replica."""

    def load(self) -> StoredGroup | None:
        """Return the stored state, or None for a new member."""

    def save(self, effects: Effects) -> None:
        """Make term, vote, entries and snapshot durable."""


#: Runs the blocking call of the store. The daemon uses a worker thread, since a sync takes
#: milliseconds during which the event loop could relay no tokens. Tests run it inline, on the test
#: clock.
RunBlocking = Callable[[Callable[[Effects], None], Effects], Awaitable[None]]


async def run_in_thread(save: Callable[[Effects], None], effects: Effects) -> None:
    """Save in a worker thread."""
    await trio.to_thread.run_sync(save, effects)


async def run_inline(save: Callable[[Effects], None], effects: Effects) -> None:
    """Save on the event loop, for stores that do not block."""
    save(effects)


class GroupDriver:
    """Feeds ticks, messages and commands to a replica and executes its effects.

    :param send: queues an envelope for a peer; must not block.
    :param tick_s: interval between ticks.
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
        self._suspension = SuspensionMonitor()
        self.group = group
        self.identity = identity
        self.state = state
        self._replica = replica
        self._store = store
        self._send = send
        self._tick_s = tick_s
        self._run_blocking = run_blocking
        self._refused_changes = RepeatLog('shallotmux:membership-refused')
        self._refused_transfers = RepeatLog('shallotmux:transfer-refused')
        self._dropped_messages = RepeatLog('shallotmux:message-dropped')
        channels = trio.open_memory_channel[Input](INBOX_CAPACITY)
        self._inbox_sender = channels[0]
        self._inbox_receiver = channels[1]
        #: Size of the replication messages that wait to be processed.
        self.queued_message_bytes = 0
        #: Local time of the last message of each member.
        self.heard_at: dict[str, float] = {}
        self._queued_command_bytes = 0
        self._pending_proposals: dict[int, Proposal] = {}
        self._reads = ConfirmedReads(replica, state)
        self._status = replica.status()
        #: Called before a reply to the leader is sent, so that other messages to the leader can be
        #: sent in the same batch.
        self.before_reply: Callable[[], None] = _do_nothing
        #: Last index that the replica has delivered. The state may be ahead of it, since it also
        #: applies entries received from a followed instance.
        self._delivered_index = state.applied_index

    def status(self) -> ReplicaStatus:
        """Return the replica's status after its last input.

        The lease may have been extended since, but never shortened.
        """
        return self._status

    def followers(self) -> dict[str, FollowerStatus]:
        """Return the replication status of each follower; empty unless this instance leads."""
        return self._replica.followers()

    def sizes(self) -> LogSizes:
        """Return the sizes of the replica's log and snapshot."""
        return self._replica.sizes()

    def is_leader(self) -> bool:
        """Return whether this instance holds the lease and has applied all earlier entries."""
        status = self.status()
        return (
            status.role is Role.LEADER
            and trio.current_time() < status.lease_end
            and status.last_leader_contact > self._suspension.noticed_at()
            and self.state.applied_term == status.term
        )

    def receive(self, envelope: PeerEnvelope) -> None:
        """Queue a replication message; drop it if it is malformed or the queue is full."""
        size = len(envelope.payload)
        if self.queued_message_bytes + size > MAX_INBOX_MESSAGE_BYTES and self.queued_message_bytes:
            self._record_dropped(envelope, QUEUE_FULL)
            return
        try:
            message = decode_envelope(envelope.payload)
        except DECODE_ERRORS as error:
            # The sender repeats it for ever; it may be of another version of the program.
            self._record_dropped(envelope, f'unreadable: {type(error).__name__}')
            return
        if message.sender != envelope.sender or message.recipient != self.identity:
            return
        if message.sender in self._status.configuration.members:
            self.heard_at[message.sender] = trio.current_time()
        try:
            self._inbox_sender.send_nowait(ReceivedMessage(message, size))
        except trio.WouldBlock:
            self._record_dropped(envelope, QUEUE_FULL)
            return
        self.queued_message_bytes += size

    async def commit(self, payload: bytes, timeout_s: float) -> ForwardAnswer:
        """Commit a command on this instance, or answer a read, if it leads."""
        command = parse_command(payload)
        if isinstance(command, ForwardAnswer):
            return command
        proposal = Proposal(payload, command if isinstance(command, ReadDocument) else None)
        if not self._queue(proposal):
            return ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail='too many commands')
        with trio.move_on_after(timeout_s):
            await proposal.done.wait()
            return proposal.answer
        proposal.is_abandoned = True
        if proposal.is_proposed:
            return ForwardAnswer(refusal=Refusal.UNKNOWN, detail=NO_QUORUM)
        return proposal.answer

    def change_membership(self, change: MembershipChange) -> bool:
        """Propose a membership change, log the outcome, and return whether it was accepted."""
        try:
            self._replica.change_membership(change, trio.current_time())
        except (NotLeader, MembershipRefused) as refusal:
            self._refused_changes.record(refusal.message, group=self.group, change=repr(change))
            return False
        self._status = self._replica.status()
        self._refused_changes.forget()
        log_message(
            message_type='shallotmux:membership-change', group=self.group, change=repr(change)
        )
        return True

    def transfer(self, target: str) -> bool:
        """Start a leadership transfer, log a refusal, and return whether it was accepted."""
        try:
            self._replica.transfer(target, trio.current_time())
        except (NotLeader, MembershipRefused) as refusal:
            self._refused_transfers.record(
                refusal.message, level='warning', group=self.group, target=target
            )
            return False
        self._status = self._replica.status()
        return True

    async def run(self) -> None:
        """Run the replica until cancelled."""
        next_tick = trio.current_time()
        while True:
            with trio.move_on_at(next_tick):
                self._handle(await self._inbox_receiver.receive())
            self._handle_queued()
            self._reads.start(trio.current_time())
            now = trio.current_time()
            if now >= next_tick:
                self._replica.tick(now)
                next_tick = now + self._next_tick_s()
            # Updated before messages are sent: after a TimeoutNow another leader may be elected.
            self._status = self._replica.status()
            await self._execute_effects()
            self._status = self._replica.status()
            self._confirm_state()
            self._answer_pending_proposals()

    def _record_dropped(self, envelope: PeerEnvelope, reason: str) -> None:
        self._dropped_messages.record(
            f'{envelope.sender}: {reason}',
            level='warning',
            group=self.group,
            size=len(envelope.payload),
        )

    def _queue(self, proposal: Proposal) -> bool:
        """Queue a command and return whether there was room for it."""
        size = len(proposal.payload)
        queued = self._queued_command_bytes
        if queued and queued + size > MAX_INBOX_COMMAND_BYTES:
            return False
        try:
            self._inbox_sender.send_nowait(proposal)
        except trio.WouldBlock:
            return False
        self._queued_command_bytes += size
        return True

    def _next_tick_s(self) -> float:
        """Return the time to the next tick; only members of the group have timers."""
        is_member = self.identity in self._status.configuration.members
        return self._tick_s if is_member else max(self._tick_s, NON_MEMBER_TICK_S)

    def _handle_queued(self) -> None:
        for _ in range(MAX_INPUTS_PER_BATCH):
            try:
                self._handle(self._inbox_receiver.receive_nowait())
            except trio.WouldBlock:
                return

    def _handle(self, received: Input) -> None:
        match received:
            case ReceivedMessage():
                self.queued_message_bytes -= received.size
                self._replica.receive(received.envelope, trio.current_time())
            case Proposal():
                self._queued_command_bytes -= len(received.payload)
                self._start(received)

    def _start(self, proposal: Proposal) -> None:
        if proposal.is_abandoned:
            return
        if proposal.read is None:
            self._propose(proposal)
        else:
            self._reads.add(proposal)

    def _propose(self, proposal: Proposal) -> None:
        try:
            position = self._replica.propose(proposal.payload, trio.current_time())
        except AuthorityUnavailable as error:
            proposal.finish(ForwardAnswer(refusal=Refusal.NOT_COMMITTED, detail=error.message))
            return
        proposal.is_proposed = True
        proposal.term = position[1]
        self._pending_proposals[position[0]] = proposal

    async def _execute_effects(self) -> None:
        """Execute effects in the order that :class:`Effects` requires, until none are left."""
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
            self._replica.mark_persisted(effects.entries[-1].index)

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
            self.state.apply_confirmations()
            self.state.notify()
        self._reads.answer(effects.reads)

    def _answer(self, entry: Entry, result: Result | None) -> None:
        proposal = self._pending_proposals.pop(entry.index, None)
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
            before = self._replica.sizes()
            self._replica.compact(self.state.applied_index, self.state.zone.snapshot())
            after = self._replica.sizes()
            log_message(
                message_type='shallotmux:snapshot-taken',
                group=self.group,
                index=self.state.applied_index,
                entry_bytes_before=before.entry_bytes,
                entry_bytes=after.entry_bytes,
                snapshot_bytes=after.snapshot_bytes,
            )

    def _confirm_state(self) -> None:
        """Confirm the local state once it holds an entry of the present leader's term.

        A leader commits such an entry after all earlier ones. Its own state is current as of the
        last round that a majority answered.
        """
        status = self.status()
        if self.state.applied_term != status.term:
            return
        if status.leader is not None:
            self.state.outdated_since = None
        if status.role is Role.LEADER and status.last_leader_contact > -math.inf:
            self.state.confirm(status.commit_index, status.last_leader_contact)

    def _answer_pending_proposals(self) -> None:
        """Answer pending proposals after a loss of leadership; their commands may still commit."""
        if self.status().role is Role.LEADER:
            return
        self._reads.drop()
        for proposal in self._pending_proposals.values():
            proposal.finish(ForwardAnswer(refusal=Refusal.UNKNOWN, detail='leadership was lost'))
        self._pending_proposals.clear()


def _do_nothing() -> None:
    """Serve as the default of a hook that is not set."""
