"""Tests of the checks on what callers and endpoints saw."""

from __future__ import annotations

import pytest

from shallotmux.checking.programs import (
    Arrival,
    Call,
    Disruption,
    Records,
    Trouble,
    find_violations,
)
from shallotmux.forwarding import RetryBudgetLimits

BUDGET = RetryBudgetLimits(ratio=0.2, slack=2, window_s=10)


def make_call(status: int | None = 200, kind: str = 'unsafe', body: bytes = b'q-1') -> Call:
    return Call('q-1', kind, 'entry-1', 1.0, 2.0, status, body)


def make_arrival(at: float = 1.1, *, has_run: bool = True, name: str = 'q-1') -> Arrival:
    return Arrival(name, 'e-1', at, has_run)


def find(call: Call, *arrivals: Arrival, **fields: object) -> list[str]:
    return find_violations(Records([call], list(arrivals), **fields), BUDGET)


def test_sound_run_has_no_violations() -> None:
    """Guards against a check that finds fault with what is allowed."""
    assert not find(make_call(), make_arrival())
    assert not find(make_call(503), make_arrival(has_run=False))
    assert not find(make_call(502), make_arrival())
    assert not find(make_call(kind='safe'), make_arrival(), make_arrival(1.2))
    assert not find(make_call(None))


@pytest.mark.parametrize(
    ('call', 'arrivals', 'expected'),
    (
        (make_call(), (make_arrival(), make_arrival(1.2)), 'ran 2 times'),
        (make_call(503), (make_arrival(),), 'answered 503 and has run'),
        (make_call(body=b'q-2'), (make_arrival(),), "got the answer b'q-2'"),
        (make_call(None), (make_arrival(),), 'passed on and got no answer'),
    ),
)
def test_broken_promise_is_found(call: Call, arrivals: tuple[Arrival, ...], expected: str) -> None:
    """Guards against a soak that passes whatever the system does."""
    violations = find(call, *arrivals)
    assert len(violations) == 1
    assert expected in violations[0]


def test_request_of_a_killed_instance_is_excused() -> None:
    """Guards against violations that the disruption itself explains, and against wider excuses."""
    killed = [Disruption('entry-1', 1.5, 1.5)]
    assert not find(make_call(None), make_arrival(), disruptions=killed)
    other = [Disruption('entry-2', 1.5, 1.5), Disruption('entry-1', 2.5, 2.5)]
    assert find(make_call(None), make_arrival(), disruptions=other)


def test_request_of_an_instance_that_stood_still_is_excused_for_a_while() -> None:
    """Guards against a pause that excuses each answer that was lost after it."""
    paused = [Disruption('entry-1', 1.5, 1.6, Trouble.PAUSE)]
    call, late = make_call(None), make_call(None)
    late.ended_at = 4.7
    assert not find(call, make_arrival(), disruptions=paused)
    assert find(late, make_arrival(), disruptions=paused)


def test_closed_connection_is_not_excused_by_a_pause() -> None:
    """Guards against a kept connection that is closed on a request for a sound endpoint."""
    paused = [Disruption('entry-1', 1.5, 1.6, Trouble.PAUSE)]
    call = make_call(None)
    call.is_kept = True
    call.is_closed = True
    assert find(call, make_arrival(), disruptions=paused)
    unsound = make_arrival()
    unsound.is_sound = False
    assert not find(call, unsound, disruptions=paused)


def test_planned_stop_excuses_nothing() -> None:
    """Guards against a stop that is taken for a kill."""
    stopped = [Disruption('entry-1', 1.5, 1.5, Trouble.STOP)]
    assert find(make_call(None), make_arrival(), disruptions=stopped)


def test_broken_stream_is_found() -> None:
    """Guards against streams with missing events, and against the blame for an endpoint's own end."""
    stream = make_call(kind='stream', body=b'id: 0\ndata: q-1\n\n')
    assert find(stream, make_arrival())
    cut = make_call(None, 'stream')
    cut.began_at = 1.0
    assert find(cut, make_arrival())
    unsound = make_arrival()
    unsound.is_sound = False
    assert not find(cut, unsound)


def test_repeats_beyond_the_budget_are_found() -> None:
    """Guards against a window that is not looked at."""
    repeats = [make_arrival(1 + number / 10, has_run=False) for number in range(4)]
    violations = find(make_call(), *repeats)
    assert len(violations) == 1
    assert '3 repeats' in violations[0]
    assert not find(make_call(), *repeats[:3])


def test_lost_configuration_is_found() -> None:
    """Guards against an acknowledged change that nobody looks for."""
    assert find(make_call(), acknowledged=3, read_back=2)
    assert not find(make_call(), acknowledged=3, read_back=3)
