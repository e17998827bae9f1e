"""Starts the daemon and stand-ins as processes and reads their output."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

import trio

#: Timeout of waits for a process that hangs.
TIMEOUT_S = 20


@dataclass
class Process:
    """A child process whose output is read line by line."""

    child: subprocess.Popen[str]

    async def read_line(self) -> str:
        """Return the next line of output."""
        assert self.child.stdout is not None
        with trio.fail_after(TIMEOUT_S):
            return await trio.to_thread.run_sync(self.child.stdout.readline, abandon_on_cancel=True)

    async def read_message(self, kind: str) -> dict[str, Any]:
        """Return the next log message of a type, skipping others."""
        while True:
            output_line = await self.read_line()
            assert output_line, f'process exited before it logged {kind}'
            entry: dict[str, Any] = json.loads(output_line)
            if entry.get('message_type') == kind:
                return entry

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.child.send_signal(number)

    async def exit_code(self) -> int:
        """Wait until the process has exited and return its exit code."""
        with trio.fail_after(TIMEOUT_S):
            return await trio.to_thread.run_sync(self.child.wait, abandon_on_cancel=True)


@contextmanager
def start_process(
    *arguments: str, environment: Mapping[str, str] | None = None, output: IO[str] | None = None
) -> Iterator[Process]:
    """Start ``python -m`` with these arguments, and kill the process when the context exits.

    :param environment: variables to set in addition to those of this process.
    :param output: file for its output, which then cannot be read line by line.
    """
    child = subprocess.Popen(
        [sys.executable, '-m', *arguments],
        stdout=output or subprocess.PIPE,
        text=True,
        cwd=Path(__file__).parents[2],
        env={**os.environ, **(environment or {})},
    )
    try:
        yield Process(child)
    finally:
        child.kill()
        child.communicate()
