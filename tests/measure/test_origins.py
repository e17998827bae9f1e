"""Tests of the rule for streams that are resumed while several versions serve, in whole deployments."""

from __future__ import annotations

import pytest

from shallotmux.measure._origin_rules import ForgetfulRule, OwnMemoryRule, TrustingMemoryRule
from shallotmux.measure.origins import LARGE, SLOW, SMALL, Fleet, run_workload

#: Streams that may be joined from two versions, and the share of the retries that must go on while
#: their version serves.
MAX_JOINED = 2
MIN_CONTINUED_SHARE = 0.5


@pytest.mark.parametrize(
    ('fleet', 'seed'), [(SMALL, 1), (SMALL, 2), (SMALL, 3), (SLOW, 1), (SLOW, 2), (LARGE, 1)]
)
def test_streams_go_on_at_their_version_after_kills(fleet: Fleet, seed: int) -> None:
    """Guards against streams joined from two versions, and against refusing most of them.

    All entry instances are killed at once, also right after a version has left, others one by one, a
    control instance loses its memory, and messages are delayed and lost.
    """
    result = run_workload(fleet, seed)
    assert result.joined <= MAX_JOINED
    assert result.continued_share >= MIN_CONTINUED_SHARE


def test_naive_rules_miss_the_targets() -> None:
    """Guards against a workload on which any rule passes."""
    assert run_workload(SMALL, 1, ForgetfulRule).joined > MAX_JOINED
    assert run_workload(SMALL, 1, TrustingMemoryRule).joined > MAX_JOINED
    assert run_workload(SMALL, 1, OwnMemoryRule).continued_share < MIN_CONTINUED_SHARE
