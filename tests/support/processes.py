"""Start the daemon and stand-ins as processes and read what they print."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio

#: Bound on a process that hangs; no test waits for it to pass.
HANG_S = 20


@dataclass
class Process:
    """A child process with line-wise output."""

    child: subprocess.Popen[str]

    async def line(self) -> str:
        """Return the next line of output."""
        assert self.child.stdout is not None
        with trio.fail_after(HANG_S):
            return await trio.to_thread.run_sync(self.child.stdout.readline, abandon_on_cancel=True)

    async def message(self, kind: str) -> dict[str, Any]:
        """Return the next log message of a type."""
        while True:
            line = await self.line()
            assert line, f'process ended before {kind}'
            message: dict[str, Any] = json.loads(line)
            if message.get('message_type') == kind:
                return message

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.child.send_signal(number)

    async def exit_code(self) -> int:
        """Return the exit code once the process has ended."""
        with trio.fail_after(HANG_S):
            return await trio.to_thread.run_sync(self.child.wait, abandon_on_cancel=True)


@contextmanager
def start_process(*words: str) -> Iterator[Process]:
    """Start ``python -m`` with these words, and kill the process at the end."""
    child = subprocess.Popen(
        [sys.executable, '-m', *words],
        stdout=subprocess.PIPE,
        text=True,
        cwd=Path(__file__).parents[2],
    )
    try:
        yield Process(child)
    finally:
        child.kill()
        child.communicate()
