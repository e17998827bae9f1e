"""Read the files of a group."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import NoReturn, TypeVar

import msgspec

from shallotmux.errors import StorageError
from shallotmux.replication import Entry, HardState, Snapshot, StoredGroup
from shallotmux.storage._filesystem import FileSystem
from shallotmux.storage._records import CorruptRecord, Scan, scan_records

LOG_NAME = 'log'
SNAPSHOT_NAME = 'snapshot'

_Record = TypeVar('_Record')


class LogStart(msgspec.Struct, frozen=True):
    """Position that the log follows: that of the snapshot when the log was last rewritten."""

    index: int
    term: int


class Batch(msgspec.Struct, frozen=True):
    """What one write adds to the log; it is torn or whole as one.

    Entries follow after truncating the log from the first one's index.
    """

    start: LogStart | None = None
    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class GroupFiles:
    """What the files of a group hold.

    :param start: position that the log follows.
    :param log_size: bytes of the whole records in the log.
    :param next_sequence: sequence number of the next record of the log.
    :param is_torn: whether a torn tail follows the whole records.
    """

    stored: StoredGroup
    start: LogStart
    log_size: int
    next_sequence: int
    is_torn: bool


def read_group(folder: Path, files: FileSystem) -> GroupFiles | None:
    """Return what a folder holds of a group, or None if it holds nothing.

    :raises StorageError: if a file is damaged or missing.
    """
    snapshot = read_snapshot(folder / SNAPSHOT_NAME, files)
    path = folder / LOG_NAME
    content = read_file(path, files)
    if content is None:
        return None if snapshot is None else _fail(path, 'missing beside a snapshot')
    scan = _scan(path, content)
    if not scan.payloads:
        # The file is renamed into place with its first record, so that one cannot be torn.
        return _fail(path, 'no whole record')
    batches = [decode_record(path, payload, Batch) for payload in scan.payloads]
    start = batches[0].start or _fail(path, 'no start record')
    stored = _replay(path, start, batches, snapshot)
    return GroupFiles(stored, start, scan.size, len(batches), scan.size < len(content))


def read_snapshot(path: Path, files: FileSystem) -> Snapshot | None:
    """Return the snapshot in a file, or None if there is no file.

    :raises StorageError: if the file is damaged.
    """
    return read_single(path, files, Snapshot)


def read_single(path: Path, files: FileSystem, kind: type[_Record]) -> _Record | None:
    """Return the only record of a file, or None if there is no file.

    :raises StorageError: if the file does not hold exactly one whole record.
    """
    content = read_file(path, files)
    if content is None:
        return None
    scan = _scan(path, content)
    if len(scan.payloads) != 1 or scan.size != len(content):
        return _fail(path, 'damaged')
    return decode_record(path, scan.payloads[0], kind)


def read_file(path: Path, files: FileSystem) -> bytes | None:
    """Return the content of a file, or None if it does not exist.

    :raises StorageError: if it cannot be read.
    """
    try:
        return files.read(path)
    except OSError as error:
        raise StorageError(f'{path}: {error}', step='read') from error


def decode_record(path: Path, payload: bytes, kind: type[_Record]) -> _Record:
    """Return the content of a record.

    :raises StorageError: if the payload does not fit, for example written by another version.
    """
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except msgspec.DecodeError as error:
        raise StorageError(f'{path}: {error}', step='read') from error


def keep_following(
    entries: tuple[Entry, ...], start: LogStart, snapshot: Snapshot | None
) -> tuple[Entry, ...]:
    """Return the entries that remain valid after a snapshot.

    They remain if the log agrees with the snapshot at its index; otherwise the snapshot came from
    a leader whose log contradicts them.
    """
    if snapshot is None:
        return entries
    terms = {start.index: start.term, **{entry.index: entry.term for entry in entries}}
    if terms.get(snapshot.index) != snapshot.term:
        return ()
    return tuple(entry for entry in entries if entry.index > snapshot.index)


def _scan(path: Path, content: bytes) -> Scan:
    try:
        return scan_records(content)
    except CorruptRecord as error:
        raise StorageError(f'{path}: {error}', step='read') from error


def _replay(
    path: Path, start: LogStart, batches: list[Batch], snapshot: Snapshot | None
) -> StoredGroup:
    if start.index > (snapshot.index if snapshot else 0):
        return _fail(path, f'starts after index {start.index}, which no snapshot covers')
    hard_state = HardState(0)
    entries: list[Entry] = []
    for batch in batches:
        hard_state = batch.hard_state or hard_state
        if batch.entries:
            kept = batch.entries[0].index - start.index - 1
            if not 0 <= kept <= len(entries):
                return _fail(path, f'entry {batch.entries[0].index} does not follow the log')
            del entries[kept:]
            entries.extend(batch.entries)
    return StoredGroup(hard_state, keep_following(tuple(entries), start, snapshot), snapshot)


def _fail(path: Path, reason: str) -> NoReturn:
    raise StorageError(f'{path}: {reason}', step='read')
