"""Handling of the leader's messages."""

from __future__ import annotations

from shallotmux.errors import ShallotmuxError
from shallotmux.replication._messages import AppendReply, AppendRequest, SnapshotRequest
from shallotmux.replication._model import Entry
from shallotmux.replication._state import ReplicaState


def handle_append(state: ReplicaState, leader: str, request: AppendRequest) -> None:
    """Append the leader's entries if the log matches, and reply."""
    state.record_leader_contact(leader)
    state.contacts.record_report(request.silences, state.now)
    if request.previous_index < state.log.first_index - 1:
        # Entries before the first index held are committed, hence equal to the leader's.
        _reply(state, leader, request, state.commit_index)
        return
    if state.log.term_at(request.previous_index) != request.previous_term:
        _refuse(state, leader, request)
        return
    for entry in request.entries:
        append_if_new(state, entry)
    match_index = request.previous_index + len(request.entries)
    state.commit_index = max(state.commit_index, min(request.commit_index, match_index))
    _reply(state, leader, request, match_index)


def handle_snapshot(state: ReplicaState, leader: str, request: SnapshotRequest) -> None:
    """Install the leader's snapshot unless the log is committed up to its index."""
    state.record_leader_contact(leader)
    if request.snapshot.index > state.commit_index:
        state.restore(request.snapshot)
    _reply(state, leader, request, state.commit_index)


def append_if_new(state: ReplicaState, entry: Entry) -> None:
    """Append an entry, replacing an entry of another term and all that follow it.

    :raises ShallotmuxError: if the replaced entry is committed.
    """
    if state.log.term_at(entry.index) == entry.term:
        return
    if entry.index <= state.commit_index:
        raise ShallotmuxError(
            f'entry {entry.index} of term {entry.term} conflicts with a committed entry',
            step='append',
            peer=state.leader or '',
        )
    state.log.append(entry)


def _reply(
    state: ReplicaState, leader: str, request: AppendRequest | SnapshotRequest, match_index: int
) -> None:
    reply = AppendReply(state.term, True, match_index, 0, request.round_number, request.sent_at)
    state.send(leader, reply)


def _refuse(state: ReplicaState, leader: str, request: AppendRequest) -> None:
    """Refuse an append, with the last index at which the logs can be equal."""
    last = state.log.last_index
    if request.previous_index <= last:
        last = state.log.first_index_of_term_at(request.previous_index) - 1
    reply = AppendReply(
        state.term,
        False,
        max(last, state.commit_index),
        request.previous_index,
        request.round_number,
        request.sent_at,
    )
    state.send(leader, reply)
