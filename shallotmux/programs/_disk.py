"""Outlive a disk that takes no writes for a while."""

from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio
from eliot import log_message

from shallotmux.errors import StorageError
from shallotmux.storage import FileSystem, LocalFileSystem

#: Errors of a disk that may pass: full, over a quota, or refusing writes.
PASSING_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EIO))

#: Interval at which a disk is tried.
TRY_S = 0.5

#: Size of what is written to try a disk; a log entry with a document needs about as much.
TRIAL_BYTES = 65_536
TRIAL_NAME = 'trial'


async def run_on_disk(
    folder: Path, run: Callable[[], Awaitable[None]], files: FileSystem | None = None
) -> None:
    """Run what needs a disk, again from the disk's content after it refused a write.

    After a refused write the state in memory is ahead of the disk, so all of it is built anew, as
    after a restart of the process.

    :raises StorageError: if the error is not one that passes, such as a damaged file.
    """
    while True:
        try:
            await run()
        except* StorageError as group:
            if not _is_passing(group):
                raise
            log_message(message_type='shallotmux:disk-refused', level='error', error=repr(group))
        else:
            return
        await _wait_for_disk(folder, files or LocalFileSystem())
        log_message(message_type='shallotmux:disk-regained')


def _is_passing(group: BaseExceptionGroup[StorageError]) -> bool:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            if not _is_passing(error):
                return False
        elif (
            not isinstance(error.__cause__, OSError) or error.__cause__.errno not in PASSING_ERRORS
        ):
            return False
    return True


async def _wait_for_disk(folder: Path, files: FileSystem) -> None:
    while not await trio.to_thread.run_sync(_takes_writes, folder, files):
        await trio.sleep(TRY_S)


def _takes_writes(folder: Path, files: FileSystem) -> bool:
    """Return whether a file can be written and made durable."""
    path = folder / TRIAL_NAME
    try:
        file = files.append(path)
        try:
            file.write(bytes(TRIAL_BYTES))
            file.sync()
        finally:
            file.close()
            files.remove(path)
    except OSError:
        return False
    return True
