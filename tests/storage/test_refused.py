"""Tests of a store on a disk that refuses operations for a time."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from shallotmux.errors import StorageError
from shallotmux.replication import (
    Configuration,
    Effects,
    Entry,
    EntryKind,
    HardState,
    Snapshot,
    StoredGroup,
)
from shallotmux.storage import GroupStore
from tests.storage._refusing import RefusingFileSystem

FIRST = Entry(1, 1, EntryKind.COMMAND, b'first')
SECOND = Entry(2, 1, EntryKind.COMMAND, b'second')
STORED = StoredGroup(HardState(1), (FIRST,))
SNAPSHOT = Snapshot(1, 1, Configuration(frozenset(('v1',))), b'state')


def fill_store(folder: Path, files: RefusingFileSystem) -> GroupStore:
    """Return a store with one entry."""
    store = GroupStore(folder, files)
    store.load()
    store.save(Effects(STORED.hard_state, STORED.entries))
    return store


def load_again(folder: Path, files: RefusingFileSystem) -> StoredGroup | None:
    """Load the store as a restarted program in the same process does."""
    store = GroupStore(folder, files)
    try:
        return store.load()
    finally:
        store.close()


def test_folder_is_unlocked_after_a_torn_tail_that_cannot_be_truncated(tmp_path: Path) -> None:
    """Guards against a folder that stays locked for its own process after a refused truncation."""
    files = RefusingFileSystem()
    store = fill_store(tmp_path, files)
    files.state.fill('write', room=10)
    with pytest.raises(StorageError):
        store.save(Effects(None, (SECOND,)))
    store.close()
    files.state.fill('truncate', error=errno.EIO)
    with pytest.raises(StorageError, match='Input/output error'):
        GroupStore(tmp_path, files).load()
    files.state.clear()
    assert load_again(tmp_path, files) == STORED


def test_folder_is_unlocked_after_a_log_that_cannot_be_rewritten(tmp_path: Path) -> None:
    """Guards against a folder that stays locked after a full disk interrupted a snapshot."""
    files = RefusingFileSystem()
    store = fill_store(tmp_path, files)
    files.state.fill('write', after=1)
    with pytest.raises(StorageError, match=r'log\.new'):
        store.save(Effects(snapshot=SNAPSHOT))
    store.close()
    files.state.fill('write')
    with pytest.raises(StorageError, match='No space left'):
        GroupStore(tmp_path, files).load()
    files.state.clear()
    assert load_again(tmp_path, files) == StoredGroup(HardState(1), (), SNAPSHOT)


def test_error_of_close_does_not_hide_the_refused_write(tmp_path: Path) -> None:
    """Guards against a process that ends because closing a file fails after a refused write."""
    files = RefusingFileSystem()
    store = fill_store(tmp_path, files)
    files.state.fill('write', 'close')
    with pytest.raises(StorageError):
        store.save(Effects(None, (SECOND,)))
    store.close()
    files.state.clear()
    assert load_again(tmp_path, files) == STORED
