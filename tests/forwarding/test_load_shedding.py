"""Tests of wait limits and retry-after times."""

from __future__ import annotations

import math

from shallotmux.forwarding._load_shedding import (
    MAX_RETRY_AFTER_S,
    choose_retry_after_s,
    find_wait_limit,
)
from shallotmux.routes import RouteKind
from tests.forwarding._harness import route

URGENT = route('urgent', RouteKind.STREAMING, latency_objective_ms=300, priority=0)
PATIENT = route('patient', RouteKind.STREAMING, latency_objective_ms=600, priority=2)


def test_more_urgent_requests_are_refused_later() -> None:
    """Guards against urgent requests that are shed first because their objective is shorter."""
    limit = find_wait_limit((URGENT, PATIENT))
    assert limit.limit_ms(PATIENT.priority) > 600
    assert limit.limit_ms(URGENT.priority) > limit.limit_ms(PATIENT.priority)


def test_nothing_is_refused_without_an_objective() -> None:
    """Guards against load shedding on services without a latency objective."""
    unlimited = route('unlimited', RouteKind.STREAMING)
    limits = [find_wait_limit(routes).limit_ms(0) for routes in ((unlimited,), ())]
    assert all(math.isinf(each) for each in limits)


def test_retry_after_grows_with_the_queue_and_is_spread() -> None:
    """Guards against retries into the same queue, or all at once."""
    early, late = (choose_retry_after_s(2000, 800, draw) for draw in (0, 0.99))
    assert round(early * 1000) >= 1600
    assert late > early
    assert late <= MAX_RETRY_AFTER_S
    soon = choose_retry_after_s(900, 800, 0)
    assert soon < early


def test_retries_are_spread_under_heavy_overload() -> None:
    """Guards against all callers that return at the upper bound at the same moment."""
    waits = [choose_retry_after_s(60_000, 800, draw / 10) for draw in range(10)]
    assert len(set(waits)) == 10
    assert min(waits) == MAX_RETRY_AFTER_S
    assert max(waits) - min(waits) > 1
