"""Tests of a leader that is lost while a voter is exchanged for its successor."""

from __future__ import annotations

from pathlib import Path

import pytest
import trio
import trio.testing

from shallotmux.transport import instance_name
from tests.control._instances import ControlGroup

OTHERS = tuple(f'10.0.0.{number}:7' for number in range(4, 9))

#: Time in which a lost voter is exchanged.
EXCHANGED_WITHIN_S = 8.0

#: Time in which a new leader is elected and completes the exchange.
COMPLETED_WITHIN_S = 6.0


def voter_names(group: ControlGroup) -> set[str]:
    """Return the instances that vote."""
    return set(map(instance_name, group.voters()))


@pytest.mark.parametrize('tolerated', (1, 2))
async def test_next_leader_removes_the_lost_voter_and_no_live_one(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    tmp_path: Path,
    tolerated: int,
) -> None:
    """Guards against a live voter that is removed in place of the lost one, which stays.

    The new leader had not heard of either, and took the first one.
    """
    group = ControlGroup(nursery, tmp_path, tolerated)
    await group.bootstrap(*OTHERS)
    await trio.sleep(3)
    leader = (await group.wait_for_leader()).member.settings.name
    lost = max(voter_names(group) - {leader})
    staying = voter_names(group) - {lost}
    await group.kill(lost)
    with trio.fail_after(EXCHANGED_WITHIN_S):
        while len(group.voters()) < 2 * tolerated + 2:
            await trio.sleep(0.01)
    await group.kill(leader)
    await trio.sleep(0.5)
    await group.start(leader)
    with trio.fail_after(COMPLETED_WITHIN_S):
        while len(group.voters()) != 2 * tolerated + 1 or lost in voter_names(group):
            await trio.sleep(0.01)
    assert staying <= voter_names(group)
