"""Store of one group's durable state on disk, and its counterpart for instances without a disk."""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path
from typing import Protocol

import msgspec

from shallotmux.errors import StorageError
from shallotmux.replication import Effects, Entry, HardState, Snapshot, StoredGroup
from shallotmux.storage._filesystem import (
    AppendFile,
    FileSystem,
    LocalFileSystem,
    close_file,
)
from shallotmux.storage._reading import (
    LOG_NAME,
    SNAPSHOT_NAME,
    Batch,
    LogStart,
    entries_after_snapshot,
    read_group,
)
from shallotmux.storage._records import pack_record

LOCK_NAME = 'lock'
TEMPORARY_SUFFIX = '.new'


class Store(Protocol):
    """Stores the durable state of a replica."""

    def load(self) -> StoredGroup | None:
        """Return the stored state, or None for a new member."""

    def save(self, effects: Effects) -> None:
        """Make hard state, snapshot and entries durable."""

    def close(self) -> None:
        """Release the files."""


class VolatileStore:
    """Store that keeps nothing, for an instance without a disk.

    Such an instance restarts as a new member under a new identity.
    """

    def load(self) -> StoredGroup | None:
        """Return None, as no state survives the process."""

    def save(self, effects: Effects) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class GroupStore:
    """Log and snapshot of one group in a folder that only one process may use.

    A write is durable when :meth:`save` returns. After a failure the state on disk is unknown,
    since a failed sync may drop dirty pages, so the store refuses all further writes.

    :param folder: folder of the group; created if needed.
    """

    def __init__(self, folder: Path, filesystem: FileSystem | None = None) -> None:
        self._folder = folder
        self._files = filesystem or LocalFileSystem()
        self._lock: AppendFile | None = None
        self._log: AppendFile | None = None
        self._failure = ''
        self._sequence = 0
        self._start = LogStart(0, 0)
        self._hard_state = HardState(0)
        self._entries: list[Entry] = []

    def load(self) -> StoredGroup | None:
        """Lock the folder and return the stored state, or None if there is none.

        A torn tail of the log is truncated, since its write was never acknowledged. What is returned
        is durable: a process that was killed, or whose sync failed, may have left it in memory only.

        :raises StorageError: if a file is damaged, or another process uses the folder. The folder
            is unlocked again, so that this process can load it later.
        """
        with ExitStack() as on_failure:
            on_failure.callback(self.close)
            try:
                stored = self._open()
            except OSError as error:
                raise self._record_failure(self._folder, 'open', error) from error
            on_failure.pop_all()
        return stored

    def initialize(self, stored: StoredGroup) -> None:
        """Store the initial state of a group in an empty folder, after :meth:`load`.

        :raises StorageError: if the folder holds a group already.
        """
        if self._log is not None:
            raise StorageError(f'{self._folder}: holds a group already', step='initialize')
        self.save(Effects(stored.hard_state, stored.entries, stored.snapshot))

    def save(self, effects: Effects) -> None:
        """Make hard state, snapshot and entries durable.

        :raises StorageError: with the file and the step that failed.
        """
        if self._failure or self._lock is None:
            raise StorageError(f'{self._folder}: closed {self._failure}'.strip(), step='save')
        if effects.snapshot is not None:
            self._save_snapshot(effects.snapshot, effects)
        elif effects.hard_state is not None or effects.entries:
            self._save_batch(effects)

    def close(self) -> None:
        """Release the folder; further writes are refused."""
        for file in (self._log, self._lock):
            if file is not None:
                close_file(file)
        self._log = None
        self._lock = None

    def _open(self) -> StoredGroup | None:
        self._files.make_folder(self._folder)
        self._lock = self._files.lock(self._folder / LOCK_NAME)
        for name in (LOG_NAME, SNAPSHOT_NAME):
            self._files.remove(self._folder / f'{name}{TEMPORARY_SUFFIX}')
        path = self._folder / LOG_NAME
        group_files = read_group(self._folder, self._files)
        if group_files is None:
            return None
        if group_files.has_torn_tail:
            self._files.truncate(path, group_files.log_size)
        self._log = self._files.append(path)
        self._sequence = group_files.next_sequence
        self._set_state(group_files.stored)
        if self._start == group_files.start:
            # Each record is synced before the next, so only the last one may not be durable. The
            # rename of the log or of the snapshot may not be either.
            self._files.rewrite_tail(path, group_files.last_record_start)
            self._files.sync_folder(self._folder)
        else:
            self._rewrite_log()
        return group_files.stored

    def _set_state(self, stored: StoredGroup) -> None:
        self._start = _log_start_after(stored.snapshot)
        self._hard_state = stored.hard_state
        self._entries = list(stored.entries)

    def _save_snapshot(self, snapshot: Snapshot, effects: Effects) -> None:
        """Store the snapshot, then the log without the entries that it covers.

        The hard state is written first, so that its term is never older than the snapshot's. After
        a crash in between, reading skips the entries that the snapshot covers.
        """
        if effects.hard_state is not None:
            self._save_batch(Effects(effects.hard_state))
        self._write_file(SNAPSHOT_NAME, pack_record(0, msgspec.msgpack.encode(snapshot)))
        retained = entries_after_snapshot(tuple(self._entries), self._start, snapshot)
        self._start = _log_start_after(snapshot)
        self._entries = list(retained)
        self._append_entries(effects.entries)
        self._rewrite_log()

    def _save_batch(self, effects: Effects) -> None:
        self._hard_state = effects.hard_state or self._hard_state
        self._append_entries(effects.entries)
        if self._log is None:
            self._rewrite_log()
            return
        batch = Batch(None, effects.hard_state, effects.entries)
        record = pack_record(self._sequence, msgspec.msgpack.encode(batch))
        self._write(self._folder / LOG_NAME, self._log, record)
        self._sequence += 1

    def _append_entries(self, entries: tuple[Entry, ...]) -> None:
        new_entries = [entry for entry in entries if entry.index > self._start.index]
        if new_entries:
            retained = new_entries[0].index - self._start.index - 1
            if retained > len(self._entries):
                self._failure = 'after a gap in the log'
                raise StorageError(
                    f'{self._folder}: entry {new_entries[0].index} does not follow', step='save'
                )
            del self._entries[retained:]
            self._entries.extend(new_entries)

    def _rewrite_log(self) -> None:
        """Replace the log by one that starts after the current snapshot."""
        batch = Batch(self._start, self._hard_state, tuple(self._entries))
        self._write_file(LOG_NAME, pack_record(0, msgspec.msgpack.encode(batch)))
        path = self._folder / LOG_NAME
        try:
            if self._log is not None:
                close_file(self._log)
            self._log = self._files.append(path)
        except OSError as error:
            raise self._record_failure(path, 'open', error) from error
        self._sequence = 1

    def _write_file(self, name: str, content: bytes) -> None:
        """Replace a file durably and atomically, by renaming a temporary one."""
        target = self._folder / name
        temporary = self._folder / f'{name}{TEMPORARY_SUFFIX}'
        try:
            file = self._files.append(temporary)
        except OSError as error:
            raise self._record_failure(temporary, 'create', error) from error
        try:
            self._write(temporary, file, content)
        finally:
            close_file(file)
        try:
            self._files.replace(temporary, target)
            self._files.sync_folder(self._folder)
        except OSError as error:
            raise self._record_failure(target, 'rename', error) from error

    def _write(self, path: Path, file: AppendFile, content: bytes) -> None:
        step = 'write'
        try:
            file.write(content)
            step = 'sync'
            file.sync()
        except OSError as error:
            raise self._record_failure(path, step, error, len(content)) from error

    def _record_failure(self, path: Path, step: str, error: OSError, size: int = 0) -> StorageError:
        self._failure = f'after a failure: {path}: {error}'
        return StorageError(f'{path}: {error}', step=step, size=size)


def _log_start_after(snapshot: Snapshot | None) -> LogStart:
    return LogStart(0, 0) if snapshot is None else LogStart(snapshot.index, snapshot.term)
