"""Local files on a disk that refuses writes while it is told to."""

from __future__ import annotations

import errno
import os
from dataclasses import dataclass, field
from pathlib import Path

from shallotmux.storage import AppendFile, LocalFileSystem


@dataclass(slots=True)
class DiskState:
    """What a disk refuses.

    :param error: number of the error of each refused operation.
    :param steps: operations that are refused: write, sync, truncate, rename, folder or close.
    :param room: size of the largest write that is accepted while writes are refused.
    :param admitted: number of refusable operations that still succeed.
    """

    error: int = errno.ENOSPC
    steps: frozenset[str] = frozenset()
    room: int = 0
    admitted: int = 0
    refused: list[str] = field(default_factory=list)

    def fill(self, *steps: str, error: int = errno.ENOSPC, room: int = 0, after: int = 0) -> None:
        """Refuse operations, each write larger than the room, after some that still succeed."""
        self.steps = frozenset(steps or ('write', 'truncate', 'folder'))
        self.error = error
        self.room = room
        self.admitted = after

    def clear(self) -> None:
        """Accept all operations again."""
        self.steps = frozenset()

    def check(self, step: str) -> None:
        """Raise the error if an operation is refused."""
        if step not in self.steps:
            return
        if self.admitted:
            self.admitted -= 1
            return
        self.refused.append(step)
        raise OSError(self.error, os.strerror(self.error))


class RefusingFile:
    """A local file whose operations may be refused; a refused write leaves its first half."""

    def __init__(self, file: AppendFile, state: DiskState) -> None:
        self._file = file
        self._state = state

    def write(self, content: bytes) -> None:
        """Append content, or a part of it."""
        if len(content) > self._state.room:
            try:
                self._state.check('write')
            except OSError:
                self._file.write(content[: min(len(content) // 2, self._state.room)])
                raise
        self._file.write(content)

    def sync(self) -> None:
        """Make the content durable."""
        self._state.check('sync')
        self._file.sync()

    def close(self) -> None:
        """Close the file, and report an error if closing is refused."""
        self._file.close()
        self._state.check('close')


class RefusingFileSystem(LocalFileSystem):
    """Local files on a disk in a given state."""

    def __init__(self) -> None:
        self.state = DiskState()

    def make_folder(self, folder: Path) -> None:
        """Create a folder unless it exists."""
        if not folder.exists():
            self.state.check('folder')
        super().make_folder(folder)

    def append(self, path: Path) -> AppendFile:
        """Open a file for appending."""
        return RefusingFile(super().append(path), self.state)

    def truncate(self, path: Path, size: int) -> None:
        """Truncate a file."""
        self.state.check('truncate')
        super().truncate(path, size)

    def rewrite_tail(self, path: Path, start: int) -> None:
        """Write content again in place."""
        self.state.check('write')
        super().rewrite_tail(path, start)

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file."""
        self.state.check('rename')
        super().replace(source, target)
