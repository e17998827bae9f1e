"""Tests of the disk of a control instance that refuses writes at a start."""

from __future__ import annotations

import errno
from pathlib import Path
from random import Random

import pytest
import trio
import trio.testing

from shallotmux.control import ControlMember, MemberSettings
from shallotmux.errors import StorageError
from shallotmux.storage import store_identity
from shallotmux.transport import MemoryPeerFabric
from tests.control._instances import SEEDS, ControlGroup
from tests.storage._refusing import RefusingFileSystem

FIRST = SEEDS[0]


def open_member(folder: Path, files: RefusingFileSystem, name: str = FIRST) -> ControlMember:
    """Open a seed at the first start of the deployment."""
    settings = MemberSettings(name, folder, SEEDS, bootstrap=True)
    network = MemoryPeerFabric(Random(1)).network(name)
    return ControlMember(settings, network, Random(1), files=files)


@pytest.mark.parametrize('accepted', range(4))
async def test_refused_first_start_is_repeated_in_the_same_process(
    tmp_path: Path, autojump_clock: trio.testing.MockClock, accepted: int
) -> None:
    """Guards against a process that ends, or a seed without a group, after a refused first write."""
    files = RefusingFileSystem()
    files.state.fill('write', 'rename', after=accepted)
    with pytest.raises(StorageError, match='No space left'):
        open_member(tmp_path, files)
    files.state.clear()
    member = open_member(tmp_path, files)
    assert member.identity == FIRST
    assert member.driver.status().configuration.voters == set(SEEDS)
    member.close()


@pytest.mark.parametrize('accepted', (2, 3))
async def test_group_forms_after_all_first_starts_were_interrupted(
    tmp_path: Path, autojump_clock: trio.testing.MockClock, nursery: trio.Nursery, accepted: int
) -> None:
    """Guards against seeds that were killed in their first start and never elect a leader."""
    group = ControlGroup(nursery, tmp_path)
    for name in SEEDS:
        files = RefusingFileSystem()
        files.state.fill('write', 'rename', after=accepted)
        with pytest.raises(StorageError, match='No space left'):
            open_member(group.data(name), files, name)
    nursery.start_soon(group.fabric.run)
    for name in SEEDS:
        await group.start(name)
    await group.wait_for_leader()
    assert await group.put(1)
    assert group.voters() == set(SEEDS)


async def test_identity_without_group_of_an_earlier_build_starts_the_group(
    tmp_path: Path, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a seed without a group after an interrupted first start of an earlier build."""
    store_identity(tmp_path, FIRST)
    member = open_member(tmp_path, RefusingFileSystem())
    assert member.driver.status().configuration.voters == set(SEEDS)
    member.close()


async def test_first_start_is_over_once_the_group_was_used(
    tmp_path: Path, autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
) -> None:
    """Guards against a process that takes each rebuild from its disk for the first start."""
    group = ControlGroup(nursery, tmp_path)
    nursery.start_soon(group.fabric.run)
    for name in SEEDS:
        instance = await group.start(name, bootstrap=True)
        assert instance.member.is_first_start
    await group.wait_for_leader()
    await trio.sleep(1)
    await group.kill(FIRST)
    instance = await group.start(FIRST, bootstrap=True)
    assert not instance.member.is_first_start


async def test_new_identity_without_group_starts_no_group(
    tmp_path: Path, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a wiped instance that votes, though its earlier vote is lost."""
    store_identity(tmp_path, f'{FIRST}@1')
    member = open_member(tmp_path, RefusingFileSystem())
    assert not member.driver.status().configuration.voters
    member.close()


async def test_folder_that_cannot_be_created_is_a_storage_error(
    tmp_path: Path, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a process that ends because its data folder cannot be created now."""
    files = RefusingFileSystem()
    files.state.fill('folder', error=errno.EROFS)
    with pytest.raises(StorageError, match='Read-only'):
        open_member(tmp_path / 'data', files)
