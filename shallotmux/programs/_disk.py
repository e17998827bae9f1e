"""Recover from a disk that temporarily rejects writes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

import trio
from eliot import log_message

from shallotmux.errors import StorageError
from shallotmux.storage import FileSystem, LocalFileSystem, is_refusal

#: Interval between write probes of a disk.
PROBE_INTERVAL_S = 0.5

#: Size of a write probe, about that of a log entry with a document.
PROBE_BYTES = 65_536
PROBE_NAME = 'trial'


async def run_on_disk(
    folder: Path,
    run: Callable[[], Awaitable[None]],
    stop: trio.Event,
    files: FileSystem | None = None,
) -> None:
    """Run a task that needs a disk, and restart it from the stored state after a failed write.

    After a failed write the state in memory is ahead of the disk, so all of it is rebuilt from the
    disk, as after a restart of the process.

    :param run: builds its state from the disk each time it is called.
    :param stop: set once the process is asked to stop; the disk is not waited for any more.
    :raises StorageError: if the error is not temporary, such as a damaged file.
    """
    while True:
        try:
            await run()
        except* StorageError as group:
            if not _is_transient(group):
                raise
            log_message(message_type='shallotmux:disk-refused', level='error', error=repr(group))
        else:
            return
        await _wait_for_disk(folder, files or LocalFileSystem(), stop)
        if stop.is_set():
            return
        log_message(message_type='shallotmux:disk-regained')


def _is_transient(group: BaseExceptionGroup[StorageError]) -> bool:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            if not _is_transient(error):
                return False
        elif not is_refusal(error):
            return False
    return True


async def _wait_for_disk(folder: Path, files: FileSystem, stop: trio.Event) -> None:
    """Return when the disk accepts writes again, or ``stop`` is set."""
    while not stop.is_set():
        if await trio.to_thread.run_sync(_is_writable, folder, files):
            return
        with trio.move_on_after(PROBE_INTERVAL_S):
            await stop.wait()


def _is_writable(folder: Path, files: FileSystem) -> bool:
    """Return whether a file can be written and synced."""
    path = folder / PROBE_NAME
    try:
        # A first start may have failed before the folder existed.
        files.make_folder(folder)
        file = files.append(path)
        try:
            file.write(bytes(PROBE_BYTES))
            file.sync()
        finally:
            file.close()
            files.remove(path)
    except OSError:
        return False
    return True
