"""Tests of the zones of the voters, with all parts of the control instances."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import trio
import trio.testing

from shallotmux.control import MemberTimeouts, choose_timeouts
from shallotmux.control._member import CHECK_INTERVAL_S
from shallotmux.transport import instance_name
from tests.control._instances import SEEDS, ControlGroup

FIRST, SECOND, THIRD = SEEDS
FOURTH, FIFTH = '10.0.0.4:7', '10.0.0.5:7'

#: Time from a loss until its voters are replaced, with an election before.
REPLACED_WITHIN_S = MemberTimeouts().replace_after_s + 3.5

#: Time for which a lost voter stays beside its successor: two checks of the membership.
EXCHANGED_WITHIN_S = 2 * CHECK_INTERVAL_S

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


@asynccontextmanager
async def observe_voters(group: ControlGroup) -> AsyncIterator[list[object]]:
    """Record each change of the voters."""
    changes: list[object] = []

    async def observe() -> None:
        last = group.voters()
        while True:
            voters = group.voters()
            if voters and voters != last:
                changes.append(sorted(voters))
                last = voters
            await trio.sleep(OBSERVATION_INTERVAL_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(observe)
        yield changes
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
    """Guards against an instance that is without a leader for seconds, since it lost its vote.

    It is not told of its removal, and asks to join again only after some time without a leader.
    """
    zones = dict(zip((*SEEDS, FOURTH), 'aabc', strict=True))
    group = ControlGroup(nursery, tmp_path, zones=zones)
    await group.bootstrap(FOURTH)
    with trio.fail_after(15):
        while group.voters() >= set(SEEDS):
            await trio.sleep(0.1)
    for version in range(1, 30):
        for name, instance in group.running.items():
            assert await group.put(version, through=name)
            assert instance.member.driver.status().leader is not None
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


#: Four zones of two instances, of which the seeds are in different ones.
NAMES = (*SEEDS, *(f'10.0.0.{number}:7' for number in range(4, 9)))
FOUR_ZONES = dict(zip(NAMES, 'abcdabcd', strict=True))

#: Four zones, of which the first has three instances.
CROWDED_ZONES = dict(zip(NAMES, 'abcaadbc', strict=True))


def lose_zone(group: ControlGroup, zone: str) -> set[str]:
    """Cut all instances of a zone off, and return the names of the others."""
    lost = {name for name in group.running if group.zones[name] == zone}
    for name in lost:
        group.fabric.isolate(name)
    return group.running.keys() - lost


async def assert_commits(group: ControlGroup, names: set[str], version: int) -> None:
    """Assert that a change is acknowledged through one of some instances within 4 s."""
    with trio.fail_after(4):
        while not await group.put(version, through=min(names)):
            await trio.sleep(0.1)


@pytest.mark.parametrize('tolerated', (1, 2, 3))
async def test_each_zone_can_be_lost_while_instances_are_replaced_in_other_zones(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    tmp_path: Path,
    tolerated: int,
) -> None:
    """Guards against a zone whose loss leaves no majority, at any moment.

    The successor of each instance is in the next zone, which then has three instances for a while.
    """
    successors = {
        f'10.0.1.{number}:7': 'bcda'['abcd'.index(FOUR_ZONES[name])]
        for number, name in enumerate(NAMES)
    }
    group = ControlGroup(nursery, tmp_path, tolerated, zones={**FOUR_ZONES, **successors})
    await group.bootstrap(*NAMES[len(SEEDS) :])
    async with observe_moments_without_majority(group) as moments:
        await trio.sleep(REPLACED_WITHIN_S)
        for old, new in zip(NAMES, successors, strict=True):
            remaining = tuple(sorted(group.running.keys() - {old}))
            await group.kill(old)
            await group.start(new, seeds=remaining[:3])
            await trio.sleep(REPLACED_WITHIN_S)
            assert old not in {instance_name(each) for each in group.voters()}
            assert sum(voters_by_zone(group).values()) == 2 * tolerated + 1
        await trio.sleep(30)
    assert not moments
    expected = {1: [1, 1, 1], 2: [2, 1, 1, 1], 3: [2, 2, 2, 1]}
    assert sorted(voters_by_zone(group).values(), reverse=True) == expected[tolerated]


#: Interval between moments of losses, below the time between two changes of the membership.
MOMENT_INTERVAL_S = 0.05


@pytest.mark.parametrize('moment', range(22))
async def test_zone_of_a_lost_voter_can_be_lost_at_each_moment_of_its_replacement(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    tmp_path: Path,
    moment: int,
) -> None:
    """Guards against a successor in the zone of the lost voter, which then has three of six voters."""
    group = ControlGroup(nursery, tmp_path, 2, zones=CROWDED_ZONES)
    replace_after_s = choose_timeouts(2, group.replacement_s).replace_after_s
    await group.bootstrap(*NAMES[len(SEEDS) :])
    await trio.sleep(5)
    leader = (await group.wait_for_leader()).member.settings.name
    assert voters_by_zone(group) == {'a': 2, 'b': 1, 'c': 1, 'd': 1}
    voters = {instance_name(each) for each in group.voters()} - {leader}
    lost = min(each for each in voters if CROWDED_ZONES[each] == 'a')
    await group.kill(lost)
    await trio.sleep(replace_after_s - 0.3 + moment * MOMENT_INTERVAL_S)
    others = lose_zone(group, 'a')
    await assert_commits(group, others, 1)


async def test_pauses_cause_two_changes_of_the_voters_each(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against exchanges that follow each replacement, and then each return, of an instance."""
    group = ControlGroup(nursery, tmp_path, 2, zones=FOUR_ZONES)
    await group.bootstrap(*NAMES[len(SEEDS) :])
    await trio.sleep(15)
    for _ in range(6):
        before = group.voters()
        voters = {instance_name(each) for each in before}
        leader = (await group.wait_for_leader()).member.settings.name
        paused = max(voters - {leader})
        async with observe_voters(group) as changes:
            group.fabric.pause(paused)
            await trio.sleep(7)
            group.fabric.resume(paused)
            await trio.sleep(20)
        assert len(changes) == 2, changes
        assert sorted(voters_by_zone(group).values()) == [1, 1, 1, 2]


async def replace_all_in_their_zones(group: ControlGroup, names: tuple[str, ...]) -> list[object]:
    """Replace each instance by one of its zone, and return the moments without a majority."""
    async with observe_moments_without_majority(group) as moments:
        await trio.sleep(5)
        for number, old in enumerate(names):
            remaining = tuple(sorted(group.running.keys() - {old}))
            await group.kill(old)
            await group.start(f'10.0.1.{number}:7', seeds=remaining[:3])
            await trio.sleep(REPLACED_WITHIN_S)
            assert old not in {instance_name(each) for each in group.voters()}
        return moments


@pytest.mark.parametrize(('zones', 'tolerated'), (('abcd', 1), ('abcdef', 2)))
async def test_each_zone_can_be_lost_while_instances_are_replaced_in_their_zones(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    tmp_path: Path,
    zones: str,
    tolerated: int,
) -> None:
    """Guards against a successor beside the lost voter, while a zone has no voter."""
    names = NAMES[: len(zones)]
    by_name = dict(zip(names, zones, strict=True))
    by_name.update({f'10.0.1.{number}:7': zone for number, zone in enumerate(zones)})
    group = ControlGroup(nursery, tmp_path, tolerated, zones=by_name)
    await group.bootstrap(*names[len(SEEDS) :])
    assert not await replace_all_in_their_zones(group, names)
    assert set(voters_by_zone(group).values()) == {1}
    assert len(group.voters()) == 2 * tolerated + 1


async def test_zone_without_other_instances_is_exposed_only_during_the_exchange(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against a lost voter that is kept beside its successor in the only zone without another.

    With three instances in three zones, the loss of that zone leaves two of four voters until the lost
    voter is removed.
    """
    by_name = dict(zip(SEEDS, 'abc', strict=True))
    by_name.update({f'10.0.1.{number}:7': zone for number, zone in enumerate('abc')})
    group = ControlGroup(nursery, tmp_path, zones=by_name)
    await group.bootstrap()
    moments = await replace_all_in_their_zones(group, SEEDS)
    assert len(moments) * OBSERVATION_INTERVAL_S < len(SEEDS) * EXCHANGED_WITHIN_S
    assert sorted(voters_by_zone(group).values()) == [1, 1, 1]
