"""Tests of the memory that reading a log takes, whatever its size."""

from __future__ import annotations

import tracemalloc
from pathlib import Path

import pytest

from shallotmux.replication import Configuration, Effects, Entry, EntryKind, HardState, Snapshot
from shallotmux.storage import GroupStore

RECORDS = 64
RECORD_BYTES = 256 << 10
LOG_BYTES = RECORDS * RECORD_BYTES

#: Memory beside the entries: a few copies of one record, and the reader's buffers.
ALLOWED_BYTES = 4 * RECORD_BYTES


def make_entry(index: int) -> Entry:
    return Entry(index, 1, EntryKind.COMMAND, bytes([index]) * RECORD_BYTES)


def fill_store(folder: Path) -> None:
    store = GroupStore(folder)
    store.load()
    store.save(Effects(HardState(1)))
    for index in range(1, RECORDS + 1):
        store.save(Effects(entries=(make_entry(index),)))
    store.close()


def measure_load(folder: Path) -> tuple[int, int]:
    """Return the number of entries read, and the peak memory of reading them in bytes."""
    store = GroupStore(folder)
    tracemalloc.start()
    try:
        stored = store.load()
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        store.close()
    assert stored is not None
    return len(stored.entries), peak


def test_reading_a_log_holds_one_copy_of_it(tmp_path: Path) -> None:
    """Guards against a process that needs a multiple of its log's size in memory to start."""
    fill_store(tmp_path)
    entries, peak = measure_load(tmp_path)
    assert entries == RECORDS
    assert peak < LOG_BYTES + ALLOWED_BYTES


@pytest.mark.parametrize('torn_bytes', (1, 20, RECORD_BYTES // 2, RECORD_BYTES))
def test_reading_a_log_with_a_torn_tail_holds_one_copy_of_it(
    tmp_path: Path, torn_bytes: int
) -> None:
    """Guards against a check of the torn tail that reads the log into memory once more."""
    fill_store(tmp_path)
    path = tmp_path / 'log'
    with path.open('r+b') as file:
        file.truncate(path.stat().st_size - torn_bytes)
    entries, peak = measure_load(tmp_path)
    assert entries == RECORDS - 1
    assert peak < LOG_BYTES + ALLOWED_BYTES


def test_log_is_empty_after_a_snapshot_of_all_entries(tmp_path: Path) -> None:
    """Guards against entries that stay on the disk after a snapshot has replaced them."""
    fill_store(tmp_path)
    store = GroupStore(tmp_path)
    store.load()
    store.save(Effects(snapshot=Snapshot(RECORDS, 1, Configuration(frozenset()), b'state')))
    store.close()
    assert (tmp_path / 'log').stat().st_size < RECORD_BYTES
