"""Tests of fencing: which instance may make leader-only calls."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.control._duties import LeaderTerm
from shallotmux.control._platform import DutyOutcome
from tests.control._instances import SEEDS, ControlGroup


def make_terms(group: ControlGroup) -> dict[str, LeaderTerm]:
    """Return the leader term of each instance by name."""
    return {name: LeaderTerm(instance.member, name) for name, instance in group.running.items()}


async def test_only_the_leader_is_a_holder(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against two instances that make leader-only calls at the same time."""
    terms = make_terms(group)
    leader = (await group.wait_for_leader()).member.settings.name
    holders = [name for name in SEEDS if terms[name].holder() is not None]
    assert holders == [leader]


async def test_partitioned_holder_stops_before_its_successor_starts(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a partitioned leader that still makes calls after its successor started."""
    terms = make_terms(group)
    first = (await group.wait_for_leader()).member.settings.name
    old = terms[first].holder()
    group.fabric.isolate(first)
    acted: list[list[str]] = []
    for _ in range(200):
        await trio.sleep(0.05)
        acted.append([name for name in SEEDS if terms[name].holder() is not None])
    assert max(len(each) for each in acted) == 1
    assert acted[-1] != [first]
    new = terms[acted[-1][0]].holder()
    assert old is not None
    assert new is not None
    assert new.token > old.token


async def test_refused_token_is_not_used_again(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an instance that goes on using a token which the platform fenced."""
    leader = await group.wait_for_leader()
    term = LeaderTerm(leader.member, leader.member.settings.name)
    holder = term.holder()
    assert holder is not None
    term.record_outcome(holder, DutyOutcome.UNAVAILABLE)
    assert term.holder() == holder
    term.record_outcome(holder, DutyOutcome.FENCED)
    assert term.holder() is None
