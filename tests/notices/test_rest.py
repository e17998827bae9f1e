"""Tests of the times for which endpoints ask for rest."""

from __future__ import annotations

import pytest

from shallotmux.notices import MAX_REST_S, RestRecords, parse_rest_s
from shallotmux.notices._rest import MAX_STARTS

#: Time since 1970 of Sat, 05 Dec 2026 01:00:00 GMT.
WALL_TIME_S = 1_796_432_400


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [
        (b'3', 3),
        (b' 2.5 ', 2.5),
        (b'0', 0),
        (b'-4', 0),
        (b'nan', 0),
        (b'inf', 0),
        (b'1e9', MAX_REST_S),
        (b'soon', 0),
        (b'', 0),
        (b'\xff\x00', 0),
        (None, 0),
        (b'Sat, 05 Dec 2026 01:00:05 GMT', 5),
        (b'Sat, 05 Dec 2026 00:59:00 GMT', 0),
        (b'Sat, 05 Dec 9999 00:59:00 GMT', MAX_REST_S),
    ],
)
def test_times_are_read_as_they_are_meant(text: bytes | None, seconds: float) -> None:
    """Guards against endpoints that get no rest, or are lost, since their header is unusual."""
    assert parse_rest_s(text, WALL_TIME_S) == pytest.approx(seconds)


def test_latest_end_is_remembered_for_a_bounded_number_of_starts() -> None:
    """Guards against a rest cut short by a second answer, and against memory that only grows."""
    records = RestRecords()
    records.extend(1, 50)
    assert records.extend(1, 20) == pytest.approx(50)
    assert records.until(2) == float('-inf')
    for start in range(2, MAX_STARTS + 2):
        records.extend(start, 1)
    assert records.until(1) == float('-inf')
