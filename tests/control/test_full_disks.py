"""Tests of a control group whose disks refuse operations one after another, never two at once."""

from __future__ import annotations

import errno
from pathlib import Path
from random import Random

import pytest
import trio
import trio.testing

from shallotmux.control import _member
from tests.control._disks import DiskGroup
from tests.control._instances import SEEDS

SPARE = '10.0.0.4:7'

#: Operations that a disk refuses at a time, and the error.
REFUSALS = (
    (('write', 'truncate'), errno.ENOSPC),
    (('sync',), errno.EIO),
    (('rename',), errno.EROFS),
    (('write', 'truncate', 'sync', 'rename'), errno.EIO),
)

#: Durations of a refusal. A silent voter is replaced after 5 s, and a silent learner after 20 s.
DURATIONS_S = (0.5, 2.0, 5.5, 9.0, 25.0)
GAPS_S = (0.0, 0.1, 1.0, 4.0)
PUT_INTERVAL_S = 0.3
PUT_TIMEOUT_S = 4.0
RETRY_DELAY_S = 0.2


async def put_in_time(group: DiskGroup, version: int, random: Random) -> None:
    """Submit a document to one instance after another until it is acknowledged."""
    with trio.fail_after(PUT_TIMEOUT_S):
        while not await group.put(version, through=random.choice(sorted(group.running))):
            await trio.sleep(RETRY_DELAY_S)


async def refuse_in_turn(group: DiskGroup, names: tuple[str, ...], random: Random) -> None:
    """Let the disks refuse operations, one disk at a time, that of the leader most often."""
    for _ in range(5):
        leader = await group.wait_for_leader()
        name = random.choice((leader.member.settings.name, *names))
        steps, error = random.choice(REFUSALS)
        state = group.files[name].state
        state.fill(*steps, error=error, room=random.choice((0, 200)), after=random.randint(0, 2))
        await trio.sleep(random.choice(DURATIONS_S))
        state.clear()
        await trio.sleep(random.choice(GAPS_S))


@pytest.mark.parametrize('seed', range(4))
async def test_disks_that_refuse_in_turn_leave_a_group_that_commits(
    nursery: trio.Nursery,
    autojump_clock: trio.testing.MockClock,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
) -> None:
    """Guards against changes that are refused after the last disk has room again."""
    monkeypatch.setattr(_member, 'SNAPSHOT_AFTER_ENTRIES', 16)
    monkeypatch.setattr(_member, 'RETAINED_ENTRIES', 4)
    random = Random(seed)
    group = DiskGroup(nursery, tmp_path)
    await group.bootstrap()
    names = (*SEEDS, SPARE) if seed % 2 else SEEDS
    for name in names[len(SEEDS) :]:
        await group.start(name)
    version = 0
    async with trio.open_nursery() as disks:
        disks.start_soon(refuse_in_turn, group, names, random)
        while disks.child_tasks:
            version += 1
            await put_in_time(group, version, random)
            await trio.sleep(PUT_INTERVAL_S)
    assert sum(group.rebuilds.values()) > 2
    await trio.sleep(10)
    await put_in_time(group, version + 1, random)
    assert {await group.read(name) for name in names} == {version + 1}
    assert len(group.voters()) == len(SEEDS)
    leader = await group.wait_for_leader()
    members = leader.member.driver.status().configuration.members
    assert members == {each.member.identity for each in group.running.values()}
