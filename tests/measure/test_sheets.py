"""Tests of the measurement of sheets."""

from __future__ import annotations

from shallotmux.decisions import RoutingPolicy
from shallotmux.measure._latency import admission_times
from shallotmux.measure.sheets import LOAD_ONLY, SheetLoad, run_sheets


def test_prefixes_pay_on_sheets() -> None:
    """Guards against a request path that does not use what the router knows."""
    load = SheetLoad(duration_s=8)
    late, hits, good, _ = run_sheets(load, RoutingPolicy()).figures()
    late_before, hits_before, good_before, _ = run_sheets(load, LOAD_ONLY).figures()
    assert late < late_before
    assert hits > hits_before + 0.2
    assert good > good_before


def test_admission_is_measured_at_every_size() -> None:
    """Guards against a figure from fewer sizes than the page states."""
    assert set(admission_times((3, 5), requests=10)) == {3, 5}
