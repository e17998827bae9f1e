"""A short seeded run of real processes under random disruptions."""

from __future__ import annotations

from shallotmux.checking.programs import SoakPlan, run_soak

SEED = 1
DURATION_S = 8.0


async def test_short_run_breaks_no_promise() -> None:
    """Guards against what only real processes show: signals, start-up times, sockets, restarts."""
    result = await run_soak(SoakPlan(SEED, DURATION_S))
    assert not result.violations
