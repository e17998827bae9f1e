"""Tests of the durable log and snapshot."""

from __future__ import annotations

import errno
from pathlib import Path
from random import Random

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
from shallotmux.storage import GroupStore, export_backup, import_backup
from shallotmux.storage._records import CorruptRecord, pack_record, scan_records
from tests.storage._memory import MemoryFileSystem

FOLDER = Path('group')
MEMBERS = Configuration(frozenset(('v1',)))


def entry(index: int, term: int = 1, size: int = 10) -> Entry:
    return Entry(index, term, EntryKind.COMMAND, bytes([index % 250 + 1]) * size)


def opened(files: MemoryFileSystem) -> tuple[GroupStore, StoredGroup | None]:
    files.locked = False
    store = GroupStore(FOLDER, files)
    return store, store.load()


def filled(files: MemoryFileSystem) -> GroupStore:
    store, _ = opened(files)
    store.save(Effects(HardState(1, 'v1'), (entry(1), entry(2))))
    store.save(Effects(None, (entry(3),)))
    return store


def test_local_files_survive_reopening(tmp_path: Path) -> None:
    """Guards against state that a restart loses, and against two processes in one folder."""
    store = GroupStore(tmp_path / 'group')
    assert store.load() is None
    store.save(Effects(HardState(1, 'v1'), (entry(1), entry(2))))
    store.save(Effects(HardState(2), (entry(2, term=2),)))
    with pytest.raises(StorageError):
        GroupStore(tmp_path / 'group').load()
    store.close()
    expected = StoredGroup(HardState(2), (entry(1), entry(2, term=2)))
    assert GroupStore(tmp_path / 'group').load() == expected


def test_torn_tail_is_cut() -> None:
    """Guards against a restart that fails, or reads half a record, after a crash in a write."""
    files = MemoryFileSystem()
    filled(files)
    whole = files.visible[FOLDER / 'log'].content
    for size in range(len(whole) - 1, len(whole) - 30, -1):
        files.visible[FOLDER / 'log'].content = whole[:size]
        store, stored = opened(files)
        assert stored == StoredGroup(HardState(1, 'v1'), (entry(1), entry(2)))
        store.save(Effects(None, (entry(3),)))
        assert files.visible[FOLDER / 'log'].content == whole


def test_damage_is_an_error_everywhere() -> None:
    """Guards against acknowledged records that a flipped bit silently drops."""
    files = MemoryFileSystem()
    filled(files)
    whole = files.visible[FOLDER / 'log'].content
    for offset, byte in enumerate(whole):
        content = bytearray(whole)
        content[offset] = byte ^ 4
        files.visible[FOLDER / 'log'].content = bytes(content)
        with pytest.raises(StorageError, match='log'):
            opened(files)


def test_missing_log_beside_snapshot_is_an_error() -> None:
    """Guards against a group that restarts without the vote and the entries it had."""
    files = MemoryFileSystem()
    filled(files).save(Effects(snapshot=Snapshot(2, 1, MEMBERS, b's')))
    files.remove(FOLDER / 'log')
    with pytest.raises(StorageError, match='missing beside a snapshot'):
        opened(files)


@pytest.mark.parametrize(('fail_at', 'step'), ((1, 'write'), (2, 'sync')))
def test_failed_write_refuses_further_writes(fail_at: int, step: str) -> None:
    """Guards against an acknowledgement after a sync that failed and dropped dirty pages."""
    files = MemoryFileSystem()
    store = filled(files)
    files.error = errno.ENOSPC
    files.fail_at = files.operations + fail_at
    with pytest.raises(StorageError, match=f'group/log.*step={step}'):
        store.save(Effects(None, (entry(4),)))
    with pytest.raises(StorageError, match='after a failure'):
        store.save(Effects(None, (entry(4),)))


def test_snapshot_truncates_log() -> None:
    """Guards against a log that grows without bound, and entries lost after the snapshot."""
    files = MemoryFileSystem()
    store = filled(files)
    snapshot = Snapshot(2, 1, MEMBERS, b'state')
    before = len(files.visible[FOLDER / 'log'].content)
    store.save(Effects(snapshot=snapshot, entries=(entry(4),)))
    assert len(files.visible[FOLDER / 'log'].content) < before
    expected = StoredGroup(HardState(1, 'v1'), (entry(3), entry(4)), snapshot)
    assert opened(files)[1] == expected


def test_leader_snapshot_drops_contradicting_entries() -> None:
    """Guards against entries of a deposed leader that survive a newer snapshot."""
    files = MemoryFileSystem()
    snapshot = Snapshot(2, 2, MEMBERS, b'state')
    filled(files).save(Effects(HardState(2), (), snapshot))
    assert opened(files)[1] == StoredGroup(HardState(2), (), snapshot)


def test_crash_between_snapshot_and_log_keeps_later_entries() -> None:
    """Guards against entries lost that follow a snapshot which contradicts the old log."""
    files = MemoryFileSystem()
    store = filled(files)
    files.fail_at = files.operations + 6
    snapshot = Snapshot(2, 2, MEMBERS, b'state')
    with pytest.raises(StorageError, match='log.new'):
        store.save(Effects(snapshot=snapshot))
    files.crash(Random(1))
    store, _ = opened(files)
    store.save(Effects(None, (entry(3, term=2),)))
    assert opened(files)[1] == StoredGroup(HardState(1, 'v1'), (entry(3, term=2),), snapshot)


def test_unwritten_block_before_a_whole_record_is_an_error() -> None:
    """Guards against acknowledged records cut off with a block that the disk lost."""
    first = pack_record(0, b'x' * 2000)
    second = pack_record(1, b'y')
    damaged = first[:512] + bytes(512) + first[1024:]
    assert scan_records(damaged).size == 0
    with pytest.raises(CorruptRecord, match='before a whole one'):
        scan_records(damaged + second)


def random_effects(random: Random, model: StoredGroup) -> Effects:
    last = model.entries[-1].index if model.entries else _base(model)
    term = model.hard_state.term + random.randint(0, 1)
    first = random.randint(_base(model) + 1, last + 1)
    count = random.randint(0, 3)
    added = tuple(
        entry(index, term, random.choice((5, 1500))) for index in range(first, first + count)
    )
    snapshot = None
    if model.entries and random.randint(0, 4) == 0:
        covered = random.choice(model.entries)
        if not added or covered.index < added[0].index:
            snapshot = Snapshot(covered.index, covered.term, MEMBERS, b's' * 700)
    return Effects(HardState(term, 'v1'), added, snapshot)


def _base(model: StoredGroup) -> int:
    return model.snapshot.index if model.snapshot else 0


def after(model: StoredGroup, effects: Effects) -> StoredGroup:
    snapshot = effects.snapshot or model.snapshot
    base = snapshot.index if snapshot else 0
    first = effects.entries[0].index if effects.entries else 1 << 30
    kept = [each for each in model.entries if base < each.index < first]
    return StoredGroup(effects.hard_state or HardState(0), (*kept, *effects.entries), snapshot)


def between(old: StoredGroup, new: StoredGroup, found: StoredGroup) -> bool:
    """Return whether a crash within a save may leave this: no step out of order."""
    if found == old:
        return True
    covered = new.snapshot.index if new.snapshot else 0
    kept = tuple(each for each in old.entries if each.index > covered)
    return found in {
        new,
        StoredGroup(new.hard_state, old.entries, old.snapshot),
        StoredGroup(new.hard_state, kept, new.snapshot),
    }


@pytest.mark.parametrize('seed', range(300))
def test_crash_at_any_operation_keeps_acknowledged_writes(seed: int) -> None:
    """Guards against acknowledged writes lost, or a store that cannot open, after a crash."""
    random = Random(seed)
    files = MemoryFileSystem()
    store, _ = opened(files)
    model = StoredGroup()
    store.save(Effects(HardState(0)))
    for _ in range(30):
        effects = random_effects(random, model)
        new = after(model, effects)
        files.fail_at = files.operations + random.randint(1, 20)
        try:
            store.save(effects)
        except StorageError:
            files.fail_at = -1
            files.crash(random)
            store, found = opened(files)
            assert found is not None
            assert between(model, new, found)
            new = found
        model = new


def test_backup_is_verified_before_use() -> None:
    """Guards against a damaged backup that starts a group, or one that replaces a group."""
    files = MemoryFileSystem()
    filled(files)
    backup = Path('backup')
    stored = export_backup(FOLDER, backup, files)
    with pytest.raises(StorageError, match='holds a group already'):
        import_backup(backup, FOLDER, files)
    assert import_backup(backup, Path('other'), files) == stored
    files.visible[backup].content = files.visible[backup].content[:-1]
    with pytest.raises(StorageError, match='backup'):
        import_backup(backup, Path('third'), files)
