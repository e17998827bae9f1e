"""In-memory file system that loses unsynced data in a crash, and fails on demand."""

from __future__ import annotations

import errno
from io import BytesIO
from pathlib import Path
from random import Random

from shallotmux.storage._records import BLOCK_SIZE


class MemoryFile:
    """A file whose unsynced bytes may be lost in a crash."""

    def __init__(self, files: MemoryFileSystem) -> None:
        self.content = b''
        self.synced = 0
        #: Offset from which a failed sync dropped content: it is read back, but a later sync does
        #: not make it durable.
        self.dropped: int | None = None
        self._files = files

    def write(self, content: bytes) -> None:
        """Append content; if the operation fails, half of it is written."""
        try:
            self._files.count_operation('write')
        except OSError:
            self.content += content[: len(content) // 2]
            raise
        self.content += content

    def sync(self) -> None:
        """Make the content durable."""
        try:
            self._files.count_operation('sync')
        except OSError:
            self.dropped = self.synced if self.dropped is None else min(self.dropped, self.synced)
            raise
        self.synced = len(self.content)

    def close(self) -> None:
        """Release the file if it was locked."""
        self._files.locked = False


class MemoryFileSystem:
    """Files by path; the operation with the number ``fail_at`` fails."""

    def __init__(self) -> None:
        self.visible: dict[Path, MemoryFile] = {}
        self.durable: dict[Path, MemoryFile] = {}
        self.operations = 0
        self.fail_at = -1
        self.error = errno.EIO
        self.locked = False

    def count_operation(self, step: str) -> None:
        """Count an operation, and fail if it is the one to fail."""
        self.operations += 1
        if self.operations == self.fail_at:
            raise OSError(self.error, f'injected {step}')

    def crash(self, random: Random) -> None:
        """Lose unsynced data at random: truncate each file, or zero it from a block on."""
        self.visible = dict(self.durable)
        self.locked = False
        for file in self.visible.values():
            if file.dropped is not None:
                file.content = file.content[: file.dropped]
                file.synced = min(file.synced, file.dropped)
                file.dropped = None
            unsynced = len(file.content) - file.synced
            retained = file.synced + random.randint(0, unsynced)
            if unsynced > BLOCK_SIZE and random.randint(0, 1):
                start = max(file.synced, retained - retained % BLOCK_SIZE)
                file.content = file.content[:start].ljust(len(file.content), b'\0')
            else:
                file.content = file.content[:retained]
            file.synced = len(file.content)

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file."""
        return self.visible[path].content if path in self.visible else None

    def open_for_reading(self, path: Path) -> BytesIO | None:
        """Open a file for reading."""
        return BytesIO(self.visible[path].content) if path in self.visible else None

    def make_folder(self, folder: Path) -> None:
        """Do nothing, as folders need not exist."""

    def append(self, path: Path) -> MemoryFile:
        """Open a file for appending, creating it if needed."""
        self.count_operation('open')
        return self.visible.setdefault(path, MemoryFile(self))

    def truncate(self, path: Path, size: int) -> None:
        """Truncate a file to a size in bytes, durably."""
        self.count_operation('truncate')
        self.visible[path].content = self.visible[path].content[:size]
        self.visible[path].synced = size

    def rewrite_tail(self, path: Path, start: int) -> None:
        """Write content again, which a failed sync may have dropped."""
        file = self.visible[path]
        self.count_operation('write')
        if file.dropped is not None and start <= file.dropped:
            file.synced = min(file.synced, file.dropped)
            file.dropped = None
        file.sync()

    def remove(self, path: Path) -> None:
        """Remove a file."""
        self.visible.pop(path, None)

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file."""
        self.count_operation('rename')
        self.visible[target] = self.visible.pop(source)

    def sync_folder(self, folder: Path) -> None:
        """Make creations and renames durable."""
        self.count_operation('sync folder')
        self.durable = {path: file for path, file in self.visible.items()}

    def lock(self, path: Path) -> MemoryFile:
        """Lock the whole file system; raises BlockingIOError if it is locked already."""
        if self.locked:
            raise BlockingIOError(errno.EAGAIN, 'locked')
        self.locked = True
        return MemoryFile(self)
