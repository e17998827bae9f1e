"""Tests of the benchmark of pattern sheets."""

from __future__ import annotations

from shallotmux.decisions import RoutingPolicy
from shallotmux.measure._latency import admission_times
from shallotmux.measure.sheets import LOAD_ONLY, SheetLoad, run_sheets


def test_prefix_routing_beats_load_routing_on_sheets() -> None:
    """Guards against a request path that ignores the prefix index of the router."""
    load = SheetLoad(duration_s=8)
    p95_s, hit_share, goodput, _ = run_sheets(load, RoutingPolicy()).figures()
    p95_baseline_s, hit_share_baseline, goodput_baseline, _ = run_sheets(load, LOAD_ONLY).figures()
    assert p95_s < p95_baseline_s
    assert hit_share > hit_share_baseline + 0.2
    assert goodput > goodput_baseline


def test_admission_is_measured_at_every_size() -> None:
    """Guards against results for fewer sizes than requested."""
    assert set(admission_times((3, 5), requests=10)) == {3, 5}
