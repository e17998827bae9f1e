"""Run the program of an instance on a disk that rejects writes while a marker file exists."""

from __future__ import annotations

import errno
import os
import sys
from pathlib import Path

from shallotmux.launcher import main
from shallotmux.storage import _filesystem

#: Environment variable with the path of the marker file.
MARKER_VARIABLE = 'TEST_DISK_FULL_MARKER'


class FullDiskFile(_filesystem.LocalFile):
    """File whose writes fail with ENOSPC while the marker file exists."""

    def write(self, content: bytes) -> None:
        """Write unless the disk is full."""
        if Path(os.environ[MARKER_VARIABLE]).exists():
            raise OSError(errno.ENOSPC, 'No space left on device')
        super().write(content)


if __name__ == '__main__':
    _filesystem.LocalFile = FullDiskFile  # type: ignore[misc]
    sys.exit(main())
