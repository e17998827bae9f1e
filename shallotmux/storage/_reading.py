"""Reads and validates the log and the snapshot of a group."""

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
    :param next_sequence: sequence number of the next record of the log.
    :param has_torn_tail: whether an incompletely written record follows the complete ones.
    """

    stored: StoredGroup
    start: LogStart
    log_size: int
    next_sequence: int
    has_torn_tail: bool


def read_group(folder: Path, files: FileSystem) -> GroupFiles | None:
    """Return the state of the group in a folder, or None if the folder holds none.

    :raises StorageError: if a file is damaged or missing.
    """
    snapshot = read_snapshot(folder / SNAPSHOT_NAME, files)
    path = folder / LOG_NAME
    content = read_file(path, files)
    if content is None:
        return None if snapshot is None else _raise_error(path, 'missing, but there is a snapshot')
    scan = _scan_file(path, content)
    if not scan.payloads:
        # The file is renamed into place with its first record, so this one cannot be torn.
        return _raise_error(path, 'no complete record')
    batches = [decode_record(path, payload, Batch) for payload in scan.payloads]
    start = batches[0].start or _raise_error(path, 'no start record')
    stored = _replay(path, start, batches, snapshot)
    return GroupFiles(stored, start, scan.size, len(batches), scan.size < len(content))


def read_snapshot(path: Path, files: FileSystem) -> Snapshot | None:
    """Return the snapshot in a file, or None if there is no file.

    :raises StorageError: if the file is damaged.
    """
    return read_single_record(path, files, Snapshot)


def read_single_record(path: Path, files: FileSystem, kind: type[_Record]) -> _Record | None:
    """Return the only record of a file, or None if there is no file.

    :raises StorageError: if the file does not hold exactly one complete record.
    """
    content = read_file(path, files)
    if content is None:
        return None
    scan = _scan_file(path, content)
    if len(scan.payloads) != 1 or scan.size != len(content):
        return _raise_error(path, 'damaged')
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


def _scan_file(path: Path, content: bytes) -> Scan:
    try:
        return scan_records(content)
    except CorruptRecord as error:
        raise StorageError(f'{path}: {error}', step='read') from error


def _replay(
    path: Path, start: LogStart, batches: list[Batch], snapshot: Snapshot | None
) -> StoredGroup:
    if start.index > (snapshot.index if snapshot else 0):
        return _raise_error(path, f'starts after index {start.index}, which no snapshot covers')
    hard_state = HardState(0)
    entries: list[Entry] = []
    for batch in batches:
        hard_state = batch.hard_state or hard_state
        if batch.entries:
            retained = batch.entries[0].index - start.index - 1
            if not 0 <= retained <= len(entries):
                return _raise_error(path, f'entry {batch.entries[0].index} does not follow the log')
            del entries[retained:]
            entries.extend(batch.entries)
    return StoredGroup(
        hard_state, entries_after_snapshot(tuple(entries), start, snapshot), snapshot
    )


def _raise_error(path: Path, reason: str) -> NoReturn:
    raise StorageError(f'{path}: {reason}', step='read')
