"""Tests of the bytes between zones that polls and their answers take."""

from __future__ import annotations

from shallotmux.measure.fleetnews import measure_traffic

#: Bytes per second at which a day of 42 s stays below 0.1 GB.
BOUND = 0.1e9 / 42


def test_changes_take_a_fraction_of_the_bytes_between_zones() -> None:
    """Guards against whole lists, all names or all counts in messages between zones."""
    before = measure_traffic(2, is_incremental=False)
    after = measure_traffic(4, is_incremental=True)
    assert before.crossing > 3 * BOUND
    assert after.crossing < BOUND / 5
    assert after.within < BOUND / 5
