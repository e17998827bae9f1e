"""Tests of the attribution of crashes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shallotmux.crashes import Crash, Culprit, find_culprits, find_culprits_naively, may_run_trial
from shallotmux.crashes._culprits import (
    CRASH_LIMIT,
    MAX_QUARANTINE_S,
    QUARANTINE_S,
    TRIAL_SLOT_S,
    TRIAL_START_S,
)

INSTANCES = tuple(f'10.0.0.{number}:7' for number in range(200))


def crashes(*subjects: set[int]) -> tuple[Crash, ...]:
    """Return crashes of different endpoints, one a second."""
    return tuple(
        Crash(number, float(number), frozenset(each)) for number, each in enumerate(subjects)
    )


def blamed(*subjects: set[int]) -> list[set[int]]:
    """Return the subjects of the culprits."""
    return [set(each.subjects) for each in find_culprits(crashes(*subjects))]


def test_subject_of_all_crashes_is_blamed() -> None:
    """Guards against a part that is not found because the requests differ."""
    assert blamed({1, 10}, {1, 11}, {1, 12}) == [{1}]
    assert blamed({1, 10}, {1, 11}) == []


def test_crashes_are_blamed_once() -> None:
    """Guards against sound parts that ran beside the culprit several times."""
    observed = ({1, 2}, {1, 2}, {1, 2}, {1, 3})
    assert blamed(*observed) == [{1}]
    naive = find_culprits_naively(crashes(*observed))
    assert {subject for each in naive for subject in each.subjects} == {1, 2}


def test_subjects_that_cannot_be_told_apart_are_blamed_together() -> None:
    """Guards against a shared part that is refused alone, though another one beside it is bad."""
    assert blamed({1, 2}, {1, 2}, {1, 2}) == [{1, 2}]
    assert blamed({1, 2}, {1, 2}, {1, 2}, {1, 3}) == [{1}]


def test_endpoints_that_crash_together_count_once() -> None:
    """Guards against popular parts that are refused since a rack with several engines failed."""
    together = [Crash(number, 7 + number / 100, frozenset((1,))) for number in range(6)]
    later = [Crash(10 + number, 20.0 + number, frozenset((1,))) for number in range(2)]
    assert not find_culprits(together)
    assert not find_culprits([together[0], *later[:1]])
    assert find_culprits([*together[:2], *later])
    repeated = frozenset((1,))
    assert find_culprits([replace(each, repeated=repeated) for each in together[:3]])
    # Many endpoints need only a second crash at another time.
    assert find_culprits([*together, later[0]])


def test_two_culprits_are_found() -> None:
    """Guards against a second part that crashes endpoints beside the first one."""
    assert blamed({1}, {1}, {1}, {1}, {2, 3}, {2, 4}, {2, 5}) == [{1}, {2}]


def test_quarantine_doubles_with_each_further_crash() -> None:
    """Guards against endless trials of a culprit."""
    durations = [
        Culprit(frozenset((1,)), frozenset(range(count)), 0.0, count).ends_at
        for count in range(CRASH_LIMIT, CRASH_LIMIT + 6)
    ]
    assert durations[:3] == [QUARANTINE_S, 2 * QUARANTINE_S, 4 * QUARANTINE_S]
    assert durations[-1] == MAX_QUARANTINE_S


@pytest.mark.parametrize('count', [1, 12, 200])
def test_one_instance_runs_the_first_trial(count: int) -> None:
    """Guards against a trial at each instance when a quarantine ends."""
    culprit = Culprit(frozenset((1,)), frozenset(range(3)), 0.0, 3)
    instances = INSTANCES[:count]

    def owners(now: float) -> int:
        return sum(may_run_trial(culprit, each, instances, now) is not None for each in instances)

    assert owners(culprit.ends_at - 0.1) == 0
    assert owners(culprit.ends_at) == 1
    assert owners(culprit.ends_at + TRIAL_START_S + 0.1) == 0
    assert owners(culprit.ends_at + TRIAL_SLOT_S) == min(2, count)
    assert owners(culprit.ends_at + 10 * TRIAL_SLOT_S) == count
