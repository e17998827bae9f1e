"""Tests of who may act for the fleet."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.control._border import DutyOutcome
from shallotmux.control._duties import LeaderTerm
from tests.control._cores import SEEDS, Cores


def find_terms(cores: Cores) -> dict[str, LeaderTerm]:
    """Return what tells each instance whether it may act."""
    return {name: LeaderTerm(core.member, name) for name, core in cores.running.items()}


async def test_only_the_leader_holds_the_duties(cores: Cores) -> None:
    """Guards against two instances that act for the fleet."""
    terms = find_terms(cores)
    leader = (await cores.wait_for_leader()).member.settings.name
    holders = [name for name in SEEDS if terms[name].holder() is not None]
    assert holders == [leader]


async def test_holder_that_is_cut_off_stops_before_the_next_one_begins(cores: Cores) -> None:
    """Guards against holders that take turns: the old one acts after the new one."""
    terms = find_terms(cores)
    first = (await cores.wait_for_leader()).member.settings.name
    old = terms[first].holder()
    cores.fabric.isolate(first)
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


async def test_refused_token_is_not_used_again(cores: Cores) -> None:
    """Guards against an instance that goes on after it was told of a newer holder."""
    leader = await cores.wait_for_leader()
    term = LeaderTerm(leader.member, leader.member.settings.name)
    holder = term.holder()
    assert holder is not None
    term.note(holder, DutyOutcome.UNAVAILABLE)
    assert term.holder() == holder
    term.note(holder, DutyOutcome.FENCED)
    assert term.holder() is None
