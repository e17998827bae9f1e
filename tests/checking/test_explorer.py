"""Tests that the explorer detects injected faults and finds none in the real replica."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shallotmux.checking import (
    UNFENCED_PLAN,
    Plan,
    Report,
    explore,
    explore_schedule,
    format_trace,
    shrink,
)
from shallotmux.replication import ReadReady
from shallotmux.replication._election import Election
from shallotmux.replication._leadership import Leadership
from tests.checking._faults import (
    CONFIRMED_READS,
    DISKLESS,
    FAILING_LEADERS,
    VOLATILE_VOTERS,
    WITH_MARGIN,
    WITHOUT_MARGIN,
)

#: Seeds whose schedules expose each fault; the first that were found from seed 0 upwards.
VOLATILE_VOTER_SEEDS = (12, 2000003)
MARGIN_SEEDS = (4, 1000011)
VOTE_DURING_LEASE_SEEDS = (14, 1000076)
#: What each of these seeds finds.
MISSING_DELAY_SEEDS = {0: 'unfenced-alternation', 3: 'unfenced-token'}
COMMIT_BY_COUNTING_SEEDS = (2000045, 3000034)
UNCONFIRMED_READ_SEEDS = (19, 29)


def run(plan: Plan, seed: int) -> Report:
    report = Report()
    explore_schedule(report, seed, 1000, plan)
    return report


def find_violation(plan: Plan, seed: int) -> str:
    failure = run(plan, seed).failure
    return failure.violation.invariant if failure else ''


@pytest.mark.parametrize('seed', range(1, 5))
def test_no_violation_in_exploration(seed: int) -> None:
    """Guards against faults of the protocol, with 200,000 steps over all seeds."""
    report = explore(seed, 50_000)
    assert report.failure is None
    assert report.steps == 50_000
    assert len(report.states) > 5_000
    assert report.commits > 500


def test_no_violation_in_exploration_with_confirmed_reads() -> None:
    """Guards against confirmed reads that show an older state than an earlier read or commit."""
    report = explore(5, 50_000, CONFIRMED_READS)
    assert report.failure is None
    assert report.commits > 500


@pytest.mark.parametrize('seed', UNCONFIRMED_READ_SEEDS)
def test_unconfirmed_read_is_found(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an explorer that misses reads of a leader that has been deposed."""

    def answer_at_once(leadership: Leadership, token: int, *, uses_lease: bool) -> None:
        state = leadership._state  # noqa: SLF001
        state.reads.append(ReadReady(token, state.commit_index))

    assert not find_violation(CONFIRMED_READS, seed)
    monkeypatch.setattr(Leadership, 'add_read', answer_at_once)
    assert find_violation(CONFIRMED_READS, seed) == 'read-linearizable'


@pytest.mark.parametrize('seed', VOLATILE_VOTER_SEEDS)
def test_forgotten_vote_is_found(seed: int) -> None:
    """Guards against an explorer that misses a diskless voter which keeps its identity."""
    found = {'one-leader-per-term', 'committed-kept', 'log-matching'}
    assert find_violation(VOLATILE_VOTERS, seed) in found
    assert not find_violation(DISKLESS, seed)


@pytest.mark.parametrize('seed', MARGIN_SEEDS)
def test_lease_without_margin_is_found(seed: int) -> None:
    """Guards against an explorer that misses overlapping leases under differing clock rates."""
    assert find_violation(WITHOUT_MARGIN, seed) == 'one-lease-holder'
    assert not find_violation(WITH_MARGIN, seed)


@pytest.mark.parametrize('seed', VOTE_DURING_LEASE_SEEDS)
def test_vote_during_lease_is_found(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an explorer that misses a voter electing a second leader during a lease."""
    assert not find_violation(WITH_MARGIN, seed)
    monkeypatch.setattr(Election, 'is_disruptive', lambda election, request: False)
    assert find_violation(WITH_MARGIN, seed) == 'one-lease-holder'


@pytest.mark.parametrize('seed', COMMIT_BY_COUNTING_SEEDS)
def test_commit_by_counting_is_found(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an explorer that misses a commit of an earlier term by counting replicas."""
    assert not find_violation(FAILING_LEADERS, seed)
    monkeypatch.setattr(Leadership, 'may_commit', lambda leadership, index: True)
    assert find_violation(FAILING_LEADERS, seed) == 'committed-kept'


@pytest.mark.parametrize('seed', [1, 2])
def test_calls_without_fencing_are_kept_apart(seed: int) -> None:
    """Guards against two holders at a target that checks no tokens."""
    report = explore(seed, 50_000, UNFENCED_PLAN)
    assert report.failure is None
    assert report.calls > 200


@pytest.mark.parametrize('seed', MISSING_DELAY_SEEDS)
def test_missing_takeover_delay_is_found(seed: int) -> None:
    """Guards against an explorer that misses a new leader which calls too early."""
    options = UNFENCED_PLAN.options
    assert options is not None
    hasty = replace(UNFENCED_PLAN, options=replace(options, takeover_delay_s=0))
    assert not find_violation(UNFENCED_PLAN, seed)
    assert find_violation(hasty, seed) == MISSING_DELAY_SEEDS[seed]


def test_shrunk_schedule_breaks_same_invariant() -> None:
    """Guards against a trace that is too long to read or shows a different fault."""
    failure = run(WITHOUT_MARGIN, MARGIN_SEEDS[0]).failure
    assert failure is not None
    shrunk = shrink(failure, max_replays=100)
    assert len(shrunk.steps) < len(failure.steps) / 2
    lines = list(format_trace(shrunk))
    assert len(lines) <= len(shrunk.steps) + 2
    assert lines[-1].startswith('one-lease-holder')
