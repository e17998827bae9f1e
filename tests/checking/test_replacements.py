"""Tests that the explorer finds faults in the replacement of lost instances, and none in the product."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shallotmux.checking import ManagedGroup, Report, explore, explore_schedule, managed_plan
from shallotmux.replication._leadership import Leadership
from tests.checking._membership_faults import (
    FiveVoterGroup,
    HastyPromotionGroup,
    RemoveFirstGroup,
)

#: Steps explored for each number of tolerated losses; larger groups take longer.
STEPS = {1: 400, 2: 200, 3: 100}

#: Numbers of tolerated losses, and seeds whose schedules expose each fault: among the first that were
#: found from seed 0 upwards, those that take the fewest steps.
FIVE_VOTER_SEEDS = ((2, 2), (3, 1))
REMOVE_FIRST_SEEDS = ((1, 22),)
HASTY_PROMOTION_SEEDS = ((2, 5),)


def find_violation(tolerated: int, seed: int, factory: type[ManagedGroup] = ManagedGroup) -> str:
    report = Report()
    explore_schedule(report, seed, 200, replace(managed_plan(tolerated), factory=factory))
    return report.failure.violation.invariant if report.failure else ''


@pytest.mark.parametrize('tolerated', STEPS)
def test_lost_voters_are_replaced(tolerated: int) -> None:
    """Guards against decisions on the membership that the replicas refuse, or that lose the group."""
    report = explore(1, STEPS[tolerated], managed_plan(tolerated))
    assert report.failure is None
    assert report.steps == STEPS[tolerated]
    assert report.promotions > 2


@pytest.mark.parametrize(('tolerated', 'seed'), FIVE_VOTER_SEEDS)
def test_refused_sixth_voter_is_found(tolerated: int, seed: int) -> None:
    """Guards against an explorer that misses voters which are gone and never replaced."""
    assert find_violation(tolerated, seed, FiveVoterGroup) == 'voters-live'
    assert not find_violation(tolerated, seed)


@pytest.mark.parametrize(('tolerated', 'seed'), REMOVE_FIRST_SEEDS)
def test_removal_before_promotion_is_found(tolerated: int, seed: int) -> None:
    """Guards against an explorer that misses a group which needs a disk lost in an exchange."""
    assert find_violation(tolerated, seed, RemoveFirstGroup) == 'group-led'
    assert not find_violation(tolerated, seed)


@pytest.mark.parametrize(('tolerated', 'seed'), HASTY_PROMOTION_SEEDS)
def test_promotion_without_log_is_found(
    tolerated: int, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an explorer that misses a voter which is promoted without the log."""
    assert not find_violation(tolerated, seed)
    monkeypatch.setattr(Leadership, '_check_caught_up', lambda leadership, name: None)
    assert find_violation(tolerated, seed, HastyPromotionGroup) == 'learner-caught-up'
