"""Write log lines to standard output without ever waiting for its reader."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec
from eliot import add_destinations, remove_destination

#: Bytes of lines that wait for a slow reader; further lines are dropped and counted.
MAX_WAITING_BYTES = 1 << 20


class LineWriter:
    """Destination of log messages: one line of JSON each.

    :param descriptor: file descriptor that is written to.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or keep it for later."""
        if message.get('level') == 'debug':
            return
        # These identify nested actions, of which there are none here.
        message.pop('task_uuid', None)
        message.pop('task_level', None)
        self._add(b'%s\n' % msgspec.json.encode(message, enc_hook=repr))
        self._write_waiting()

    def _add(self, line: bytes) -> None:
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self._dropped += 1
            return
        if self._dropped and not self._waiting:
            notice = b'{"message_type":"shallotmux:lines-dropped","count":%d}\n' % self._dropped
            line = b''.join((notice, line))
            self._dropped = 0
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _write_waiting(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                # The reader is slow or gone; the lines wait for the next message.
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


@contextmanager
def write_lines(descriptor: int) -> Iterator[None]:
    """Write the log messages of a block to a file descriptor."""
    os.set_blocking(descriptor, False)  # noqa: FBT003
    writer = LineWriter(descriptor)
    add_destinations(writer)
    try:
        yield
    finally:
        remove_destination(writer)
        os.set_blocking(descriptor, True)  # noqa: FBT003
