"""Tests of the linearizability checker."""

from __future__ import annotations

from typing import Any

import pytest

from shallotmux.checking import (
    Operation,
    claim_ledger,
    compare_and_set_register,
    fencing_register,
    is_linearizable,
)


def set_call(begin: int, end: int | None, expected: int, value: int, result: Any) -> Operation:
    return Operation('set', (expected, value), begin, end, result)


def get_call(begin: int, end: int, result: int) -> Operation:
    return Operation('get', (), begin, end, result)


@pytest.mark.parametrize(
    ('history', 'expected'),
    [
        ([set_call(1, 2, 0, 1, True), get_call(3, 4, 1)], True),
        ([set_call(1, 2, 0, 1, True), get_call(3, 4, 0)], False),
        ([set_call(1, 4, 0, 1, True), get_call(2, 3, 0)], True),
        ([set_call(1, 3, 0, 1, True), set_call(2, 4, 0, 2, True)], False),
        ([set_call(1, None, 0, 1, None), get_call(2, 3, 1), get_call(4, 5, 0)], False),
        ([set_call(1, None, 0, 1, None), get_call(2, 3, 0), get_call(4, 5, 1)], True),
        ([get_call(1, 2, 1), set_call(3, None, 0, 1, None)], False),
    ],
)
def test_register_history(history: list[Operation], *, expected: bool) -> None:
    """Guards against a checker that accepts stale reads, lost writes or reads of later writes."""
    assert is_linearizable(history, compare_and_set_register, 0) is expected


@pytest.mark.parametrize(
    ('second', 'expected'), [('granted', False), ('running', True), ('answer', False)]
)
def test_claim_history(second: str, *, expected: bool) -> None:
    """Guards against a checker that accepts a job claimed twice."""
    history = [
        Operation('claim', ('job', 'a'), 1, 3, 'granted'),
        Operation('claim', ('job', 'b'), 2, 4, second),
        Operation('finish', ('job', 'a', 'answer'), 5, 6, True),
        Operation('claim', ('job', 'b'), 7, 8, 'answer'),
    ]
    assert is_linearizable(history, claim_ledger, frozenset()) is expected


def test_fencing_history() -> None:
    """Guards against a checker that accepts an order with an old fencing token."""
    newer = Operation('order', ((2, 1),), 1, 2, True)
    refused = Operation('order', ((1, 9),), 3, 4, False)
    accepted = Operation('order', ((1, 9),), 3, 4, True)
    overlapping = Operation('order', ((1, 9),), 1, 4, True)
    assert is_linearizable([newer, refused], fencing_register, (0, 0))
    assert not is_linearizable([newer, accepted], fencing_register, (0, 0))
    assert is_linearizable([newer, overlapping], fencing_register, (0, 0))
