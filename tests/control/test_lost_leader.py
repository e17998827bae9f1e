"""Tests of operations at instances whose leader is gone."""

from __future__ import annotations

from itertools import cycle
from uuid import uuid4

import pytest
import trio
import trio.testing

from shallotmux.authority import ReadDocument
from shallotmux.control._leader_search import LeaderSearch
from shallotmux.errors import AuthorityUnavailable
from shallotmux.fleet import JoinAnswer
from tests.control._instances import SEEDS, ControlGroup

FOURTH = '10.0.0.4:7'
FIFTH = '10.0.0.5:7'
LEARNERS = (FOURTH, FIFTH)

#: Time after which a group that is gone is known to be gone: two elections, and two rounds of asking.
GONE_S = 5.0

#: Time for an operation that is refused without a call or a wait.
AT_ONCE_S = 0.1

#: Time within which a change must be acknowledged after a leader is lost.
CHANGE_S = 4.0

#: Time after which an operator's client asks the next instance.
CLIENT_INTERVAL_S = 0.3


async def start_learners(group: ControlGroup) -> None:
    """Add two instances that do not become voters."""
    for name in LEARNERS:
        await group.start(name, bootstrap=True)
    await trio.sleep(3)
    assert group.voters() == set(SEEDS)


async def refuse(group: ControlGroup, name: str) -> tuple[str, float]:
    """Return the reason for which a read at an instance is refused, and the time that it took."""
    began = trio.current_time()
    reason = ''
    try:
        await group.running[name].member.authority.submit(ReadDocument(uuid4().hex))
    except AuthorityUnavailable as error:
        reason = str(error)
    return reason, trio.current_time() - began


async def put_somewhere(group: ControlGroup, version: int) -> None:
    """Submit a document as an operator's client does, to one instance after the other."""
    for name in cycle(sorted(group.running)):
        if await group.put(version, through=name):
            return
        await trio.sleep(CLIENT_INTERVAL_S)


async def test_learners_without_a_group_refuse_at_once(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against instances that ask a leader that is gone at each operation, for ever."""
    await start_learners(group)
    for name in SEEDS:
        await group.kill(name)
    await trio.sleep(GONE_S)
    for name in LEARNERS:
        assert group.running[name].member.leader() is None
        reason, took_s = await refuse(group, name)
        assert 'no leader is known' in reason
        assert took_s < AT_ONCE_S


async def test_voter_without_a_majority_refuses_at_once(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a voter that holds an operator's request until its time limit for no reason."""
    for name in SEEDS[1:]:
        await group.kill(name)
    await trio.sleep(GONE_S)
    reason, took_s = await refuse(group, SEEDS[0])
    assert 'no leader is known' in reason
    assert took_s < AT_ONCE_S


async def test_operations_succeed_as_soon_as_there_is_a_leader_again(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against refusals that outlast the lack of a leader."""
    await start_learners(group)
    for name in SEEDS:
        await group.kill(name)
    await trio.sleep(GONE_S)
    for name in SEEDS:
        await group.start(name)
    await group.wait_for_leader()
    await trio.sleep(0.5)
    for number, name in enumerate((*SEEDS, *LEARNERS), start=1):
        assert await group.put(number, through=name)


@pytest.mark.parametrize('delay_s', [0, 0.3, 0.7, 1.0, 1.3])
async def test_change_at_any_moment_of_an_election_is_acknowledged(
    group: ControlGroup, autojump_clock: trio.testing.MockClock, delay_s: float
) -> None:
    """Guards against an election during which changes are refused for too long."""
    await start_learners(group)
    leader = (await group.wait_for_leader()).member.settings.name
    await group.kill(leader)
    with trio.fail_after(CHANGE_S):
        await trio.sleep(delay_s)
        await put_somewhere(group, 1)


async def test_learner_that_hears_no_leader_asks_its_peers(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a cut-off learner that does not find the leader of which others know."""
    await start_learners(group)
    leader = (await group.wait_for_leader()).member.settings.name
    group.fabric.partition(FOURTH, leader)
    await trio.sleep(GONE_S)
    member = group.running[FOURTH].member
    assert member.driver.status().leader is None
    assert member.leader() == leader
    group.fabric.heal()
    assert await group.put(1, through=FOURTH)


def test_newest_leader_counts() -> None:
    """Guards against a peer with old news that hides the present leader."""
    search = LeaderSearch('own')
    search.begin_round(0)
    search.record(JoinAnswer('new', (), 3))
    search.record(JoinAnswer('old', (), 2))
    search.record(JoinAnswer('older build', ()))
    search.record(JoinAnswer('', (), 4))
    search.record(JoinAnswer('own', (), 5))
    search.end_round()
    assert search.leader == 'new'


def test_leader_that_no_peer_names_any_more_is_forgotten() -> None:
    """Guards against a leader that is asked for ever because a peer has once named it."""
    search = LeaderSearch('own')
    search.begin_round(0)
    search.record(JoinAnswer('gone', (), 3))
    search.end_round()
    search.begin_round(1)
    search.record(JoinAnswer('', (), 3))
    search.end_round()
    assert not search.leader
    assert not search.has_failed(2)
    assert search.has_failed(3)
