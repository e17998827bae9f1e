"""Tests of the retry budget, the backoff and the circuit breakers."""

from __future__ import annotations

from random import Random

import trio

from shallotmux.requests import RequestSettings
from shallotmux.requests._retries import Breakers, RetryBudget, draw_backoff
from tests.requests._checker import check_histories
from tests.requests._zone import Zone, ZoneLayout, run_zone

SETTINGS = RequestSettings(retry_floor=2, retry_share=0.5)
POOL = ('a', 'b', 'c', 'd')


def test_budget_is_a_share_of_successes() -> None:
    """Guards against retries that multiply the load when every request fails."""
    budget = RetryBudget(SETTINGS)
    assert [budget.try_spend(0) for _ in range(3)] == [True, True, False]
    budget.record_success()
    budget.record_success()
    assert [budget.try_spend(0) for _ in range(2)] == [True, False]
    assert [budget.try_spend(60) for _ in range(3)] == [True, True, False]


def test_backoff_is_seeded_and_bounded() -> None:
    """Guards against synchronized retries, and against unbounded delays."""
    pauses = [draw_backoff(SETTINGS, attempt, Random(1)) for attempt in range(1, 20)]
    assert pauses == [draw_backoff(SETTINGS, attempt, Random(1)) for attempt in range(1, 20)]
    assert max(pauses) <= SETTINGS.backoff_limit_s


def test_breakers_never_empty_a_pool() -> None:
    """Guards against a pool with all endpoints excluded because all of them failed."""
    breakers = Breakers(SETTINGS)
    for name in POOL:
        for _ in range(5):
            breakers.record_failure(name, 0.0)
    assert len(breakers.excluded(POOL, 0.5)) == 2
    assert not breakers.excluded(('a',), 0.5)
    assert not breakers.excluded(POOL, 10.0)


def test_outlier_is_ejected_for_a_while() -> None:
    """Guards against a slow endpoint that stays in the pool, or an ejection without an end."""
    breakers = Breakers(SETTINGS)
    for name in POOL:
        breakers.record_success(name, 5.0 if name == 'c' else 0.1)
    assert breakers.excluded(POOL, 0.0) == {'c'}
    assert not breakers.excluded(POOL, 2.0)


def test_failing_zone_is_not_flooded() -> None:
    """Guards against requests that use all their attempts when every engine fails."""

    async def work(zone: Zone) -> None:
        for engine in zone.engines:
            engine.behaviour.crash_after = 0
        async with trio.open_nursery() as nursery:
            for _ in range(60):
                nursery.start_soon(zone.request_completion, 'tailors')

    settings = RequestSettings(retry_floor=5)
    zone = run_zone(work, ZoneLayout(entries=1, settings=settings))
    check_histories(zone)
    assert len({answer.prompt for answer in zone.answers}) == 60
    assert sum(len(engine.runs) for engine in zone.engines) <= 60 + 10
