"""Tests of the limits of endpoints, in whole deployments."""

from __future__ import annotations

import pytest

from shallotmux.measure.ratelimits import SCENARIOS, Scenario, run_scenario

SMALL = SCENARIOS[:4]
#: Share of the limit that must be used where instances with demand have work for it.
MIN_USED = 0.5

LARGE = Scenario('200 instances, 1 a second', (0.5,) * 200, ((0.0, 1.0),), (20.0,))


@pytest.mark.parametrize('scenario', [*SMALL, LARGE], ids=lambda each: each.name)
def test_limit_is_kept_by_all_instances_together(scenario: Scenario) -> None:
    """Guards against an endpoint in need that gets more than its limit from many instances."""
    assert run_scenario(scenario, 1).most_over_allowed() <= 1


@pytest.mark.parametrize('scenario', SMALL, ids=lambda each: each.name)
def test_demand_of_busy_instances_uses_the_limit(scenario: Scenario) -> None:
    """Guards against a share that idle instances keep while others send work away."""
    assert run_scenario(scenario, 2).share_used() > MIN_USED


def test_naive_rules_miss_the_targets() -> None:
    """Guards against scenarios in which any rule passes."""
    assert run_scenario(SMALL[0], 1, sharing=1).most_over_allowed() > 1
    assert run_scenario(SMALL[1], 1, sharing=12).share_used() < MIN_USED
