"""Tests of the entries that an instance keeps for those that follow it."""

from __future__ import annotations

from uuid import uuid4

import pytest

from shallotmux.authority import GroupState, PutDocument, encode_command
from shallotmux.authority._group_state import MAX_RECENT_BYTES, MAX_RECENT_ENTRIES
from shallotmux.replication import Entry, EntryKind


def apply_documents(state: GroupState, count: int, size: int) -> None:
    for index in range(state.applied_index + 1, state.applied_index + count + 1):
        command = PutDocument(uuid4().hex, index, bytes(size))
        state.apply(Entry(index, 1, EntryKind.COMMAND, encode_command(command)))


def kept_entries(state: GroupState) -> int:
    """Return how far behind an instance may be to receive entries and not the whole state."""
    behind = 0
    while behind < state.applied_index:
        if state.entries_after(state.applied_index - behind - 1) is None:
            return behind
        behind += 1
    return behind


@pytest.mark.parametrize(
    ('size', 'expected'),
    ((10, MAX_RECENT_ENTRIES), (1 << 20, 7), (2 * MAX_RECENT_BYTES, 1)),
)
def test_entries_kept_for_followers_are_bounded_by_bytes(size: int, expected: int) -> None:
    """Guards against an instance whose memory grows with the size of each configuration change."""
    state = GroupState()
    apply_documents(state, 1200 if size == 10 else 20, size)
    assert kept_entries(state) == expected


def test_entries_kept_for_followers_are_counted_anew_after_a_snapshot() -> None:
    """Guards against an instance that keeps too few entries since it restored its state."""
    state = GroupState()
    apply_documents(state, 7, 1 << 20)
    restored = GroupState()
    apply_documents(restored, 3, 1 << 20)
    restored.restore(state.applied_index, 1, state.zone.snapshot())
    assert kept_entries(restored) == 0
    apply_documents(restored, 7, 1 << 20)
    assert kept_entries(restored) == 7
