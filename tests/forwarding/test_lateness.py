"""Tests of the limit on waits, and of the time after which refused requests return."""

from __future__ import annotations

import math

from shallotmux.forwarding._lateness import LONGEST_RETURN_S, find_wait_limit, return_after_s
from shallotmux.routes import RouteKind
from tests.forwarding._stage import route

URGENT = route('urgent', RouteKind.STREAMING, latency_objective_ms=300, priority=0)
PATIENT = route('patient', RouteKind.STREAMING, latency_objective_ms=600, priority=2)


def test_more_urgent_requests_are_refused_later() -> None:
    """Guards against an urgent kind that is refused first because its objective is shorter."""
    limit = find_wait_limit((URGENT, PATIENT))
    assert limit.limit_ms(PATIENT.priority) > 600
    assert limit.limit_ms(URGENT.priority) > limit.limit_ms(PATIENT.priority)


def test_nothing_is_refused_without_an_objective() -> None:
    """Guards against refusals of requests whose callers set no limit."""
    unlimited = route('unlimited', RouteKind.STREAMING)
    limits = [find_wait_limit(routes).limit_ms(0) for routes in ((unlimited,), ())]
    assert all(math.isinf(each) for each in limits)


def test_refused_requests_return_when_the_queue_is_short_and_not_together() -> None:
    """Guards against returns into the same queue, or all at one moment."""
    early, late = (return_after_s(2000, 800, draw) for draw in (0, 0.99))
    assert round(early * 1000) >= 1600
    assert late > early
    assert late <= LONGEST_RETURN_S
    soon = return_after_s(900, 800, 0)
    assert soon < early
