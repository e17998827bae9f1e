"""Tests of the demonstration."""

from __future__ import annotations

from shallotmux.demo import LoadPlan, run_demo


async def test_demo_passes_with_small_load() -> None:
    """Guards against a demonstration that fails, or that passes with missing answers."""
    report = await run_demo(plan=LoadPlan(workers=3, rounds=3))
    assert report.passed
    assert report.withdrawn_status == 401
    assert [sum(each.outcomes.values()) for each in report.results.values()] == [9, 9, 9]
