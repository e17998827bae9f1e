"""Tests of the applied state of a group."""

from __future__ import annotations

from shallotmux.authority import Applied, GroupState, PutObject, encode_command
from shallotmux.replication import Entry, EntryKind
from shallotmux.world import Contract, Customer


def entry(index: int, weight: float) -> Entry:
    """Return an entry that changes the weight of a customer."""
    command = PutObject(f'put-{index}', Customer('tailors', Contract(weight)), index - 1)
    return Entry(index, 1, EntryKind.COMMAND, encode_command(command))


def test_late_entry_does_not_revert_the_configuration() -> None:
    """Guards against an earlier entry, delivered late, that is applied after a later one."""
    state = GroupState()
    assert state.apply(entry(1, 1)) == Applied(1)
    assert state.apply(entry(2, 2)) == Applied(2)
    state.zone.results.clear()
    state.apply(entry(1, 1))
    assert state.applied_index == 2
    customer = state.zone.customer('tailors')
    assert customer is not None
    assert customer.contract.weight == 2


def test_older_snapshot_does_not_revert_the_configuration() -> None:
    """Guards against a snapshot, delivered late, that replaces a newer state."""
    state = GroupState()
    state.apply(entry(1, 1))
    older = state.zone.snapshot()
    state.apply(entry(2, 2))
    state.restore(1, 1, older)
    customer = state.zone.customer('tailors')
    assert customer is not None
    assert customer.contract.weight == 2
