"""Tests of control instances that are replaced for good, one after the other."""

from __future__ import annotations

from enum import Enum
from itertools import count
from operator import attrgetter
from pathlib import Path

import pytest
import trio
import trio.testing

from shallotmux.control import GroupHealth
from tests.control._instances import SEEDS, ControlGroup

OTHERS = tuple(f'10.0.0.{number}:7' for number in range(4, 9))

#: Time from a loss until the voters are complete again, by the number of tolerated losses.
REPLACED_WITHIN_S = {1: 4.0, 2: 6.0, 3: 9.0}

#: Time for a change of the configuration to be acknowledged.
ACKNOWLEDGED_WITHIN_S = 4.0


class Departure(Enum):
    """Ways in which an instance leaves for good."""

    STANDS_STILL = 'stands still'
    KILLED = 'killed'
    STOPPED = 'stopped after its successor started'


async def replace(group: ControlGroup, old: str, new: str, way: Departure) -> None:
    """Replace an instance by one with an empty disk at another address."""
    remaining = tuple(sorted(group.running.keys() - {old}))
    if way is Departure.STOPPED:
        await group.start(new, seeds=remaining[:3])
        await group.running[old].member.leave()
        await group.kill(old)
        return
    if way is Departure.KILLED:
        await group.kill(old)
    else:
        group.fabric.pause(old)
        group.stood_still[old] = group.running.pop(old)
    await group.start(new, seeds=remaining[:3])


def find_health(group: ControlGroup) -> GroupHealth | None:
    """Return what the leader says of the group, or None if no instance leads."""
    return next((each.member.health for each in group.running.values() if each.member.health), None)


async def assert_acknowledged(group: ControlGroup, version: int) -> None:
    """Assert that a change is acknowledged in time, and read back at each running instance."""
    with trio.fail_after(ACKNOWLEDGED_WITHIN_S):
        while not await group.put(version):
            await trio.sleep(0.1)
    for name in group.running:
        with trio.fail_after(ACKNOWLEDGED_WITHIN_S):
            while await group.read(name) != version:
                await trio.sleep(0.1)


@pytest.mark.parametrize('way', Departure, ids=attrgetter('name'))
@pytest.mark.parametrize('tolerated', (1, 2, 3))
async def test_voters_are_complete_after_each_replacement(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    tmp_path: Path,
    tolerated: int,
    way: Departure,
) -> None:
    """Guards against a group that dies with the majority of its first voters, which nothing replaced.

    The decision promoted one voter more than the replica accepted.
    """
    bound_s = REPLACED_WITHIN_S[tolerated]
    group = ControlGroup(nursery, tmp_path, tolerated, bound_s)
    await group.bootstrap(*OTHERS)
    await trio.sleep(bound_s)
    versions = count(1)
    for number, old in enumerate((*SEEDS, *OTHERS)):
        await replace(group, old, f'10.0.1.{number}:7', way)
        await trio.sleep(bound_s)
        health = find_health(group)
        assert health is not None
        assert (len(health.voters), health.silent) == (2 * tolerated + 1, ())
        assert health.borne_losses == tolerated
        await assert_acknowledged(group, next(versions))
