"""Child processes and their output."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
import trio

from shallotmux.errors import ShallotmuxError

#: Timeout of every wait; it expires only when a process hangs.
WAIT_TIMEOUT_S = 60.0

#: Interval at which conditions are polled.
POLL_INTERVAL_S = 0.005


class ProcessEnded(ShallotmuxError):
    """A process exited before it printed the expected output."""


async def wait_until(condition: Callable[[], object], timeout_s: float = WAIT_TIMEOUT_S) -> None:
    """Wait until a condition holds.

    :raises trio.TooSlowError: if it does not hold within the timeout.
    """
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(POLL_INTERVAL_S)


class Child:
    """A ``python -m`` process whose output is collected while it runs."""

    def __init__(self, process: trio.Process) -> None:
        self._process = process
        self.lines: list[bytes] = []
        self.is_output_ended = False

    async def read_first_line(self) -> str:
        """Return the first line of output.

        :raises ProcessEnded: if the process exits without output.
        """
        await wait_until(lambda: self.lines or self.is_output_ended)
        if not self.lines:
            raise ProcessEnded('process ended before its first line', step='start')
        return self.lines[0].decode()

    async def wait_for_message(self, kind: str) -> dict[str, Any]:
        """Return the first log message of a type.

        :raises ProcessEnded: if the process exits without such a message.
        """
        marker = b'"%b"' % kind.encode()
        await wait_until(lambda: self.is_output_ended or any(marker in each for each in self.lines))
        for line in self.lines:
            if marker in line:
                return dict(msgspec.json.decode(line))
        raise ProcessEnded(f'process ended before it logged {kind}', step='start')

    async def read_output(self) -> None:
        """Collect the lines of output until the process exits."""
        output = self._process.stdout
        incomplete = b''
        while output is not None:
            received = await output.receive_some()
            if not received:
                break
            *lines, incomplete = (incomplete + received).split(b'\n')
            self.lines.extend(lines)
        self.is_output_ended = True

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, negative for a signal, or None while the process runs."""
        return self._process.returncode

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    def send_signal(self, signum: int) -> None:
        """Send a signal unless the process has exited."""
        if self._process.returncode is None:
            self._process.send_signal(signum)

    async def wait(self) -> int:
        """Wait until the process has exited, and return its exit code."""
        return await self._process.wait()

    async def stop(self, signum: int) -> tuple[float, int]:
        """Send a signal, and return the seconds until the exit and the exit code.

        A process that does not exit within the timeout is killed, as its exit code then shows.
        """
        started = trio.current_time()
        self._process.send_signal(signum)
        with trio.move_on_after(WAIT_TIMEOUT_S):
            await self._process.wait()
        if self._process.returncode is None:
            self._process.kill()
        code = await self._process.wait()
        return trio.current_time() - started, code


async def start_child(nursery: trio.Nursery, *arguments: str) -> Child:
    """Start ``python -m`` with these arguments; the process is killed with the nursery."""
    return await start_command(nursery, [sys.executable, '-m', *arguments])


async def start_command(
    nursery: trio.Nursery,
    words: Sequence[str],
    environment: Mapping[str, str] | None = None,
    folder: Path | None = None,
) -> Child:
    """Start a program; the process is killed with the nursery.

    :param environment: all of its variables; None for those of this process.
    :param folder: its working folder; None for that of this process.
    """
    process: trio.Process = await nursery.start(
        lambda task_status: trio.run_process(
            list(words),
            stdout=subprocess.PIPE,
            check=False,
            env=environment,
            cwd=folder,
            task_status=task_status,
        )
    )
    child = Child(process)
    nursery.start_soon(child.read_output)
    return child
