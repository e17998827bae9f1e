"""Reads and validates the log and the snapshot of a group."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import NoReturn, TypeVar

import msgspec

from shallotmux.errors import StorageError
from shallotmux.replication import Entry, HardState, Snapshot, StoredGroup
from shallotmux.storage._filesystem import FileSystem
from shallotmux.storage._records import CorruptRecord, RecordReader

LOG_NAME = 'log'
SNAPSHOT_NAME = 'snapshot'

_Record = TypeVar('_Record')


class LogStart(msgspec.Struct, frozen=True):
    """Position before the first entry of the log.

    It is the position of the snapshot at the time the log was last rewritten.
    """

    index: int
    term: int


class Batch(msgspec.Struct, frozen=True):
    """Content of one log record, which is written atomically: a torn one is discarded entirely.

    On reading, the entries replace all earlier ones from the first one's index on.
    """

    start: LogStart | None = None
    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class GroupFiles:
    """State read from the files of a group.

    :param start: position before the first entry of the log.
    :param log_size: size of the complete records of the log in bytes.
    :param last_record_start: offset of the last complete record.
    :param next_sequence: sequence number of the next record of the log.
    :param has_torn_tail: whether an incompletely written record follows the complete ones.
    """

    stored: StoredGroup
    start: LogStart
    log_size: int
    last_record_start: int
    next_sequence: int
    has_torn_tail: bool


def read_group(folder: Path, files: FileSystem) -> GroupFiles | None:
    """Return the state of the group in a folder, or None if the folder holds none.

    The log is decoded one record at a time, since it may be larger than the memory left.

    :raises StorageError: if a file is damaged or missing.
    """
    snapshot = read_snapshot(folder / SNAPSHOT_NAME, files)
    path = folder / LOG_NAME
    with _open_records(path, files) as reader:
        if reader is None:
            return (
                None if snapshot is None else _raise_error(path, 'missing, but there is a snapshot')
            )
        replay = _Replay(path, snapshot)
        for payload in reader:
            replay.add(decode_record(path, payload, Batch))
        if not reader.count:
            # The file is renamed into place with its first record, so this one cannot be torn.
            return _raise_error(path, 'no complete record')
        return GroupFiles(
            replay.stored(),
            replay.start,
            reader.size,
            reader.last_start,
            reader.count,
            reader.has_torn_tail,
        )


def read_snapshot(path: Path, files: FileSystem) -> Snapshot | None:
    """Return the snapshot in a file, or None if there is no file.

    :raises StorageError: if the file is damaged.
    """
    return read_single_record(path, files, Snapshot)


def read_single_record(path: Path, files: FileSystem, kind: type[_Record]) -> _Record | None:
    """Return the only record of a file, or None if there is no file.

    :raises StorageError: if the file does not hold exactly one complete record.
    """
    with _open_records(path, files) as reader:
        if reader is None:
            return None
        records = [decode_record(path, payload, kind) for payload in reader]
        if len(records) != 1 or reader.has_torn_tail:
            return _raise_error(path, 'damaged')
        return records[0]


@contextmanager
def _open_records(path: Path, files: FileSystem) -> Iterator[RecordReader | None]:
    """Open a file of records for reading; None stands for a file that does not exist.

    :raises StorageError: if the file is damaged or cannot be read.
    """
    try:
        file = files.open_for_reading(path)
        if file is None:
            yield None
            return
        try:
            yield RecordReader(file)
        finally:
            file.close()
    except (OSError, CorruptRecord) as error:
        raise StorageError(f'{path}: {error}', step='read') from error


def decode_record(path: Path, payload: bytes, kind: type[_Record]) -> _Record:
    """Return the decoded payload of a record.

    :raises StorageError: if the payload has another structure, for example that of another version.
    """
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except msgspec.DecodeError as error:
        raise StorageError(f'{path}: {error}', step='read') from error


def entries_after_snapshot(
    entries: tuple[Entry, ...], start: LogStart, snapshot: Snapshot | None
) -> tuple[Entry, ...]:
    """Return the entries that remain valid after a snapshot.

    Entries after the snapshot remain valid if the log has the snapshot's term at its index.
    Otherwise the snapshot came from a leader whose log conflicts with them.
    """
    if snapshot is None:
        return entries
    terms = {start.index: start.term, **{entry.index: entry.term for entry in entries}}
    if terms.get(snapshot.index) != snapshot.term:
        return ()
    return tuple(entry for entry in entries if entry.index > snapshot.index)


class _Replay:
    """State after the records of a log."""

    def __init__(self, path: Path, snapshot: Snapshot | None) -> None:
        self._path = path
        self._snapshot = snapshot
        self._start: LogStart | None = None
        self._hard_state = HardState(0)
        self._entries: list[Entry] = []

    @property
    def start(self) -> LogStart:
        """Return the position before the first entry."""
        return self._start or _raise_error(self._path, 'no start record')

    def add(self, batch: Batch) -> None:
        """Apply the next record; the first one holds the start of the log."""
        if self._start is None:
            self._start = batch.start
            self._check_start()
        self._hard_state = batch.hard_state or self._hard_state
        if batch.entries:
            retained = batch.entries[0].index - self.start.index - 1
            if not 0 <= retained <= len(self._entries):
                first = batch.entries[0].index
                _raise_error(self._path, f'entry {first} does not follow the log')
            del self._entries[retained:]
            self._entries.extend(batch.entries)

    def stored(self) -> StoredGroup:
        """Return the state after the last record."""
        entries = entries_after_snapshot(tuple(self._entries), self.start, self._snapshot)
        return StoredGroup(self._hard_state, entries, self._snapshot)

    def _check_start(self) -> None:
        if self.start.index > (self._snapshot.index if self._snapshot else 0):
            reason = f'starts after index {self.start.index}, which no snapshot covers'
            _raise_error(self._path, reason)


def _raise_error(path: Path, reason: str) -> NoReturn:
    raise StorageError(f'{path}: {reason}', step='read')
