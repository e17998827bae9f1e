"""Write log lines to a file descriptor without blocking on a slow reader."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec
from eliot import add_destinations, remove_destination

#: Bytes of lines buffered for a slow reader; further lines are dropped and counted.
MAX_BUFFERED_BYTES = 1 << 20


class LogLineWriter:
    """Destination of log messages that writes each as one line of JSON.

    :param descriptor: non-blocking file descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or buffer it until the next one."""
        if message.get('level') == 'debug':
            return
        # These fields identify nested actions, which the programs do not use.
        message.pop('task_uuid', None)
        message.pop('task_level', None)
        self._add(b'%s\n' % msgspec.json.encode(message, enc_hook=repr))
        self._flush()

    def _add(self, line: bytes) -> None:
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        if self._dropped and not self._buffer:
            notice = b'{"message_type":"shallotmux:lines-dropped","count":%d}\n' % self._dropped
            line = b''.join((notice, line))
            self._dropped = 0
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                # The reader is slow or has closed the pipe; retry with the next message.
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


@contextmanager
def write_log_lines(descriptor: int) -> Iterator[None]:
    """Write log messages to a file descriptor for the duration of the context."""
    os.set_blocking(descriptor, False)  # noqa: FBT003
    writer = LogLineWriter(descriptor)
    add_destinations(writer)
    try:
        yield
    finally:
        remove_destination(writer)
        os.set_blocking(descriptor, True)  # noqa: FBT003
