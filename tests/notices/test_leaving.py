"""Tests of the record of endpoints that leave."""

from __future__ import annotations

import pytest

from shallotmux.notices import LEAVING_RESUME_S, LeavingRecords, says_leaving
from shallotmux.notices._leaving import MAX_STARTS


@pytest.mark.parametrize(
    ('text', 'expected'),
    [(b'1', True), (b' true', True), (b'0', False), (b'', False), (None, False)],
)
def test_header_is_read(text: bytes | None, *, expected: bool) -> None:
    """Guards against endpoints that are taken to leave, or to stay, by mistake."""
    assert says_leaving(text) is expected


def test_leaving_is_remembered_and_streams_may_go_on_for_a_time() -> None:
    """Guards against streams lost at a release, and against memory that only grows."""
    records = LeavingRecords()
    assert records.add(7, 10)
    assert not records.add(7, 11)
    assert 7 in records
    assert records.may_resume(7, 10 + LEAVING_RESUME_S - 0.1)
    assert not records.may_resume(7, 10 + LEAVING_RESUME_S)
    assert not records.may_resume(8, 10)
    for start in range(10, MAX_STARTS + 10):
        records.add(start, 12)
    assert 7 not in records
