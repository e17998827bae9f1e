"""Tests of fencing: which instance may make leader-only calls."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from shallotmux.calls import LeaseExpired
from shallotmux.control._duties import CALL_FLIGHT_S, LeaderTerm
from shallotmux.control._platform import DutyOutcome
from shallotmux.suspension import read_suspended_time
from tests.control._instances import SEEDS, ControlGroup
from tests.support.log_lines import capture_lines

#: Time within which leader-only calls must not return to an instance.
ALTERNATION_S = 3.0


def make_terms(group: ControlGroup) -> dict[str, LeaderTerm]:
    """Return the leader term of each instance by name."""
    return {
        name: LeaderTerm(instance.member, name, ALTERNATION_S)
        for name, instance in group.running.items()
    }


async def test_only_the_leader_is_a_holder(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against two instances that make leader-only calls at the same time."""
    terms = make_terms(group)
    leader = (await group.wait_for_leader()).member.settings.name
    await trio.sleep(ALTERNATION_S)
    holders = [name for name in SEEDS if terms[name].holder() is not None]
    assert holders == [leader]


async def test_partitioned_holder_stops_before_its_successor_starts(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a partitioned leader that still makes calls after its successor started."""
    terms = make_terms(group)
    first = (await group.wait_for_leader()).member.settings.name
    await trio.sleep(ALTERNATION_S)
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
    term = LeaderTerm(leader.member, leader.member.settings.name, ALTERNATION_S)
    await trio.sleep(ALTERNATION_S)
    holder = term.holder()
    assert holder is not None
    term.record_outcome(holder, DutyOutcome.UNAVAILABLE)
    assert term.holder() == holder
    term.record_outcome(holder, DutyOutcome.FENCED)
    assert term.holder() is None


async def test_leader_whose_token_is_refused_says_so_while_it_leads(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against usage and orders that stop for good with one line, hours ago."""
    leader = await group.wait_for_leader()
    term = LeaderTerm(leader.member, leader.member.settings.name, ALTERNATION_S)
    await trio.sleep(ALTERNATION_S)
    holder = term.holder()
    assert holder is not None
    term.record_outcome(holder, DutyOutcome.FENCED)
    with capture_lines('shallotmux:duties-stopped') as lines:
        for _ in range(60):
            assert term.holder() is None
            await trio.sleep(0.5)
    assert 3 <= len(lines) <= 4
    assert lines[-1]['token'] == holder.token
    assert lines[-1]['count'] > 10


async def record_holders(
    terms: dict[str, LeaderTerm], seconds: float
) -> list[tuple[float, str, int]]:
    """Return the times, names and tokens of the holders over a time."""
    seen: list[tuple[float, str, int]] = []
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        await trio.sleep(0.05)
        holders = [term.holder() for term in terms.values()]
        seen.extend((trio.current_time(), each.name, each.token) for each in holders if each)
    return seen


async def test_leadership_that_returns_makes_no_calls_too_soon(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against calls of A, B and A again within the time that the platform allows."""
    terms = make_terms(group)
    first = (await group.wait_for_leader()).member.settings.name
    second = next(name for name in SEEDS if name != first)
    seen: list[tuple[float, str, int]] = []
    for number, seconds in enumerate((4, 0.5, 4, 4, 0.5, 0.5, 4)):
        seen += await record_holders(terms, seconds)
        target = first if number % 2 else second
        leader = await group.wait_for_leader()
        assert leader.member.driver.transfer(target)
        while (await group.wait_for_leader()).member.settings.name != target:
            await trio.sleep(0.05)
    for first_at, first, _ in seen:
        others = [at for at, name, _ in seen if name != first and at > first_at]
        again = [at for at, name, _ in seen if name == first and others and at > others[0]]
        assert not again or again[0] - first_at > ALTERNATION_S
    assert len({name for _, name, _ in seen}) > 1
    assert [token for _, _, token in seen] == sorted(token for _, _, token in seen)


async def test_new_leader_waits_for_calls_of_its_predecessor(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against calls that overtake one which the predecessor sent at the end of its lease."""
    terms = make_terms(group)
    first = (await group.wait_for_leader()).member.settings.name
    await trio.sleep(ALTERNATION_S)
    group.fabric.isolate(first)
    seen = await record_holders(terms, 10)
    last = max(at for at, name, _ in seen if name == first)
    next_at = min(at for at, name, _ in seen if name != first)
    assert next_at - last > CALL_FLIGHT_S


async def test_resigned_leader_makes_no_calls(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against calls of an instance that is handing over its leadership at shutdown."""
    leader = await group.wait_for_leader()
    term = LeaderTerm(leader.member, leader.member.settings.name, ALTERNATION_S)
    await trio.sleep(ALTERNATION_S)
    holder = term.holder()
    assert holder is not None
    holder.guard.check()
    term.resign()
    assert term.holder() is None
    with pytest.raises(LeaseExpired):
        holder.guard.check()


async def test_suspended_leader_makes_no_calls_until_confirmed(
    group: ControlGroup, autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lease that looks valid after a suspension, which its clock does not count."""
    leader = await group.wait_for_leader()
    await trio.sleep(ALTERNATION_S)
    assert leader.member.driver.is_leader()
    suspended_s = read_suspended_time() + 5
    monkeypatch.setattr(leader.member.driver._suspension, '_read', lambda: suspended_s)  # noqa: SLF001
    assert not leader.member.driver.is_leader()
    await trio.sleep(1)
    assert leader.member.driver.is_leader()
