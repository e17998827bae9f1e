"""Tests of the decision whether the endpoints of a service are out of reach, as a pure function."""

from __future__ import annotations

from random import Random

import pytest

from shallotmux.reachability import Reach, find_cut, may_connect, plan_trials
from shallotmux.reachability._verdict import (
    CUT_SAMPLE,
    FIRST_TRIAL_DELAY_S,
    MAX_PARALLEL_TRIALS,
    TRIAL_JITTER,
)

NOW = 100.0


def failing(since: float, connected_at: float = 50.0) -> Reach:
    """Return an endpoint that has accepted no connection since a time."""
    return Reach(failing_since=since, connected_at=connected_at)


def sound(connected_at: float = 50.0) -> Reach:
    """Return an endpoint whose last connect succeeded."""
    return Reach(connected_at=connected_at)


@pytest.mark.parametrize('failed', range(CUT_SAMPLE))
def test_endpoints_that_fail_among_others_are_no_cut(failed: int) -> None:
    """Guards against an instance that takes itself for cut off since some endpoints crashed."""
    reaches = [failing(NOW - 1) for _ in range(failed)] + [sound() for _ in range(6)]
    assert find_cut(reaches) is None


def test_all_endpoints_failing_is_a_cut() -> None:
    """Guards against small services whose endpoints are tried although none is in reach."""
    assert find_cut([failing(NOW - 2), failing(NOW - 1)]) == NOW - 2
    assert find_cut([]) is None


def test_sample_of_a_large_service_is_enough() -> None:
    """Guards against a cut that is noticed only after each of many endpoints was tried."""
    reaches = [failing(NOW - 1) for _ in range(CUT_SAMPLE)] + [sound() for _ in range(60)]
    assert find_cut(reaches) == NOW - 1


def test_connection_since_refutes_a_cut() -> None:
    """Guards against a failed rack that is taken for a cut while other endpoints accept connections."""
    reaches = [failing(NOW - 1) for _ in range(CUT_SAMPLE)] + [sound(NOW - 0.5), sound()]
    assert find_cut(reaches) is None


def test_endpoints_that_failed_long_ago_do_not_hide_a_cut() -> None:
    """Guards against a cut that goes unnoticed, since others connected after an earlier crash."""
    reaches = [failing(60.0, 50.0)]
    reaches += [failing(NOW - 1, 80.0) for _ in range(CUT_SAMPLE)] + [sound(80.0) for _ in range(8)]
    assert find_cut(reaches) == NOW - 1


def test_old_connections_are_used_while_they_serve() -> None:
    """Guards against requests on connections that hang, and against giving up those that live on."""
    silent = failing(NOW - 1)
    assert not may_connect(silent, NOW - 1, has_idle_connection=True)
    silent.answered_at = NOW - 0.5
    assert may_connect(silent, NOW - 1, has_idle_connection=True)
    assert not may_connect(silent, NOW - 1, has_idle_connection=False)
    # Not tried itself, but its service is out of reach.
    assert not may_connect(sound(), NOW - 1, has_idle_connection=True)
    assert may_connect(sound(), None, has_idle_connection=False)


def test_other_endpoints_are_tried_until_one_accepts_a_connection() -> None:
    """Guards against an instance that learns of a cut only from the requests it fails."""
    draw = Random(1).random
    untried = [sound() for _ in range(10)]
    planned = plan_trials([failing(NOW - 0.1), *untried], [], NOW, draw)
    assert len(planned) == MAX_PARALLEL_TRIALS
    connected = sound(NOW - 0.05)
    waiting = failing(NOW - 0.1)
    waiting.next_trial_at = NOW + 1
    assert plan_trials([waiting, connected, *untried], [], NOW, draw) == []


def test_trials_are_bounded_and_spread() -> None:
    """Guards against instances that connect together to endpoints that are back."""
    reaches = [failing(NOW - 5) for _ in range(9)]
    for running in reaches[:3]:
        running.is_on_trial = True
    assert len(plan_trials(reaches, [], NOW, Random(1).random)) == MAX_PARALLEL_TRIALS - 3
    delays = {trial_delay(number / 20) for number in range(20)}
    assert len(delays) == 20
    assert max(delays) <= FIRST_TRIAL_DELAY_S * (1 + TRIAL_JITTER)


def trial_delay(draw: float) -> float:
    """Return the time until the first trial after a failed connect."""
    each = Reach()
    each.record_failed(NOW - 0.4, NOW, draw)
    return each.next_trial_at - NOW


def test_suspect_is_tried_and_sound_endpoints_are_not() -> None:
    """Guards against trial connections to endpoints in good order."""
    silent, busy = sound(), sound()
    assert plan_trials([silent, busy], [silent], NOW, Random(1).random) == [silent]
    assert plan_trials([silent, busy], [], NOW, Random(1).random) == []


def test_late_failure_does_not_undo_a_later_connection() -> None:
    """Guards against a connect that times out after another one to the same endpoint succeeded."""
    each = Reach()
    each.record_connected(NOW)
    each.record_failed(NOW - 0.4, NOW + 0.01, 0)
    assert each.failing_since is None
