"""Tests of the control group: bootstrap, lost disks, replacements and partitions."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.storage import load_identity
from tests.control._instances import SEEDS, ControlGroup

FIRST, SECOND, THIRD = SEEDS
FOURTH = '10.0.0.4:7'


async def test_first_start_elects_one_leader(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against seeds that each bootstrap a separate group."""
    assert group.voters() == set(SEEDS)
    assert await group.put(1, through=THIRD)
    assert {await group.read(name) for name in SEEDS} == {1}


async def test_further_instance_replaces_a_lost_voter(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a lost voter that is not replaced although another instance is available."""
    await group.put(1)
    await group.start(FOURTH, bootstrap=True)
    await trio.sleep(3)
    assert group.voters() == set(SEEDS)
    assert await group.read(FOURTH) == 1
    await group.kill(THIRD)
    await trio.sleep(8)
    assert len(group.voters()) == 3
    assert any(voter.startswith(FOURTH) for voter in group.voters())


async def test_wiped_voter_rejoins_under_new_identity(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a voter that lost its vote and votes twice under its old identity."""
    assert await group.put(1)
    await group.kill(SECOND, wipe=True)
    await group.start(SECOND)
    await trio.sleep(5)
    identity = load_identity(group.data(SECOND))
    assert identity != SECOND
    assert identity in group.voters()
    assert SECOND not in group.voters()
    assert await group.read(SECOND) == 1


async def test_acknowledged_document_survives_lost_disk_and_power_failure(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an acknowledgement before a majority of disks holds the document."""
    for version in range(1, 6):
        leader = await group.wait_for_leader()
        name = leader.member.settings.name
        assert await group.put(version, through=name)
        # Right after the acknowledgement the leader loses its disk, and the others lose power.
        for each in SEEDS:
            await group.kill(each, wipe=each == name)
        for each in SEEDS:
            await group.start(each)
        await group.wait_for_leader()
        await trio.sleep(4)
        assert await group.read() == version


async def test_minority_neither_commits_nor_reads(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a partitioned leader that commits alone, and against stale reads."""
    leader = (await group.wait_for_leader()).member.settings.name
    assert await group.put(1)
    group.fabric.isolate(leader)
    assert not await group.put(2, through=leader)
    assert await group.read(leader) is None
    others = [name for name in SEEDS if name != leader]
    await trio.sleep(3)
    assert await group.put(3, through=others[0])
    group.fabric.heal()
    await trio.sleep(3)
    assert await group.read(leader) == 3


async def test_restart_keeps_identity_and_document(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a restart with an intact disk that is treated as a lost disk."""
    assert await group.put(7)
    for name in SEEDS:
        await group.kill(name)
    for name in SEEDS:
        await group.start(name)
    await group.wait_for_leader()
    assert await group.read() == 7
    assert group.voters() == set(SEEDS)


async def test_replacement_at_another_address_becomes_voter(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a lost instance that stays a voter and takes a majority with the next loss."""
    assert await group.put(1)
    await group.kill(FIRST, wipe=True)
    await group.start(FOURTH)
    await trio.sleep(9)
    assert any(voter.startswith(FOURTH) for voter in group.voters())
    assert FIRST not in group.voters()
    assert await group.put(2, through=FOURTH)
    await group.kill(SECOND)
    await trio.sleep(3)
    assert await group.read(FOURTH) == 2


async def test_removed_voter_joins_again(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an instance that never asks to join again after it was replaced."""
    await group.start(FOURTH)
    await trio.sleep(3)
    await group.kill(THIRD)
    await trio.sleep(8)
    assert THIRD not in group.voters()
    await group.start(THIRD)
    await trio.sleep(5)
    assert await group.put(4, through=THIRD)
    await trio.sleep(0.5)
    state = group.running[THIRD].member.state
    assert state.zone.document.version == 4


async def test_shutdown_transfers_leadership(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a shutdown that leaves the group without a leader until an election."""
    leader = await group.wait_for_leader()
    name = leader.member.settings.name
    await leader.member.transfer_leadership()
    await trio.sleep(0.3)
    successor = await group.wait_for_leader()
    assert successor.member.settings.name != name
