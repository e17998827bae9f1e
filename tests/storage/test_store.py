"""Tests of the durable log, the snapshot and the backup under damage and crashes."""

from __future__ import annotations

import errno
from io import BytesIO
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
from shallotmux.storage._records import CorruptRecord, RecordReader, pack_record
from tests.storage._memory import MemoryFileSystem

FOLDER = Path('group')
MEMBERS = Configuration(frozenset(('v1',)))


def make_entry(index: int, term: int = 1, size: int = 10) -> Entry:
    return Entry(index, term, EntryKind.COMMAND, bytes([index % 250 + 1]) * size)


def open_store(files: MemoryFileSystem) -> tuple[GroupStore, StoredGroup | None]:
    files.locked = False
    store = GroupStore(FOLDER, files)
    return store, store.load()


def make_filled_store(files: MemoryFileSystem) -> GroupStore:
    store, _ = open_store(files)
    store.save(Effects(HardState(1, 'v1'), (make_entry(1), make_entry(2))))
    store.save(Effects(None, (make_entry(3),)))
    return store


def test_local_files_survive_reopening(tmp_path: Path) -> None:
    """Guards against state lost by a restart, and against two processes using one folder."""
    store = GroupStore(tmp_path / 'group')
    assert store.load() is None
    store.save(Effects(HardState(1, 'v1'), (make_entry(1), make_entry(2))))
    store.save(Effects(HardState(2), (make_entry(2, term=2),)))
    with pytest.raises(StorageError):
        GroupStore(tmp_path / 'group').load()
    store.close()
    expected = StoredGroup(HardState(2), (make_entry(1), make_entry(2, term=2)))
    assert GroupStore(tmp_path / 'group').load() == expected


def test_torn_tail_is_truncated() -> None:
    """Guards against a restart that fails, or reads half a record, after a crash during a write."""
    files = MemoryFileSystem()
    make_filled_store(files)
    complete = files.visible[FOLDER / 'log'].content
    for size in range(len(complete) - 1, len(complete) - 30, -1):
        files.visible[FOLDER / 'log'].content = complete[:size]
        store, stored = open_store(files)
        assert stored == StoredGroup(HardState(1, 'v1'), (make_entry(1), make_entry(2)))
        store.save(Effects(None, (make_entry(3),)))
        assert files.visible[FOLDER / 'log'].content == complete


def test_flipped_bit_in_any_byte_is_an_error() -> None:
    """Guards against silently dropping acknowledged records because of a flipped bit."""
    files = MemoryFileSystem()
    make_filled_store(files)
    complete = files.visible[FOLDER / 'log'].content
    for offset, byte in enumerate(complete):
        content = bytearray(complete)
        content[offset] = byte ^ 4
        files.visible[FOLDER / 'log'].content = bytes(content)
        with pytest.raises(StorageError, match='log'):
            open_store(files)


def test_missing_log_with_snapshot_is_an_error() -> None:
    """Guards against a group that restarts without its vote and its entries."""
    files = MemoryFileSystem()
    make_filled_store(files).save(Effects(snapshot=Snapshot(2, 1, MEMBERS, b's')))
    files.remove(FOLDER / 'log')
    with pytest.raises(StorageError, match='missing, but there is a snapshot'):
        open_store(files)


@pytest.mark.parametrize(('fail_at', 'step'), ((1, 'write'), (2, 'sync')))
def test_failed_write_refuses_further_writes(fail_at: int, step: str) -> None:
    """Guards against acknowledging writes after a failed sync, which may drop dirty pages."""
    files = MemoryFileSystem()
    store = make_filled_store(files)
    files.error = errno.ENOSPC
    files.fail_at = files.operations + fail_at
    with pytest.raises(StorageError, match=f'group/log.*step={step}'):
        store.save(Effects(None, (make_entry(4),)))
    with pytest.raises(StorageError, match='after a failure'):
        store.save(Effects(None, (make_entry(4),)))


def test_snapshot_truncates_log() -> None:
    """Guards against a log that grows without bound, and against losing the later entries."""
    files = MemoryFileSystem()
    store = make_filled_store(files)
    snapshot = Snapshot(2, 1, MEMBERS, b'state')
    before = len(files.visible[FOLDER / 'log'].content)
    store.save(Effects(snapshot=snapshot, entries=(make_entry(4),)))
    assert len(files.visible[FOLDER / 'log'].content) < before
    expected = StoredGroup(HardState(1, 'v1'), (make_entry(3), make_entry(4)), snapshot)
    assert open_store(files)[1] == expected


def test_leader_snapshot_drops_conflicting_entries() -> None:
    """Guards against entries of a deposed leader that survive a newer snapshot."""
    files = MemoryFileSystem()
    snapshot = Snapshot(2, 2, MEMBERS, b'state')
    make_filled_store(files).save(Effects(HardState(2), (), snapshot))
    assert open_store(files)[1] == StoredGroup(HardState(2), (), snapshot)


def test_crash_between_snapshot_and_log_keeps_later_entries() -> None:
    """Guards against losing entries after a snapshot that conflicts with the old log.

    The crash happens after the snapshot is replaced and before the log is.
    """
    files = MemoryFileSystem()
    store = make_filled_store(files)
    files.fail_at = files.operations + 6
    snapshot = Snapshot(2, 2, MEMBERS, b'state')
    with pytest.raises(StorageError, match='log.new'):
        store.save(Effects(snapshot=snapshot))
    files.crash(Random(1))
    store, _ = open_store(files)
    store.save(Effects(None, (make_entry(3, term=2),)))
    assert open_store(files)[1] == StoredGroup(
        HardState(1, 'v1'), (make_entry(3, term=2),), snapshot
    )


def test_unwritten_block_before_a_complete_record_is_an_error() -> None:
    """Guards against truncating acknowledged records because of a lost block before them."""
    first = pack_record(0, b'x' * 2000)
    second = pack_record(1, b'y')
    damaged = first[:512] + bytes(512) + first[1024:]
    reader = RecordReader(BytesIO(damaged))
    assert not list(reader)
    assert reader.size == 0
    with pytest.raises(CorruptRecord, match='before a complete one'):
        list(RecordReader(BytesIO(damaged + second)))


def random_effects(random: Random, model: StoredGroup) -> Effects:
    last = model.entries[-1].index if model.entries else get_snapshot_index(model)
    term = model.hard_state.term + random.randint(0, 1)
    first = random.randint(get_snapshot_index(model) + 1, last + 1)
    count = random.randint(0, 3)
    new_entries = tuple(
        make_entry(index, term, random.choice((5, 1500))) for index in range(first, first + count)
    )
    snapshot = None
    if model.entries and random.randint(0, 4) == 0:
        covered = random.choice(model.entries)
        if not new_entries or covered.index < new_entries[0].index:
            snapshot = Snapshot(covered.index, covered.term, MEMBERS, b's' * 700)
    return Effects(HardState(term, 'v1'), new_entries, snapshot)


def get_snapshot_index(model: StoredGroup) -> int:
    return model.snapshot.index if model.snapshot else 0


def apply_effects(model: StoredGroup, effects: Effects) -> StoredGroup:
    snapshot = effects.snapshot or model.snapshot
    snapshot_index = snapshot.index if snapshot else 0
    first = effects.entries[0].index if effects.entries else 1 << 30
    retained = [each for each in model.entries if snapshot_index < each.index < first]
    return StoredGroup(effects.hard_state or HardState(0), (*retained, *effects.entries), snapshot)


def is_possible_after_crash(old: StoredGroup, new: StoredGroup, recovered: StoredGroup) -> bool:
    """Return whether a crash during a save may leave this state, given the order of its steps."""
    if recovered == old:
        return True
    covered = new.snapshot.index if new.snapshot else 0
    retained = tuple(each for each in old.entries if each.index > covered)
    return recovered in {
        new,
        StoredGroup(new.hard_state, old.entries, old.snapshot),
        StoredGroup(new.hard_state, retained, new.snapshot),
    }


@pytest.mark.parametrize('seed', range(300))
def test_crash_at_any_operation_keeps_acknowledged_writes(seed: int) -> None:
    """Guards against losing acknowledged writes, or a store that cannot be opened, after a crash."""
    random = Random(seed)
    files = MemoryFileSystem()
    store, _ = open_store(files)
    model = StoredGroup()
    store.save(Effects(HardState(0)))
    for _ in range(30):
        effects = random_effects(random, model)
        new = apply_effects(model, effects)
        files.fail_at = files.operations + random.randint(1, 20)
        try:
            store.save(effects)
        except StorageError:
            files.fail_at = -1
            files.crash(random)
            store, recovered = open_store(files)
            assert recovered is not None
            assert is_possible_after_crash(model, new, recovered)
            new = recovered
        model = new


@pytest.mark.parametrize('seed', range(300))
def test_state_that_was_read_survives_a_power_loss(seed: int) -> None:
    """Guards against a vote or entries that are read back, acknowledged and then lost.

    A write or sync fails, and the store is loaded again without a power loss. What is read then may
    never have reached the disk.
    """
    random = Random(seed)
    files = MemoryFileSystem()
    store, _ = open_store(files)
    model = StoredGroup()
    store.save(Effects(HardState(0)))
    for _ in range(30):
        effects = random_effects(random, model)
        files.fail_at = files.operations + random.randint(1, 12)
        try:
            store.save(effects)
        except StorageError:
            files.fail_at = files.operations + random.randint(1, 8)
            model = load_until_accepted(files)
            files.crash(random)
            store, recovered = open_store(files)
            assert recovered == model
        else:
            model = apply_effects(model, effects)


def load_until_accepted(files: MemoryFileSystem) -> StoredGroup:
    """Load a store again and again, as the program does while its disk refuses operations."""
    while True:
        try:
            _, stored = open_store(files)
        except StorageError:
            continue
        files.fail_at = -1
        assert stored is not None
        return stored


def test_backup_is_verified_before_use() -> None:
    """Guards against importing a damaged backup, or importing one over an existing group."""
    files = MemoryFileSystem()
    make_filled_store(files)
    backup = Path('backup')
    stored = export_backup(FOLDER, backup, files)
    with pytest.raises(StorageError, match='holds a group already'):
        import_backup(backup, FOLDER, files)
    assert import_backup(backup, Path('other'), files) == stored
    files.visible[backup].content = files.visible[backup].content[:-1]
    with pytest.raises(StorageError, match='backup'):
        import_backup(backup, Path('third'), files)
