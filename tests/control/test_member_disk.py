"""Tests of the disk of a control instance that refuses writes at a start."""

from __future__ import annotations

import errno
from pathlib import Path
from random import Random

import pytest
import trio.testing

from shallotmux.control import ControlMember, MemberSettings
from shallotmux.errors import StorageError
from shallotmux.transport import MemoryPeerFabric
from tests.control._instances import SEEDS
from tests.storage._refusing import RefusingFileSystem


def open_member(
    folder: Path, files: RefusingFileSystem, *, bootstrap: bool = True
) -> ControlMember:
    """Open the first seed, as a start of its program does."""
    settings = MemberSettings(SEEDS[0], folder / 'data', SEEDS, bootstrap)
    network = MemoryPeerFabric(Random(1)).network(SEEDS[0])
    return ControlMember(settings, network, Random(1), files=files)


@pytest.mark.parametrize('accepted', range(2))
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
    assert member.identity == SEEDS[0]
    assert member.driver.status().configuration.voters == set(SEEDS)
    member.close()


async def test_folder_that_cannot_be_created_is_a_storage_error(
    tmp_path: Path, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a process that ends because its data folder cannot be created now."""
    files = RefusingFileSystem()
    files.state.fill('folder', error=errno.EROFS)
    with pytest.raises(StorageError, match='Read-only'):
        open_member(tmp_path, files)
