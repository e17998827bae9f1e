"""Replica of a group: a state machine without I/O, driven by time, messages and proposals."""

from __future__ import annotations

from random import Random

from shallotmux.errors import LogFull, NotLeader
from shallotmux.replication._election import Election
from shallotmux.replication._following import handle_append, handle_snapshot
from shallotmux.replication._leadership import Leadership
from shallotmux.replication._log_offer import handle_log_offer
from shallotmux.replication._messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    LogOffer,
    Message,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from shallotmux.replication._model import (
    Effects,
    EntryKind,
    FollowerStatus,
    LogSizes,
    MembershipChange,
    ReplicaOptions,
    ReplicaStatus,
    Role,
    StoredGroup,
)
from shallotmux.replication._state import NEVER, ReplicaState


class Replica:
    """One member of a replication group.

    The driver calls :meth:`take_effects` after each input, executes the effects as described in
    :class:`Effects`, and repeats this until they are empty. Pending reads and proposals of a leader
    that steps down are not answered; the driver sees the change of term in :meth:`status`.

    :param name: identity of the member; a diskless voter must restart under a new one.
    :param stored: state loaded from storage, ``bootstrap_group(...)`` for a voter of a new group,
        or ``StoredGroup()`` for a new member.
    :param random: source of the election timeouts.
    :param now: local monotonic time in seconds.
    """

    def __init__(
        self, name: str, stored: StoredGroup, options: ReplicaOptions, random: Random, now: float
    ) -> None:
        self._state = ReplicaState(name, stored, options, random, now)
        self._election = Election(self._state)
        self._leadership: Leadership | None = None
        self._last_token = 0

    def tick(self, now: float) -> None:
        """Process timers; must be called at least every quarter of the heartbeat interval."""
        state = self._state
        state.now = now
        leadership = self._current_leadership()
        if leadership is not None:
            leadership.tick()
        elif now >= state.election_deadline:
            self._election.start_pre_vote()
        self._lead_if_elected()

    def receive(self, envelope: Envelope, now: float) -> None:
        """Process a message of another member."""
        self._state.now = now
        if self._accept_term(envelope.message):
            self._dispatch(envelope.sender, envelope.message)
        elif envelope.message.term < self._state.term:
            self._answer_old_term(envelope.sender, envelope.message)
        self._lead_if_elected()

    def propose(self, payload: bytes, now: float) -> tuple[int, int]:
        """Append a command and return its index and term.

        The command is committed once ``Effects.committed`` contains an entry with this index and
        term; an entry with this index and another term means that the command is lost.

        :raises NotLeader: if this replica does not lead or is transferring leadership.
        :raises LogFull: if too many bytes wait for a quorum.
        """
        leadership = self._require_leadership('propose', now)
        if leadership.is_transferring:
            raise NotLeader('leadership is being transferred', step='propose')
        self._check_uncommitted(len(payload))
        return leadership.append(EntryKind.COMMAND, payload)

    def read_index(self, now: float, *, uses_lease: bool = True) -> int:
        """Request a linearizable read and return its token.

        The read is ready when ``Effects.reads`` contains the token.

        :param uses_lease: whether a valid lease suffices; otherwise a majority confirms each read.
        :raises NotLeader: if this replica does not lead.
        """
        leadership = self._require_leadership('read', now)
        self._last_token += 1
        leadership.add_read(self._last_token, uses_lease=uses_lease)
        return self._last_token

    def transfer(self, target: str, now: float) -> None:
        """Transfer leadership to another voter.

        :raises NotLeader: if this replica does not lead.
        :raises MembershipRefused: if the target may not lead.
        """
        self._require_leadership('transfer', now).transfer(target)

    def change_membership(self, change: MembershipChange, now: float) -> tuple[int, int]:
        """Propose a membership change and return its index and term.

        :raises NotLeader: if this replica does not lead.
        :raises MembershipRefused: if the change is not valid now.
        """
        return self._require_leadership('change membership', now).change_membership(change)

    def compact(self, index: int, payload: bytes) -> None:
        """Store a snapshot of the application's state after an applied index.

        :raises ValueError: if the index is not applied yet or not after the last snapshot.
        """
        state = self._state
        snapshot_index = state.log.snapshot.index if state.log.snapshot else 0
        if not snapshot_index < index <= state.delivered_index:
            raise ValueError(
                f'no snapshot at {index}: only above {snapshot_index} up to {state.delivered_index}'
            )
        options = state.options
        state.unsaved_snapshot = state.log.compact(
            index, payload, options.retained_entries, options.retained_bytes
        )

    def is_snapshot_due(self) -> bool:
        """Return whether enough entries were committed since the last snapshot.

        A start reads the snapshot and then the log, so the log may grow to the size of the snapshot.
        """
        state = self._state
        snapshot = state.log.snapshot
        covered = snapshot.index if snapshot else 0
        if state.delivered_index - covered >= state.options.snapshot_after_entries:
            return True
        size = state.log.payload_bytes(covered + 1, state.delivered_index)
        least = max(state.options.snapshot_after_bytes, len(snapshot.payload) if snapshot else 0)
        return size >= least

    def mark_persisted(self, last_index: int) -> None:
        """Record that the entries up to an index and the effects with them are durable."""
        self._state.log.mark_persisted(last_index)
        leadership = self._current_leadership()
        if leadership is not None:
            leadership.advance_commit()

    def take_effects(self) -> Effects:
        """Return the effects since the last call, which the driver must execute."""
        state = self._state
        leadership = self._current_leadership()
        if leadership is not None:
            leadership.send_pending()
        committed = state.log.slice_from(state.delivered_index + 1, state.commit_index)
        effects = Effects(
            state.hard_state if state.is_hard_state_unsaved else None,
            state.log.take_unsaved(),
            state.unsaved_snapshot,
            tuple(state.messages),
            committed,
            tuple(state.reads),
        )
        state.delivered_index = state.commit_index
        state.is_hard_state_unsaved = False
        state.unsaved_snapshot = None
        state.messages = []
        state.reads = []
        return effects

    def status(self) -> ReplicaStatus:
        """Return the status as of the last input."""
        state = self._state
        leadership = self._current_leadership()
        return ReplicaStatus(
            state.role,
            state.term,
            state.leader,
            state.commit_index,
            state.log.last_index,
            NEVER if leadership is None else leadership.lease_end(),
            state.last_contact if leadership is None else leadership.quorum_contact(),
            state.configuration,
        )

    def sizes(self) -> LogSizes:
        """Return the sizes of the log and the snapshot."""
        log = self._state.log
        snapshot_bytes = len(log.snapshot.payload) if log.snapshot else 0
        return LogSizes(log.payload_bytes(log.first_index, log.last_index), snapshot_bytes)

    def followers(self) -> dict[str, FollowerStatus]:
        """Return the replication status of each follower; empty unless this replica leads."""
        leadership = self._current_leadership()
        return {} if leadership is None else leadership.followers()

    def _check_uncommitted(self, added_bytes: int) -> None:
        state = self._state
        uncommitted = state.log.payload_bytes(state.commit_index + 1, state.log.last_index)
        if uncommitted and uncommitted + added_bytes > state.options.max_uncommitted_bytes:
            raise LogFull(f'{uncommitted} bytes are not committed yet', step='propose')

    def _current_leadership(self) -> Leadership | None:
        return self._leadership if self._state.role is Role.LEADER else None

    def _require_leadership(self, step: str, now: float) -> Leadership:
        self._state.now = now
        leadership = self._current_leadership()
        if leadership is None:
            raise NotLeader(
                f'{self._state.name!r} does not lead', step=step, leader=self._state.leader
            )
        return leadership

    def _lead_if_elected(self) -> None:
        if self._state.role is Role.CANDIDATE and self._election.is_won():
            self._leadership = Leadership(self._state)

    def _accept_term(self, message: Message) -> bool:
        """Enter a newer term; return whether the message must be handled."""
        state = self._state
        match message:
            case VoteRequest(is_pre_vote=True) | VoteReply(is_pre_vote=True, granted=True):
                return True
            case VoteRequest() if self._election.is_disruptive(message):
                return False
            case _ if message.term > state.term:
                state.become_follower(message.term, None)
            case _ if message.term < state.term:
                return False
        return True

    def _dispatch(self, sender: str, message: Message) -> None:
        match message:
            case AppendRequest():
                handle_append(self._state, sender, message)
            case SnapshotRequest():
                handle_snapshot(self._state, sender, message)
            case AppendReply():
                self._record_reply(sender, message)
            case VoteRequest():
                self._election.handle_request(sender, message)
            case VoteReply():
                self._election.record_vote(sender, message)
            case LogOffer():
                handle_log_offer(self._state, message)
            case TimeoutNow():
                self._election.start_election(is_transfer=True)

    def _record_reply(self, sender: str, reply: AppendReply) -> None:
        leadership = self._current_leadership()
        if leadership is not None:
            leadership.record_reply(sender, reply)

    def _answer_old_term(self, sender: str, message: Message) -> None:
        """Send the current term to a leader or candidate of an older term."""
        match message:
            case AppendRequest() | SnapshotRequest():
                reply = AppendReply(self._state.term, False, 0, 0, 0, NEVER)
                self._state.send(sender, reply)
            case VoteRequest():
                self._state.send(sender, VoteReply(self._state.term, granted=False))
