"""Tests of the time from the loss of a voter until the group bears the next loss."""

from __future__ import annotations

from itertools import count, pairwise
from pathlib import Path

import pytest
import trio
import trio.testing

from shallotmux.control import choose_timeouts, longest_replacement_s
from tests.control._instances import SEEDS, ControlGroup

OTHERS = tuple(f'10.0.0.{number}:7' for number in range(4, 9))

#: Tolerated losses, and time after which a lost instance does not count any more.
DEPLOYMENTS = ((1, 4.0), (2, 6.0), (3, 9.0))

#: Rounds of losses in one run; more instances than there are voters are lost.
ROUNDS = 5


async def start_group(
    nursery: trio.Nursery, folder: Path, tolerated: int, replacement_s: float
) -> ControlGroup:
    """Start eight instances, and return the group once it has all its voters."""
    group = ControlGroup(nursery, folder, tolerated, replacement_s)
    await group.bootstrap(*OTHERS)
    with trio.fail_after(10):
        while len(group.voters()) < 2 * tolerated + 1:
            await trio.sleep(0.1)
    return group


def find_leader(group: ControlGroup) -> str:
    """Return the name of the leader."""
    leading = (name for name, each in group.running.items() if each.member.driver.is_leader())
    return next(leading, '')


def borne_losses(group: ControlGroup) -> int:
    """Return how many running voters may be lost now; -1 while nobody leads."""
    if not find_leader(group):
        return -1
    voters = group.voters()
    running = {each.member.identity for each in group.running.values()}
    return len(voters & running) - (len(voters) // 2 + 1)


async def lose(group: ControlGroup, successor: str, *, leader: bool) -> None:
    """Kill a voter for good, and start its successor with an empty disk at the same moment."""
    assert borne_losses(group) >= 1, group.voters()
    leading = find_leader(group)
    running = {each.member.identity: name for name, each in group.running.items()}
    others = sorted(running[each] for each in group.voters() & running.keys())
    lost = leading if leader else next(name for name in others if name != leading)
    await group.kill(lost)
    await group.start(successor, seeds=tuple(sorted(group.running))[:3])


@pytest.mark.parametrize(('tolerated', 'replacement_s'), DEPLOYMENTS)
@pytest.mark.parametrize('kind', ('voter first', 'leaders'))
@pytest.mark.parametrize('seed', range(4))
async def test_next_loss_is_borne_in_time(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    tmp_path: Path,
    tolerated: int,
    replacement_s: float,
    kind: str,
    seed: int,
) -> None:
    """Guards against a group that has no majority, though no more than the tolerated losses overlapped.

    Lost voters were replaced 5 s after the election of a leader. So many losses as are tolerated follow
    each other in equal gaps, or the leader is lost when it is about to replace a voter.
    """
    group = await start_group(nursery, tmp_path, tolerated, replacement_s)
    await trio.sleep(1 + seed / 10)
    silence_s = choose_timeouts(tolerated, replacement_s).replace_after_s
    gap = replacement_s / tolerated if seed % 2 else min(silence_s, replacement_s / tolerated)
    moments = [
        number * replacement_s + beside * gap
        for number in range(ROUNDS)
        for beside in range(tolerated)
    ]
    waits = (*(later - earlier for earlier, later in pairwise(moments)), replacement_s)
    numbers = count(1)
    for number, wait in enumerate(waits):
        is_leader = kind == 'leaders' or number % tolerated > 0
        await lose(group, f'10.0.1.{next(numbers)}:7', leader=is_leader)
        await trio.sleep(wait)
    await trio.sleep(replacement_s)
    assert borne_losses(group) == tolerated
    assert await group.put(1, through=find_leader(group))


async def test_voter_that_stood_still_becomes_a_voter_again(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against an instance that is of no use any more after it was replaced while it was frozen."""
    group = ControlGroup(nursery, tmp_path, 1, 4.0)
    await group.bootstrap(OTHERS[0])
    await trio.sleep(2)
    leading = find_leader(group)
    frozen, other = sorted(set(SEEDS) - {leading})
    group.fabric.pause(frozen)
    await trio.sleep(4)
    assert group.voters() == {leading, other, group.running[OTHERS[0]].member.identity}
    group.fabric.resume(frozen)
    await trio.sleep(4)
    await group.kill(other)
    await trio.sleep(4)
    assert frozen in group.voters()
    assert await group.put(1, through=frozen)


async def test_voter_that_is_slow_during_an_election_is_not_replaced(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock, tmp_path: Path
) -> None:
    """Guards against a new leader that replaces a voter which was silent for a moment only."""
    group = await start_group(nursery, tmp_path, 2, 6.0)
    await trio.sleep(2)
    leading = find_leader(group)
    slow = min(name for name in group.voters() - {leading} if name in group.running)
    group.fabric.pause(slow)
    await group.kill(leading)
    await trio.sleep(1.8)
    group.fabric.resume(slow)
    await trio.sleep(6)
    assert slow in group.voters()
    assert leading not in group.voters()


@pytest.mark.parametrize(('tolerated', 'replacement_s'), DEPLOYMENTS)
def test_longest_replacement_is_within_the_allowed_time(
    tolerated: int, replacement_s: float
) -> None:
    """Guards against timeouts that leave no time for elections and the changes of the membership."""
    timeouts = choose_timeouts(tolerated, replacement_s)
    assert longest_replacement_s(tolerated, timeouts) <= replacement_s


def test_silence_is_bounded_whatever_a_deployment_allows() -> None:
    """Guards against replacements at each restart of an instance, and against none for minutes."""
    assert choose_timeouts(3, 1).replace_after_s == pytest.approx(1.5)
    assert choose_timeouts(1, 600).replace_after_s == pytest.approx(5)
