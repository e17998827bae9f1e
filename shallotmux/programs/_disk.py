"""Recover from a disk that temporarily rejects writes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import trio
from eliot import log_message

from shallotmux.errors import StorageError
from shallotmux.storage import FileSystem, LocalFileSystem, is_refusal

#: Interval between write probes of a disk.
PROBE_INTERVAL_S = 0.5

#: Size of a write probe, about that of a log entry with a document. A probe is as large as the write
#: that was refused, if that is more.
PROBE_BYTES = 65_536
PROBE_NAME = 'trial'

#: Bytes of a probe that are held in memory at once.
CHUNK_BYTES = 1 << 20

#: A disk that refuses writes again within this time of running is probed after a pause, which is
#: doubled each time up to the maximum: a probe may succeed although the program's own files cannot
#: be written, and each attempt disturbs the group. The maximum is short, as a member that waits
#: without need is missing when the disk of another one fails.
STEADY_RUN_S = 10.0
MAX_PAUSE_S = 2.0


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
    disk = _Disk(folder, files or LocalFileSystem(), stop)
    pause_s = 0.0
    while True:
        started_at = trio.current_time()
        try:
            await run()
        except* StorageError as group:
            errors = tuple(_flatten(group))
            if not all(map(is_refusal, errors)):
                raise
            disk.refused_bytes = max(PROBE_BYTES, *(each.size for each in errors))
            log_message(message_type='shallotmux:disk-refused', level='error', error=repr(group))
        else:
            return
        is_steady = trio.current_time() - started_at >= STEADY_RUN_S
        await disk.wait_until_writable(0 if is_steady else pause_s)
        pause_s = (
            PROBE_INTERVAL_S if is_steady else min(2 * pause_s or PROBE_INTERVAL_S, MAX_PAUSE_S)
        )
        if stop.is_set():
            return
        log_message(message_type='shallotmux:disk-regained')


def _flatten(group: BaseExceptionGroup[StorageError]) -> Iterator[StorageError]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flatten(error)
        else:
            yield error


class _Disk:
    """Disk that refused a write.

    :param stop: set once the disk is not waited for any more.
    """

    def __init__(self, folder: Path, files: FileSystem, stop: trio.Event) -> None:
        self.refused_bytes = PROBE_BYTES
        self._path = folder / PROBE_NAME
        self._files = files
        self._stop = stop

    async def wait_until_writable(self, pause_s: float) -> None:
        """Return when the disk accepts writes again, after a pause, or once asked to stop."""
        await self._pause(pause_s)
        while not self._stop.is_set():
            if await self._is_writable_or_stopped():
                return
            await self._pause(PROBE_INTERVAL_S)

    async def _is_writable_or_stopped(self) -> bool:
        """Probe the disk; a probe that hangs is abandoned once asked to stop."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_stopped, nursery.cancel_scope)
            is_writable = await trio.to_thread.run_sync(self._is_writable, abandon_on_cancel=True)
            nursery.cancel_scope.cancel()
            return is_writable
        return self._stop.is_set()

    async def _cancel_when_stopped(self, scope: trio.CancelScope) -> None:
        await self._stop.wait()
        scope.cancel()

    async def _pause(self, duration_s: float) -> None:
        with trio.move_on_after(duration_s):
            await self._stop.wait()

    def _is_writable(self) -> bool:
        """Return whether a file of the size of the refused write can be written and synced."""
        try:
            self._probe()
        except OSError:
            return False
        return True

    def _probe(self) -> None:
        # A first start may have failed before the folder existed, and a probe that was interrupted
        # may have left its file.
        self._files.make_folder(self._path.parent)
        self._files.remove(self._path)
        file = self._files.append(self._path)
        try:
            for start in range(0, self.refused_bytes, CHUNK_BYTES):
                file.write(bytes(min(CHUNK_BYTES, self.refused_bytes - start)))
            file.sync()
        finally:
            try:
                file.close()
            finally:
                self._files.remove(self._path)
