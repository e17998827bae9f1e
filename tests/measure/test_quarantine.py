"""Tests of the rule for requests that crash engines, in whole deployments."""

from __future__ import annotations

import pytest

from shallotmux.measure.quarantine import (
    ALLOWED_SENDS,
    BAD_UNTIL_S,
    LARGE,
    SMALL,
    AnyPartRule,
    Fleet,
    Result,
    WholeRequestRule,
    run_workload,
)

#: Spans in which sound requests must go on being served, and the share of them that may be refused.
SPAN_S = 5.0
MAX_REFUSED_SHARE = 0.5


def most_refused(result: Result, rate: float) -> float:
    """Return the largest share of the sound requests that were refused in one span."""
    counts = [
        sum(start <= at < start + SPAN_S for at in result.refused)
        for start in range(int(BAD_UNTIL_S))
    ]
    return max(counts) / (rate * SPAN_S)


@pytest.mark.parametrize(
    ('fleet', 'seed'), [(SMALL, 1), (SMALL, 2), (SMALL, 3), (SMALL, 4), (LARGE, 1), (LARGE, 2)]
)
def test_bad_part_is_found_and_sound_requests_are_served(fleet: Fleet, seed: int) -> None:
    """Guards against endless crashes by one part, and against refusal of sound parts beside it.

    Several streams run on an engine when it ends, engines also end for other reasons, and
    connections are reset. Some sound requests share each part but the bad one.
    """
    result = run_workload(fleet, seed)
    assert result.late_sends <= ALLOWED_SENDS
    assert most_refused(result, fleet.rate) < MAX_REFUSED_SHARE


def test_naive_rules_miss_the_targets() -> None:
    """Guards against a workload on which any rule passes."""
    assert run_workload(SMALL, 1, WholeRequestRule).late_sends > ALLOWED_SENDS
    assert most_refused(run_workload(SMALL, 1, AnyPartRule), SMALL.rate) > MAX_REFUSED_SHARE
