"""Tests of recovery from a disk that temporarily rejects writes."""

from __future__ import annotations

import errno
import itertools
import math
import threading
from pathlib import Path
from typing import Any

import pytest
import trio
import trio.testing

from shallotmux.errors import StorageError
from shallotmux.programs._disk import run_on_disk
from shallotmux.storage import AppendFile, LocalFileSystem
from tests.storage._refusing import RefusingFileSystem


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


def wait_for_threads(clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep the clock from jumping while a thread probes the disk, however long that takes."""
    run_sync = trio.to_thread.run_sync

    async def run_without_jumps(*args: Any, **options: Any) -> Any:
        clock.autojump_threshold = math.inf
        try:
            return await run_sync(*args, **options)
        finally:
            clock.autojump_threshold = 0

    monkeypatch.setattr(trio.to_thread, 'run_sync', run_without_jumps)


def refused_write(number: int, size: int = 0) -> StorageError:
    """Return the error of a write that failed with an errno."""
    error = StorageError('/data/log', step='write', size=size)
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


async def test_room_for_small_writes_does_not_count(
    tmp_path: Path, autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a member that leaves and returns with each document that is too large."""
    wait_for_threads(autojump_clock, monkeypatch)
    files = RefusingFileSystem()
    files.state.fill('write', room=400_000)
    runs: list[float] = []

    async def run() -> None:
        runs.append(trio.current_time())
        if files.state.steps:
            raise refused_write(errno.ENOSPC, 2_000_000)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_on_disk, tmp_path, run, trio.Event(), files)
        await trio.sleep(20)
        files.state.clear()
    assert len(runs) == 2
    assert runs[1] - runs[0] == pytest.approx(20, abs=1)


async def test_writes_that_fail_after_each_probe_are_retried_less_often(
    tmp_path: Path, autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a member that is rebuilt without a pause while its own file refuses writes."""
    wait_for_threads(autojump_clock, monkeypatch)
    runs: list[float] = []
    stop = trio.Event()

    async def run() -> None:
        runs.append(trio.current_time())
        raise refused_write(errno.EFBIG)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_on_disk, tmp_path, run, stop)
        await trio.sleep(60)
        stop.set()
    pauses = [later - earlier for earlier, later in itertools.pairwise(runs)]
    assert pauses[:6] == pytest.approx([0, 0.5, 1, 2, 2, 2], abs=0.1)


async def test_short_refusals_far_apart_are_not_delayed(
    tmp_path: Path, autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a member that waits for long after many refusals in a day."""
    wait_for_threads(autojump_clock, monkeypatch)
    refusals: list[float] = []

    async def run() -> None:
        if len(refusals) == 9:
            return
        await trio.sleep(60)
        refusals.append(trio.current_time())
        raise refused_write(errno.ENOSPC)

    await run_on_disk(tmp_path, run, trio.Event())
    assert refusals[-1] - refusals[0] < 8 * 61


class HangingDisk(LocalFileSystem):
    """Answers once it is released, or after 5 s."""

    def __init__(self) -> None:
        self.is_probed = threading.Event()
        self.is_released = threading.Event()
        self.has_answered = False

    def append(self, path: Path) -> AppendFile:
        """Wait for the release."""
        self.is_probed.set()
        self.is_released.wait(5)
        self.has_answered = True
        return super().append(path)


async def test_stop_does_not_wait_for_a_disk_that_hangs(tmp_path: Path) -> None:
    """Guards against a process that does not exit within its grace period."""
    disk = HangingDisk()
    stop = trio.Event()

    async def run() -> None:
        raise refused_write(errno.EIO)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_on_disk, tmp_path, run, stop, disk)
        await trio.to_thread.run_sync(disk.is_probed.wait)
        stop.set()
    is_abandoned = not disk.has_answered
    disk.is_released.set()
    assert is_abandoned


async def test_folder_that_could_not_be_created_is_waited_for(
    tmp_path: Path, autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a first start that waits for ever for a folder that nobody creates."""
    wait_for_threads(autojump_clock, monkeypatch)
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

    with pytest.raises(ExceptionGroup), trio.fail_after(5):
        await run_on_disk(tmp_path, run, trio.Event())


async def test_other_errors_beside_a_refused_write_are_raised(tmp_path: Path) -> None:
    """Guards against program errors that are masked by a full disk."""

    async def run() -> None:
        raise ExceptionGroup('tasks', [refused_write(errno.ENOSPC), ValueError('fault')])

    with pytest.raises(ExceptionGroup) as caught:
        await run_on_disk(tmp_path, run, trio.Event())
    assert caught.group_contains(ValueError)
