"""Child processes and what they print."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from shallotmux.errors import ShallotmuxError

#: Bound on every wait; it passes only when something hangs.
DEADLINE_S = 60.0

#: Interval at which conditions are looked at.
POLL_S = 0.005


class ProcessEnded(ShallotmuxError):
    """A process ended before it printed what was waited for."""


async def until(condition: Callable[[], object], limit_s: float = DEADLINE_S) -> None:
    """Wait until a condition holds.

    :raises trio.TooSlowError: if it does not hold in time.
    """
    with trio.fail_after(limit_s):
        while not condition():
            await trio.sleep(POLL_S)


class Child:
    """A ``python -m`` process whose output is read as it comes."""

    def __init__(self, process: trio.Process) -> None:
        self._process = process
        self.lines: list[bytes] = []
        self.output_ended = False

    async def line(self) -> str:
        """Return the first line of output."""
        await until(lambda: self.lines or self.output_ended)
        if not self.lines:
            raise ProcessEnded('process ended before its first line', step='start')
        return self.lines[0].decode()

    async def message(self, kind: str) -> dict[str, Any]:
        """Return the first log message of a type."""
        marker = b'"%b"' % kind.encode()
        await until(lambda: self.output_ended or any(marker in each for each in self.lines))
        for line in self.lines:
            if marker in line:
                return dict(msgspec.json.decode(line))
        raise ProcessEnded(f'process ended before {kind}', step='start')

    async def read_output(self) -> None:
        """Collect the lines of output until the process ends."""
        output = self._process.stdout
        rest = b''
        while output is not None:
            received = await output.receive_some()
            if not received:
                break
            *lines, rest = (rest + received).split(b'\n')
            self.lines.extend(lines)
        self.output_ended = True

    async def end(self, signal: int) -> tuple[float, int]:
        """Send a signal, and return the seconds until the exit and the exit code.

        A process that does not end in time is killed, which its exit code shows.
        """
        started = trio.current_time()
        self._process.send_signal(signal)
        with trio.move_on_after(DEADLINE_S):
            await self._process.wait()
        if self._process.returncode is None:
            self._process.kill()
        code = await self._process.wait()
        return trio.current_time() - started, code


async def start_child(nursery: trio.Nursery, *words: str) -> Child:
    """Start ``python -m`` with these words; the process ends with the nursery."""
    process: trio.Process = await nursery.start(
        lambda task_status: trio.run_process(
            [sys.executable, '-m', *words],
            stdout=subprocess.PIPE,
            check=False,
            task_status=task_status,
        )
    )
    child = Child(process)
    nursery.start_soon(child.read_output)
    return child
