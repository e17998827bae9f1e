"""Tests of the control group: first start, lost disks, replacements, cuts."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.storage import load_identity
from tests.control._cores import SEEDS, Cores

FIRST, SECOND, THIRD = SEEDS
FOURTH = '10.0.0.4:7'


async def test_first_start_elects_one_leader(cores: Cores) -> None:
    """Guards against seeds that start groups of their own."""
    assert cores.voters() == set(SEEDS)
    assert await cores.put(1, through=THIRD)
    assert {await cores.read(name) for name in SEEDS} == {1}


async def test_further_instance_follows_and_replaces_a_lost_voter(cores: Cores) -> None:
    """Guards against a group that stays without a lost voter though another instance is there."""
    await cores.put(1)
    await cores.start(FOURTH, bootstrap=True)
    await trio.sleep(3)
    assert cores.voters() == set(SEEDS)
    assert await cores.read(FOURTH) == 1
    await cores.kill(THIRD)
    await trio.sleep(8)
    assert len(cores.voters()) == 3
    assert any(voter.startswith(FOURTH) for voter in cores.voters())


async def test_wiped_voter_returns_under_another_identity(cores: Cores) -> None:
    """Guards against a voter that forgot its vote and votes again under its old identity."""
    assert await cores.put(1)
    await cores.kill(SECOND, wipe=True)
    await cores.start(SECOND)
    await trio.sleep(5)
    identity = load_identity(cores.data(SECOND))
    assert identity != SECOND
    assert identity in cores.voters()
    assert SECOND not in cores.voters()
    assert await cores.read(SECOND) == 1


async def test_acknowledged_document_survives_a_lost_disk_and_power(cores: Cores) -> None:
    """Guards against an acknowledgement that rests on the disk which is lost."""
    for version in range(1, 6):
        leader = await cores.wait_for_leader()
        name = leader.member.settings.name
        assert await cores.put(version, through=name)
        # The leader loses its disk right after the acknowledgement, the others lose power.
        for each in SEEDS:
            await cores.kill(each, wipe=each == name)
        for each in SEEDS:
            await cores.start(each)
        await cores.wait_for_leader()
        await trio.sleep(4)
        assert await cores.read() == version


async def test_minority_neither_acknowledges_nor_reads(cores: Cores) -> None:
    """Guards against a cut-off leader that goes on alone, and documents that revert."""
    leader = (await cores.wait_for_leader()).member.settings.name
    assert await cores.put(1)
    cores.fabric.isolate(leader)
    assert not await cores.put(2, through=leader)
    assert await cores.read(leader) is None
    others = [name for name in SEEDS if name != leader]
    await trio.sleep(3)
    assert await cores.put(3, through=others[0])
    cores.fabric.heal()
    await trio.sleep(3)
    assert await cores.read(leader) == 3


async def test_restart_keeps_identity_and_document(cores: Cores) -> None:
    """Guards against a restart with its disk that counts as a lost one."""
    assert await cores.put(7)
    for name in SEEDS:
        await cores.kill(name)
    for name in SEEDS:
        await cores.start(name)
    await cores.wait_for_leader()
    assert await cores.read() == 7
    assert cores.voters() == set(SEEDS)


async def test_replacement_at_another_address_becomes_voter(cores: Cores) -> None:
    """Guards against a group that keeps counting on an instance which is gone for good."""
    assert await cores.put(1)
    await cores.kill(FIRST, wipe=True)
    await cores.start(FOURTH)
    await trio.sleep(9)
    assert any(voter.startswith(FOURTH) for voter in cores.voters())
    assert FIRST not in cores.voters()
    assert await cores.put(2, through=FOURTH)
    await cores.kill(SECOND)
    await trio.sleep(3)
    assert await cores.read(FOURTH) == 2


async def test_returning_voter_that_was_removed_joins_again(cores: Cores) -> None:
    """Guards against an instance that waits for ever after its place was given away."""
    await cores.start(FOURTH)
    await trio.sleep(3)
    await cores.kill(THIRD)
    await trio.sleep(8)
    assert THIRD not in cores.voters()
    await cores.start(THIRD)
    await trio.sleep(5)
    assert await cores.put(4, through=THIRD)
    await trio.sleep(0.5)
    state = cores.running[THIRD].member.state
    assert state.zone.document.version == 4


async def test_stop_hands_leadership_over(cores: Cores) -> None:
    """Guards against a planned stop that leaves the group without a leader for an election."""
    leader = await cores.wait_for_leader()
    name = leader.member.settings.name
    await leader.member.transfer_leadership()
    await trio.sleep(0.3)
    successor = await cores.wait_for_leader()
    assert successor.member.settings.name != name
