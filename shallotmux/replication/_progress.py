"""Replication from a leader to one follower."""

from __future__ import annotations

from shallotmux.replication._messages import AppendReply, AppendRequest, SnapshotRequest
from shallotmux.replication._model import Entry
from shallotmux.replication._state import NEVER, ReplicaState


class Progress:
    """Replication state of one follower.

    A follower is probed with empty appends until its log matches; then entries are sent without
    waiting for acknowledgements, up to a limit. An empty append contains the index of the last
    entry sent, so a follower that missed a message refuses the next append.
    """

    def __init__(self, name: str, next_index: int) -> None:
        self.name = name
        #: Highest index known to be held by the follower.
        self.match_index = 0
        #: Newest heartbeat round acknowledged, and its send time.
        self.acked_round = 0
        self.acked_at = NEVER
        self._next_index = next_index
        self._is_probing = True
        self._snapshot_deadline = NEVER
        self._sent_commit = 0

    def record(self, reply: AppendReply) -> None:
        """Update the acknowledged round and the match index from a reply."""
        self.acked_round = max(self.acked_round, reply.round_number)
        self.acked_at = max(self.acked_at, reply.sent_at)
        if reply.accepted:
            self.match_index = max(self.match_index, reply.match_index)
            self._next_index = max(self._next_index, self.match_index + 1)
            if reply.match_index + 1 >= self._next_index or not self._is_probing:
                self._is_probing = False
            if self.match_index + 1 >= self._next_index:
                self._snapshot_deadline = NEVER

    def step_back(self, state: ReplicaState, reply: AppendReply) -> bool:
        """Probe at a lower index after a refusal.

        :returns: False if the refusal is stale or a snapshot is being installed.
        """
        is_stale = reply.previous_index <= self.match_index
        if is_stale or reply.previous_index >= self._next_index or self._is_installing(state):
            return False
        self._is_probing = True
        self._next_index = max(self.match_index, min(reply.match_index, state.log.last_index)) + 1
        return True

    def send_heartbeat(self, state: ReplicaState, round_number: int) -> None:
        """Send an empty append, or the snapshot if the follower needs it."""
        previous_term = state.log.term_at(self._next_index - 1)
        if previous_term is None:
            self._send_snapshot(state, round_number)
        else:
            self._send_append(state, previous_term, (), round_number)

    def send_pending(self, state: ReplicaState, round_number: int) -> None:
        """Send pending entries and the commit index, within flow control."""
        if self._is_probing or self._is_installing(state):
            return
        while self._send_window(state) > 0:
            previous_term = state.log.term_at(self._next_index - 1)
            if previous_term is None:
                self._send_snapshot(state, round_number)
                return
            self._send_append(state, previous_term, self._batch(state), round_number)
        if self._sent_commit < min(state.commit_index, self._next_index - 1):
            self.send_heartbeat(state, round_number)

    def _send_window(self, state: ReplicaState) -> int:
        """Return how many entries may be sent now."""
        log, options = state.log, state.options
        in_flight = self._next_index - 1 - self.match_index
        waiting = log.last_index + 1 - self._next_index
        window = min(waiting, options.max_in_flight_entries - in_flight)
        if window <= 0:
            return window
        last = log.last_within(self.match_index + 1, options.max_in_flight_bytes)
        # An entry larger than the limit is sent once nothing else is in flight.
        least = 0 if in_flight else 1
        return min(window, max(least, last + 1 - self._next_index))

    def _batch(self, state: ReplicaState) -> tuple[Entry, ...]:
        count = min(self._send_window(state), state.options.max_batch_entries)
        entries = state.log.slice_from(self._next_index, self._next_index + count - 1)
        size = len(entries[0].payload)
        for position, entry in enumerate(entries[1:], start=1):
            size += len(entry.payload)
            if size > state.options.max_batch_bytes:
                return entries[:position]
        return entries

    def _send_append(
        self,
        state: ReplicaState,
        previous_term: int,
        entries: tuple[Entry, ...],
        round_number: int,
    ) -> None:
        request = AppendRequest(
            state.term,
            self._next_index - 1,
            previous_term,
            entries,
            state.commit_index,
            round_number,
            state.now,
            state.silences,
        )
        state.send(self.name, request)
        self._next_index += len(entries)
        self._sent_commit = min(state.commit_index, self._next_index - 1)

    def _is_installing(self, state: ReplicaState) -> bool:
        return state.now < self._snapshot_deadline

    def _send_snapshot(self, state: ReplicaState, round_number: int) -> None:
        snapshot = state.log.snapshot
        if snapshot is None:
            return
        state.send(self.name, SnapshotRequest(state.term, snapshot, round_number, state.now))
        self._next_index = snapshot.index + 1
        self._snapshot_deadline = state.now + state.options.snapshot_retry_s
