"""Bounded buffer between the engine's stream and the caller."""

from __future__ import annotations

import trio

from shallotmux.http import PartWriter
from shallotmux.requests._request import RequestRefused


class Outbox:
    """Holds events until the caller takes them, and gathers small writes into larger ones.

    One task puts events in, another iterates over the blocks. With a writer, events go to the
    caller from the first task while nothing is held, which saves waking the second one.

    :param limit_bytes: size from which :meth:`wait_room` waits.
    :param coalesce_s: least time between two blocks, except before the first and the last.
    """

    def __init__(self, limit_bytes: int, coalesce_s: float) -> None:
        self._limit = limit_bytes
        self._coalesce_s = coalesce_s
        self._parts: list[bytes] = []
        self._size = 0
        self._ended = False
        self._error: RequestRefused | None = None
        self._next_s = 0.0
        self._writer: PartWriter | None = None
        self._filled = trio.Event()
        self._emptied = trio.Event()

    @property
    def is_full(self) -> bool:
        """Tell whether the caller should read before more is put in."""
        return self._size >= self._limit

    def attach(self, writer: PartWriter) -> None:
        """Write events directly from now on where possible; the stream's head must be sent."""
        self._writer = writer

    def put(self, block: bytes) -> None:
        """Add complete events."""
        if self._ended:
            return
        writer = self._writer
        if writer is not None and not self._parts and writer.write_now(block):
            if writer.blocked:
                # The empty block that follows lets the caller's task send the rest.
                self._filled.set()
            return
        self._parts.append(block)
        self._size += len(block)
        self._filled.set()

    def end(self, error: RequestRefused | None = None) -> None:
        """End the blocks; an error is raised after the blocks that came before it."""
        if not self._ended:
            self._ended = True
            self._error = error
            self._filled.set()

    async def wait_room(self) -> None:
        """Wait until the caller has taken what was put in."""
        while self.is_full:
            await self._emptied.wait()

    async def wait_started(self) -> None:
        """Wait for the first block.

        :raises RequestRefused: if there is an error in its place.
        """
        await self._filled.wait()
        if self._error is not None and not self._parts:
            raise self._error

    def __aiter__(self) -> Outbox:
        """Return the iterator over the blocks."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next block; an empty one means that the writer has a rest to send.

        :raises RequestRefused: if the request was given up.
        """
        if not self._filled.is_set():
            await self._filled.wait()
        pause_s = self._next_s - trio.current_time()
        if pause_s > 0 and not self._ended:
            await trio.sleep(pause_s)
        if self._ended and not self._parts:
            if self._error is not None:
                raise self._error
            raise StopAsyncIteration
        return self._take()

    def _take(self) -> bytes:
        block = self._parts[0] if len(self._parts) == 1 else b''.join(self._parts)
        self._parts.clear()
        self._size = 0
        self._next_s = trio.current_time() + self._coalesce_s
        if not self._ended:
            self._filled = trio.Event()
        if self._emptied.statistics().tasks_waiting:
            self._emptied.set()
            self._emptied = trio.Event()
        return block
