"""Tests of the capacity measurements."""

from __future__ import annotations

import pytest

from shallotmux.measure import capacity
from shallotmux.measure._latency import routing_times


def test_slope_is_the_increase_per_unit() -> None:
    """Guards against a wrong least-squares fit of the slopes."""
    points = tuple(capacity.Point(size, (5 + 0.25 * size,)) for size in (1, 2, 4, 8))
    slope = capacity.Slope('title', 'number', ('cost',), points)
    assert slope.slopes() == pytest.approx([0.25])
    assert '| slope | 0.25 |' in slope.table()


def test_every_size_is_measured() -> None:
    """Guards against a slope that is fitted to fewer sizes than configured."""
    assert set(routing_times((3, 5), decisions=10)) == {3, 5}
    slope = capacity.measure_fairness()
    assert [point.size for point in slope.points] == list(capacity.CUSTOMER_SIZES)
    assert len(slope.points) == 4
