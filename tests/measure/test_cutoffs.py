"""Tests of the rules for cuts against naive ones, on the same connects."""

from __future__ import annotations

import pytest

from shallotmux.measure.cutoffs import (
    CONNECT_TIMEOUT_S,
    END_S,
    find_all_failing,
    find_cut,
    find_first_failure,
    run_detection,
    run_policy,
)

#: Time in which an instance must know that it is cut off, so that its callers are served from 3 s on.
KNOWN_WITHIN_S = 2.0

#: First tries that may fail from 3 s after the cut on: one in fifty, and one of the 54 of a run.
MIN_SHARE = 1 - 1 / 50 - 1 / 54


#: Load of the busiest peer as a multiple of an even share.
MAX_UNFAIRNESS = 1.5


@pytest.mark.parametrize('endpoints', [1, 2, 4, 65, 1200])
@pytest.mark.parametrize('seed', range(5))
def test_cut_is_known_in_time_at_any_size(endpoints: int, seed: int) -> None:
    """Guards against a cut that is learned one endpoint after the other."""
    found = run_detection(find_cut, endpoints, endpoints, seed)
    assert found.known_after_s is not None
    assert found.known_after_s < KNOWN_WITHIN_S


@pytest.mark.parametrize(('endpoints', 'lost'), [(2, 1), (8, 2), (65, 1), (65, 16)])
def test_endpoints_that_fail_are_not_taken_for_a_cut(endpoints: int, lost: int) -> None:
    """Guards against an instance that relays since endpoints crashed, or a rack failed."""
    named_s = [run_detection(find_cut, endpoints, lost, seed).named_s for seed in range(10)]
    naive_s = [
        run_detection(find_first_failure, endpoints, lost, seed).named_s for seed in range(10)
    ]
    assert max(named_s) < CONNECT_TIMEOUT_S
    assert sum(naive_s) / len(naive_s) > END_S / 4


def test_trying_each_endpoint_takes_too_long_in_a_large_service() -> None:
    """Guards against a rule that is sure too late."""
    naive = run_detection(find_all_failing, 1200, 1200, 1)
    assert naive.known_after_s is None or naive.known_after_s > KNOWN_WITHIN_S


@pytest.mark.parametrize(('instances', 'cut_off'), [(12, 1), (12, 3), (200, 50)])
def test_callers_are_served_through_peers_without_overload(instances: int, cut_off: int) -> None:
    """Guards against callers that notice a cut, and peers that get more than their share of it."""
    outcomes = [run_policy('relay', instances, cut_off, seed) for seed in range(5)]
    naive = [run_policy('leave the balancer', instances, cut_off, seed) for seed in range(5)]
    fair = 1 + cut_off / (instances - cut_off)
    assert min(each.worst_share for each in outcomes) >= MIN_SHARE
    assert sum(each.worst_share for each in naive) / len(naive) < 2 / 3
    assert max(each.busiest for each in outcomes) < MAX_UNFAIRNESS * fair
