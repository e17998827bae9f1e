"""Tests of control instances that stop and may not come back."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio
import trio.testing

from tests.control._instances import SEEDS, ControlGroup
from tests.control.test_time_to_replace import borne_losses, find_leader, start_group

#: Longest time by which a stop is prolonged.
LEAVE_S = 1.05

#: Longest time of a stop for which no member can take the vote.
NO_WAIT_S = 0.1

OTHERS = tuple(f'10.0.0.{number}:7' for number in range(4, 9))


async def stop(group: ControlGroup, name: str) -> float:
    """Stop an instance as its program does, and return how long it waited for its successor."""
    began = trio.current_time()
    await group.running[name].member.leave()
    waited = trio.current_time() - began
    await group.kill(name)
    return waited


def find_voter(group: ControlGroup, *, leader: bool) -> str:
    """Return the name of the leader, or of another voter."""
    leading = find_leader(group)
    running = {each.member.identity: name for name, each in group.running.items()}
    others = sorted({running[each] for each in group.voters()} - {leading})
    return leading if leader else others[0]


@pytest.mark.parametrize('leader', (False, True), ids=('voter', 'leader'))
@pytest.mark.parametrize('tolerated', (1, 2, 3))
async def test_losses_are_borne_right_after_a_stop_for_good(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    tmp_path: Path,
    tolerated: int,
    leader: bool,
) -> None:
    """Guards against a vote that stays with a stopped process, while its successor runs for long.

    The instance is replaced by one that has caught up before, so that it does not count as lost.
    """
    group = await start_group(nursery, tmp_path, tolerated, 6.0)
    for number in range(8):
        await group.start(f'10.0.1.{number}:7', seeds=tuple(sorted(group.running))[:3])
        await trio.sleep(6)
        assert await stop(group, find_voter(group, leader=leader)) < LEAVE_S
        await group.wait_for_leader()
        assert borne_losses(group) == tolerated
    assert await group.put(1, through=find_leader(group))


async def test_rolling_restart_ends_with_all_voters(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against instances that lose their votes by a restart and are of no use afterwards."""
    group = await start_group(nursery, tmp_path, 2, 6.0)
    for name in sorted(group.running):
        await stop(group, name)
        await group.wait_for_leader()
        assert borne_losses(group) == 2
        await trio.sleep(1)
        await group.start(name)
        await trio.sleep(3)
    running = {each.member.identity for each in group.running.values()}
    status = group.running[find_leader(group)].member.driver.status()
    assert len(status.configuration.voters) == 5
    assert status.configuration.members == running


async def test_stop_waits_for_the_removal_after_the_promotion(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against a stop between the two changes, when the only learner has become a voter."""
    group = ControlGroup(nursery, tmp_path, 1, 4.0)
    await group.bootstrap(OTHERS[0])
    await trio.sleep(2)
    name = find_voter(group, leader=False)
    await stop(group, name)
    assert name not in group.voters()
    assert borne_losses(group) == 1


async def test_voter_stays_without_a_learner(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against fewer voters after a stop, and against a stop that waits for nobody."""
    name = find_voter(group, leader=False)
    assert await stop(group, name) < NO_WAIT_S
    assert group.voters() == set(SEEDS)


async def test_leader_of_an_earlier_build_is_told_once(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against a stop that waits for a leader which does not know the notice."""
    group = await start_group(nursery, tmp_path, 1, 4.0)
    for each in group.running.values():
        each.knows_leaving = False
    voters = group.voters()
    assert await stop(group, find_voter(group, leader=False)) < NO_WAIT_S
    assert group.voters() == voters


async def test_all_instances_stop_at_once(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against votes that are given to instances that stop too, and a group that cannot start."""
    group = await start_group(nursery, tmp_path, 2, 6.0)
    assert await group.put(3)
    names = sorted(group.running)
    began = trio.current_time()
    async with trio.open_nursery() as stopping:
        for name in names:
            stopping.start_soon(stop, group, name)
    assert trio.current_time() - began < LEAVE_S
    for name in names:
        await group.start(name)
    await group.wait_for_leader()
    await trio.sleep(8)
    assert await group.read() == 3
    assert borne_losses(group) == 2
