"""Tests of the control group with large documents: sizes on disk, restarts and lagging members."""

from __future__ import annotations

from pathlib import Path
from random import Random
from uuid import uuid4

import pytest
import trio
import trio.testing

from shallotmux.authority import PutDocument
from shallotmux.control._member import replica_options
from shallotmux.errors import ShallotmuxError
from tests.control._instances import SEEDS, ControlGroup

FIRST, SECOND, THIRD = SEEDS

#: Bytes of a large document, and of the largest one that an operator's request may hold.
LARGE_BYTES = 400 << 10
LARGEST_BYTES = 4 << 20

#: Bytes of a change that a log holds beside the document, and of other entries.
OVERHEAD_BYTES = 64 << 10


async def put_document(group: ControlGroup, version: int, size: int) -> None:
    """Submit a document until it is acknowledged; its content can't be compressed."""
    content = Random(version).randbytes(size)
    with trio.fail_after(20):
        while True:
            through = group.running[min(group.running)]
            command = PutDocument(uuid4().hex, version, content)
            try:
                await through.member.authority.submit(command)
            except ShallotmuxError:
                continue
            return


def held_version(group: ControlGroup, name: str) -> int:
    state = group.running[name].member.state
    return state.zone.document.version


def folder_bytes(folder: Path) -> int:
    return sum(each.stat().st_size for each in folder.iterdir())


def allowed_bytes(size: int) -> int:
    """Return the largest size of a data folder: the log, its next entry, and a snapshot."""
    return replica_options().snapshot_after_bytes + 3 * (size + OVERHEAD_BYTES)


@pytest.mark.parametrize(('size', 'changes'), ((LARGE_BYTES, 60), (LARGEST_BYTES, 8)))
async def test_data_folder_is_bounded_by_bytes(
    group: ControlGroup, autojump_clock: trio.testing.MockClock, size: int, changes: int
) -> None:
    """Guards against a log that outgrows the memory and the disk of an instance."""
    for version in range(1, changes + 1):
        await put_document(group, version, size)
        for name in SEEDS:
            assert folder_bytes(group.data(name)) <= allowed_bytes(size)
    for name in SEEDS:
        await group.kill(name)
    for name in SEEDS:
        instance = await group.start(name)
        assert instance.member.driver.sizes().entry_bytes <= allowed_bytes(size)
    await group.wait_for_leader()
    assert await group.read(FIRST) == changes


async def test_lagging_member_is_brought_up_to_date_with_large_documents(
    group: ControlGroup, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a member that never catches up once the leader keeps few entries for it."""
    await put_document(group, 1, LARGEST_BYTES)
    await group.kill(THIRD)
    for version in range(2, 7):
        await put_document(group, version, LARGEST_BYTES)
    await group.start(THIRD)
    await trio.sleep(5)
    assert held_version(group, THIRD) == 6
    await group.kill(SECOND, wipe=True)
    await group.start(SECOND)
    await trio.sleep(8)
    assert held_version(group, SECOND) == 6
    await group.kill(FIRST)
    await group.wait_for_leader()
    assert await group.read(SECOND) == 6
