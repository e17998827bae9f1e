"""Tests that entries and snapshots delivered late leave the applied state unchanged."""

from __future__ import annotations

from shallotmux.authority import Applied, GroupState, PutObject, encode_command
from shallotmux.replication import Entry, EntryKind
from shallotmux.world import Contract, Customer


def make_entry(index: int, weight: float) -> Entry:
    """Return an entry that sets the weight of a customer."""
    command = PutObject(f'put-{index}', Customer('tailors', Contract(weight)), index - 1)
    return Entry(index, 1, EntryKind.COMMAND, encode_command(command))


def test_late_entry_does_not_revert_the_configuration() -> None:
    """Guards against an entry that is delivered late and applied after a newer one."""
    state = GroupState()
    assert state.apply(make_entry(1, 1)) == Applied(1)
    assert state.apply(make_entry(2, 2)) == Applied(2)
    state.zone.results.clear()
    state.apply(make_entry(1, 1))
    assert state.applied_index == 2
    customer = state.zone.customer('tailors')
    assert customer is not None
    assert customer.contract.weight == 2


def test_older_snapshot_does_not_revert_the_configuration() -> None:
    """Guards against a snapshot that is delivered late and replaces a newer state."""
    state = GroupState()
    state.apply(make_entry(1, 1))
    older = state.zone.snapshot()
    state.apply(make_entry(2, 2))
    state.restore(1, 1, older)
    customer = state.zone.customer('tailors')
    assert customer is not None
    assert customer.contract.weight == 2
