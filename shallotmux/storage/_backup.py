"""Export of a group's durable state to one file, and import from it."""

from __future__ import annotations

from pathlib import Path

import msgspec

from shallotmux.errors import StorageError
from shallotmux.replication import StoredGroup
from shallotmux.storage._filesystem import FileSystem, LocalFileSystem
from shallotmux.storage._reading import read_group, read_single_record
from shallotmux.storage._records import pack_record
from shallotmux.storage._store import TEMPORARY_SUFFIX, GroupStore


def export_backup(folder: Path, path: Path, filesystem: FileSystem | None = None) -> StoredGroup:
    """Write the state of a group to a file, and return it.

    :param folder: data folder of the group; it is only read, so its process may be running.
    :param path: file to write; an existing one is replaced only by a complete backup.
    :raises StorageError: if the folder holds no group, or a file cannot be read or written.
    """
    files = filesystem or LocalFileSystem()
    group_files = read_group(folder, files)
    if group_files is None:
        raise StorageError(f'{folder}: holds no group', step='export')
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    try:
        _write_backup(files, temporary, path, group_files.stored)
    except OSError as error:
        raise StorageError(f'{path}: {error}', step='export') from error
    return group_files.stored


def import_backup(path: Path, folder: Path, filesystem: FileSystem | None = None) -> StoredGroup:
    """Store a backup in an empty folder, and return it.

    A backup holds an old vote and lacks the newest entries. The voter that it was taken from must
    not rejoin a running group with it, but under a new identity.

    :raises StorageError: if the backup is damaged, or the folder holds a group.
    """
    files = filesystem or LocalFileSystem()
    stored = read_single_record(path, files, StoredGroup)
    if stored is None:
        raise StorageError(f'{path}: does not exist', step='import')
    store = GroupStore(folder, files)
    try:
        store.load()
        store.initialize(stored)
    finally:
        store.close()
    return stored


def _write_backup(files: FileSystem, temporary: Path, path: Path, stored: StoredGroup) -> None:
    files.remove(temporary)
    file = files.append(temporary)
    try:
        file.write(pack_record(0, msgspec.msgpack.encode(stored)))
        file.sync()
    finally:
        file.close()
    files.replace(temporary, path)
    files.sync_folder(path.parent)
