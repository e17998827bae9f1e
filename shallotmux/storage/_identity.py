"""Durable identity of the instance that owns a data folder."""

from __future__ import annotations

from pathlib import Path

from shallotmux.errors import StorageError
from shallotmux.storage._filesystem import FileSystem, LocalFileSystem, close_file

IDENTITY_NAME = 'identity'
TEMPORARY_SUFFIX = '.new'


def load_identity(folder: Path, filesystem: FileSystem | None = None) -> str | None:
    """Return the identity stored in a data folder, or None if there is none.

    :raises StorageError: if the file cannot be read.
    """
    files = filesystem or LocalFileSystem()
    try:
        content = files.read(folder / IDENTITY_NAME)
    except OSError as error:
        raise StorageError(f'{folder / IDENTITY_NAME}: {error}', step='read') from error
    try:
        return content.decode() if content else None
    except UnicodeDecodeError as error:
        raise StorageError(f'{folder / IDENTITY_NAME}: damaged: {error}', step='read') from error


def store_identity(folder: Path, identity: str, filesystem: FileSystem | None = None) -> None:
    """Store an identity durably in a data folder, which is created if needed.

    :raises StorageError: if a file operation fails.
    """
    files = filesystem or LocalFileSystem()
    target = folder / IDENTITY_NAME
    temporary = folder / f'{IDENTITY_NAME}{TEMPORARY_SUFFIX}'
    try:
        files.make_folder(folder)
        files.remove(temporary)
        file = files.append(temporary)
        try:
            file.write(identity.encode())
            file.sync()
        finally:
            close_file(file)
        files.replace(temporary, target)
        files.sync_folder(folder)
    except OSError as error:
        raise StorageError(f'{target}: {error}', step='store identity') from error
