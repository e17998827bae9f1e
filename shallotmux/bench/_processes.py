"""Child processes of the benchmark and their CPU time."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import trio

START_TIMEOUT_S = 20.0
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')

#: Fields of /proc/PID/stat after the process name: user and system time.
_USER_FIELD = 11
_SYSTEM_FIELD = 12


class Child:
    """A process started for the benchmark."""

    def __init__(self, process: trio.Process) -> None:
        self._process = process
        self._buffer = b''

    async def read_line(self) -> bytes:
        """Return the next line of output.

        :raises RuntimeError: if the process exits first.
        """
        output = self._process.stdout
        assert output is not None  # noqa: S101
        with trio.fail_after(START_TIMEOUT_S):
            while b'\n' not in self._buffer:
                received = await output.receive_some()
                if not received:
                    raise RuntimeError(
                        f'process {self._process.pid} exited before the expected output'
                    )
                self._buffer += received
        line, _, remaining = self._buffer.partition(b'\n')
        self._buffer = remaining
        return line

    async def read_message(self, kind: str) -> dict[str, Any]:
        """Return the next log message of a type."""
        while True:
            message: dict[str, Any] = msgspec.json.decode(await self.read_line())
            if message.get('message_type') == kind:
                return message

    async def drain_output(self) -> None:
        """Discard all output, so that the process never blocks on a full pipe."""
        output = self._process.stdout
        assert output is not None  # noqa: S101
        while await output.receive_some():
            self._buffer = b''

    def cpu_s(self) -> float:
        """Return the CPU seconds used so far by all threads of the process."""
        stat = Path(f'/proc/{self._process.pid}/stat').read_text(encoding='ascii')
        fields = stat.rpartition(')')[2].split()
        return (int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])) / _CLOCK_TICKS_PER_S


@asynccontextmanager
async def start_child(*arguments: str) -> AsyncIterator[Child]:
    """Start ``python -m`` with these arguments, and kill the process when the context exits."""
    async with trio.open_nursery() as nursery:
        process: trio.Process = await nursery.start(
            lambda task_status: trio.run_process(
                [sys.executable, '-m', *arguments],
                stdout=subprocess.PIPE,
                check=False,
                task_status=task_status,
            )
        )
        yield Child(process)
        nursery.cancel_scope.cancel()
