"""Tests of recovery from a disk that temporarily rejects writes."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest
import trio
import trio.testing

from shallotmux.errors import StorageError
from shallotmux.programs._disk import run_on_disk
from shallotmux.storage import AppendFile, LocalFileSystem


class FullDisk(LocalFileSystem):
    """Rejects some writes with ENOSPC, then accepts them."""

    def __init__(self, refusals: int) -> None:
        self.refusals = refusals

    def append(self, path: Path) -> AppendFile:
        """Raise ENOSPC while the disk is full."""
        if self.refusals:
            self.refusals -= 1
            raise OSError(errno.ENOSPC, 'No space left on device')
        return super().append(path)


def refused_write(number: int) -> StorageError:
    """Return the error of a write that failed with an errno."""
    error = StorageError('/data/log', step='write')
    error.__cause__ = OSError(number, 'refused')
    return error


async def test_full_disk_is_retried(tmp_path: Path, autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a process that exits while its disk is full."""
    disk = FullDisk(3)
    runs: list[int] = []

    async def run() -> None:
        runs.append(disk.refusals)
        if len(runs) == 1:
            raise ExceptionGroup('tasks', [refused_write(errno.ENOSPC)])

    await run_on_disk(tmp_path, run, trio.Event(), disk)
    assert runs == [3, 0]
    assert not list(tmp_path.iterdir())


@pytest.mark.parametrize(
    'number',
    [
        errno.EDQUOT,
        errno.EFBIG,
        errno.EIO,
        errno.EMFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EROFS,
        errno.ETIMEDOUT,
    ],
)
async def test_refused_write_is_retried(tmp_path: Path, number: int) -> None:
    """Guards against a process that ends while its disk, or the system, refuses a write."""
    errors = [refused_write(number)]

    async def run() -> None:
        if errors:
            raise ExceptionGroup('tasks', [errors.pop()])

    await run_on_disk(tmp_path, run, trio.Event())
    assert not errors


async def test_folder_that_could_not_be_created_is_waited_for(
    tmp_path: Path, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a first start that waits for ever for a folder that nobody creates."""
    runs: list[float] = []

    async def run() -> None:
        runs.append(trio.current_time())
        if len(runs) == 1:
            raise refused_write(errno.EROFS)

    with trio.fail_after(30):
        await run_on_disk(tmp_path / 'data', run, trio.Event())


@pytest.mark.parametrize('number', [errno.ENOENT, errno.EACCES, errno.EAGAIN, errno.EINVAL])
async def test_other_errors_end_the_process(tmp_path: Path, number: int) -> None:
    """Guards against endless retries on a damaged or missing folder."""

    async def run() -> None:
        raise refused_write(number)

    with pytest.raises(ExceptionGroup):
        await run_on_disk(tmp_path, run, trio.Event())


async def test_other_errors_beside_a_refused_write_are_raised(tmp_path: Path) -> None:
    """Guards against program errors that are masked by a full disk."""

    async def run() -> None:
        raise ExceptionGroup('tasks', [refused_write(errno.ENOSPC), ValueError('fault')])

    with pytest.raises(ExceptionGroup) as caught:
        await run_on_disk(tmp_path, run, trio.Event())
    assert caught.group_contains(ValueError)
