"""Tests of the zones of the voters, with all parts of the control instances."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path

import trio
import trio.testing

from shallotmux.control import MemberTimeouts
from shallotmux.transport import instance_name
from tests.control._instances import SEEDS, ControlGroup

FIRST, SECOND, THIRD = SEEDS
FOURTH, FIFTH = '10.0.0.4:7', '10.0.0.5:7'

#: Time from a loss until its voters are replaced, with an election before.
REPLACED_WITHIN_S = MemberTimeouts().replace_after_s + 3.5

#: Interval at which the voters are observed, far below that of changes.
OBSERVATION_INTERVAL_S = 0.02


def voters_by_zone(group: ControlGroup) -> Mapping[str, int]:
    """Return the numbers of voters by zone in the leader's configuration."""
    return Counter(group.zones[instance_name(each)] for each in group.voters())


@asynccontextmanager
async def observe_moments_without_majority(group: ControlGroup) -> AsyncIterator[list[object]]:
    """Record the voters by zone when the loss of a zone would leave no majority of them."""
    found: list[object] = []

    async def observe() -> None:
        while True:
            counts = voters_by_zone(group)
            total = sum(counts.values())
            if total and total - max(counts.values()) < total // 2 + 1:
                found.append(dict(counts))
            await trio.sleep(OBSERVATION_INTERVAL_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(observe)
        yield found
        nursery.cancel_scope.cancel()


async def test_voter_is_replaced_by_an_instance_of_a_zone_without_voters(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against two of three voters in a zone, though another zone has an instance.

    The learner with the lowest address was promoted, whatever its zone.
    """
    zones = dict(zip((*SEEDS, FOURTH, FIFTH), 'abcad', strict=True))
    group = ControlGroup(nursery, tmp_path, zones=zones)
    await group.bootstrap(FOURTH, FIFTH)
    async with observe_moments_without_majority(group) as moments:
        await trio.sleep(3)
        await group.kill(THIRD)
        await trio.sleep(REPLACED_WITHIN_S)
    assert voters_by_zone(group) == {'a': 1, 'b': 1, 'd': 1}
    assert not moments


async def test_voter_is_exchanged_for_an_instance_of_a_zone_without_voters(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against two of three voters in a zone for ever, since nothing else is wrong."""
    zones = dict(zip((*SEEDS, FOURTH), 'aabc', strict=True))
    group = ControlGroup(nursery, tmp_path, zones=zones)
    await group.bootstrap(FOURTH)
    await trio.sleep(8)
    assert voters_by_zone(group) == {'a': 2, 'b': 1}
    await trio.sleep(7)
    assert voters_by_zone(group) == {'a': 1, 'b': 1, 'c': 1}
    assert await group.put(1)


async def test_restarts_in_turn_cause_no_exchange(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against changes of the voters beside restarts, each of which is a loss by itself."""
    zones = dict(zip((*SEEDS, FOURTH), 'aabc', strict=True))
    group = ControlGroup(nursery, tmp_path, zones=zones)
    await group.bootstrap(FOURTH)
    await trio.sleep(3)
    for name in (*SEEDS, FOURTH) * 2:
        await group.kill(name)
        await trio.sleep(3)
        await group.start(name)
        await trio.sleep(3)
        assert group.voters() == set(SEEDS)


async def test_voter_that_was_exchanged_stays_in_the_group(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against an instance that refuses operations for seconds, since it lost its vote.

    It is not told of its removal, and asked to join again only after 3 s without a leader.
    """
    zones = dict(zip((*SEEDS, FOURTH), 'aabc', strict=True))
    group = ControlGroup(nursery, tmp_path, zones=zones)
    await group.bootstrap(FOURTH)
    with trio.fail_after(15):
        while group.voters() >= set(SEEDS):
            await trio.sleep(0.1)
    for version in range(1, 30):
        for name in group.running:
            assert await group.put(version, through=name)
        await trio.sleep(0.1)
    configuration = (await group.wait_for_leader()).member.driver.status().configuration
    assert set(SEEDS) < configuration.members


async def test_exchanged_voter_that_loses_its_disk_joins_once(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against two identities of an instance that are added and removed in turn."""
    zones = dict(zip((*SEEDS, FOURTH), 'aabc', strict=True))
    group = ControlGroup(nursery, tmp_path, zones=zones)
    await group.bootstrap(FOURTH)
    with trio.fail_after(15):
        while group.voters() >= set(SEEDS):
            await trio.sleep(0.1)
    removed = min(set(SEEDS) - group.voters())
    await group.kill(removed, wipe=True)
    await group.start(removed)
    members = []
    for _ in range(60):
        leader = await group.wait_for_leader()
        configuration = leader.member.driver.status().configuration
        present = {each for each in configuration.members if instance_name(each) == removed}
        if not members or members[-1] != present:
            members.append(present)
        await trio.sleep(0.1)
    assert len(members) <= 4, members
    assert len(members[-1]) == 1
    assert removed not in members[-1]
