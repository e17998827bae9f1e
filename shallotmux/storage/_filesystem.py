"""File operations used by storage, behind an interface that lets tests inject failures."""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol


class AppendFile(Protocol):
    """A file open for appending."""

    def write(self, content: bytes) -> None:
        """Append all of the content."""

    def sync(self) -> None:
        """Make the written content durable."""

    def close(self) -> None:
        """Close the file without syncing it."""


class ReadFile(Protocol):
    """A file open for reading from its start."""

    def read(self, size: int) -> bytes:
        """Return the next bytes; fewer than ``size`` only at the end of the file."""

    def close(self) -> None:
        """Close the file."""


class FileSystem(Protocol):
    """File operations; each raises OSError on failure."""

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""

    def open_for_reading(self, path: Path) -> ReadFile | None:
        """Open a file for reading, or return None if it does not exist."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents unless they exist."""

    def append(self, path: Path) -> AppendFile:
        """Open a file for appending, creating it if needed."""

    def truncate(self, path: Path, size: int) -> None:
        """Truncate a file to a size in bytes, durably."""

    def rewrite_tail(self, path: Path, start: int) -> None:
        """Write the content from an offset on again in place, and make it durable.

        Content that was read back may be in memory only: after a failed sync the system may take it
        for written, so that syncing it again does nothing.
        """

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file, replacing the target if it exists."""

    def sync_folder(self, folder: Path) -> None:
        """Make creations and renames in a folder durable."""

    def lock(self, path: Path) -> AppendFile:
        """Lock a file until it is closed; raises BlockingIOError if it is locked already."""


def close_file(file: AppendFile | ReadFile) -> None:
    """Close a file; an error is ignored, as what has to be durable was synced before."""
    with suppress(OSError):
        file.close()


class LocalFile:
    """A file descriptor open for appending."""

    def __init__(self, path: Path, flags: int) -> None:
        self._descriptor = os.open(path, flags | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def write(self, content: bytes) -> None:
        """Append all of the content, which may take several system calls."""
        view = memoryview(content)
        while view:
            view = view[os.write(self._descriptor, view) :]

    def sync(self) -> None:
        """Make the written content durable."""
        os.fsync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor."""
        os.close(self._descriptor)

    def truncate(self, size: int) -> None:
        """Truncate the file to a size in bytes."""
        os.ftruncate(self._descriptor, size)

    def lock(self) -> None:
        """Lock the file against other processes; raises BlockingIOError if it is locked."""
        fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)


class LocalFileSystem:
    """File operations on the local file system."""

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def open_for_reading(self, path: Path) -> ReadFile | None:
        """Open a file for reading, or return None if it does not exist."""
        try:
            return path.open('rb')
        except FileNotFoundError:
            return None

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents unless they exist."""
        folder.mkdir(parents=True, exist_ok=True)

    def append(self, path: Path) -> AppendFile:
        """Open a file for appending, creating it if needed."""
        return LocalFile(path, os.O_WRONLY | os.O_APPEND)

    def truncate(self, path: Path, size: int) -> None:
        """Truncate a file to a size in bytes, durably."""
        file = LocalFile(path, os.O_WRONLY)
        try:
            file.truncate(size)
            file.sync()
        finally:
            file.close()

    def rewrite_tail(self, path: Path, start: int) -> None:
        """Write the content from an offset on again in place, and make it durable."""
        with path.open('r+b', buffering=0) as file:
            file.seek(start)
            content = file.readall()
            file.seek(start)
            view = memoryview(content)
            while view:
                view = view[file.write(view) :]
            os.fsync(file.fileno())

    def remove(self, path: Path) -> None:
        """Remove a file if it exists."""
        path.unlink(missing_ok=True)

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file, replacing the target if it exists."""
        source.replace(target)

    def sync_folder(self, folder: Path) -> None:
        """Make creations and renames in a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, path: Path) -> AppendFile:
        """Lock a file until it is closed; raises BlockingIOError if it is locked already."""
        file = LocalFile(path, os.O_WRONLY)
        try:
            file.lock()
        except OSError:
            file.close()
            raise
        return file
