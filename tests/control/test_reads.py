"""Tests of linearizable reads that need no entry in the log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from uuid import uuid4

import pytest
import trio
import trio.testing

from shallotmux.authority import ReadDocument, encode_command
from shallotmux.replication import Effects
from shallotmux.transport import ForwardAnswer, MemoryPeerFabric, Refusal
from tests.control._instances import SEEDS, ControlGroup

#: Readers and steps of the random schedules. Each step takes half an election at most.
READERS = 6
STEPS = 40
MAX_STEP_S = 0.7


async def never_save(save: Callable[[Effects], None], effects: Effects) -> None:
    """Stand for a disk that never completes a write."""
    await trio.sleep_forever()


async def read_at(group: ControlGroup, name: str) -> ForwardAnswer:
    """Read at one instance, without asking another leader."""
    command = encode_command(ReadDocument(uuid4().hex))
    return await group.running[name].member.driver.commit(command, 0.9)


async def test_read_adds_no_entry_to_the_log(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against reads that each cost a commit."""
    assert await group.put(1)
    leader = await group.wait_for_leader()
    before = leader.member.driver.status().last_index
    assert {await group.read(name) for name in SEEDS} == {1}
    assert leader.member.driver.status().last_index == before


async def test_reads_are_answered_while_no_disk_completes_a_write(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a read that fails, and costs the leader its term, because no commit succeeds."""
    assert await group.put(1)
    await trio.sleep(1)
    for instance in group.running.values():
        instance.member.driver._run_blocking = never_save  # noqa: SLF001
    for _ in range(3):
        assert {await group.read(name) for name in SEEDS} == {1}
        await trio.sleep(1)


async def test_leader_without_a_majority_answers_no_read(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a read under a lease, which the clock of a suspended machine may hold up."""
    assert await group.put(1)
    leader = await group.wait_for_leader()
    name = leader.member.settings.name
    group.fabric.isolate(name)
    assert leader.member.driver.is_leader()
    answer = await read_at(group, name)
    assert answer.refusal is Refusal.NOT_COMMITTED
    assert 'no quorum' in answer.detail


async def test_follower_refuses_a_forwarded_read(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a read from the state of an instance that does not lead any more."""
    leader = (await group.wait_for_leader()).member.settings.name
    follower = next(name for name in SEEDS if name != leader)
    answer = await read_at(group, follower)
    assert answer.refusal is Refusal.NOT_COMMITTED


@dataclass
class Operations:
    """Puts and reads at random instances; notes the newest version that was acknowledged or read."""

    group: ControlGroup
    random: Random
    newest: int = 0
    submitted: int = 0
    reads: int = 0
    stale: list[tuple[int, int]] = field(default_factory=list)

    async def read_steadily(self) -> None:
        """Read until cancelled."""
        while True:
            await trio.sleep(self.random.uniform(0.01, 0.1))
            least = self.newest
            found = await self.group.read(self.random.choice(SEEDS))
            if found is None:
                continue
            self.reads += 1
            if found < least:
                self.stale.append((found, least))
            self.newest = max(self.newest, found)

    async def put_steadily(self) -> None:
        """Submit rising versions until cancelled."""
        while True:
            await trio.sleep(self.random.uniform(0.01, 0.1))
            self.submitted += 1
            version = self.submitted
            if await self.group.put(version, through=self.random.choice(SEEDS)):
                self.newest = max(self.newest, version)


def cause_fault(fabric: MemoryPeerFabric, random: Random) -> None:
    """Cut an instance off, separate two, or withhold the messages of one."""
    first, second = random.sample(SEEDS, 2)
    match random.randrange(3):
        case 0:
            fabric.isolate(first)
        case 1:
            fabric.partition(first, second)
        case _:
            fabric.pause(first)


@pytest.mark.parametrize('seed', range(8))
async def test_reads_never_go_back(
    group: ControlGroup, autojump_clock: trio.testing.MockClock, seed: int
) -> None:
    """Guards against a read that shows an older version than an acknowledged change or another read."""
    random = Random(seed)
    operations = Operations(group, random)
    fabric = group.fabric
    async with trio.open_nursery() as nursery:
        for _ in range(READERS):
            nursery.start_soon(operations.read_steadily)
        nursery.start_soon(operations.put_steadily)
        for _ in range(STEPS):
            cause_fault(fabric, random)
            await trio.sleep(random.uniform(0.1, 2 * MAX_STEP_S))
            fabric.heal()
            for name in SEEDS:
                fabric.resume(name)
            await trio.sleep(random.uniform(0.1, MAX_STEP_S))
        nursery.cancel_scope.cancel()
    assert not operations.stale
    assert operations.reads > STEPS
    assert operations.newest > STEPS
