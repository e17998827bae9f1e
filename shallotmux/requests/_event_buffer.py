"""Bounded buffer between the engine's stream and the caller."""

from __future__ import annotations

from collections.abc import Callable

import trio

from shallotmux.http import PartWriter
from shallotmux.requests._request import RequestRefused


class EventBuffer:
    """Holds events until the caller takes them, and gathers small writes into larger ones.

    One task puts events in, another iterates over the blocks. With a writer, events go to the
    caller from the first task while nothing is held, which saves waking the second one.

    :param limit_bytes: size from which :meth:`wait_room` waits.
    :param sent: called with the tokens of a block that the caller's connection took, and how many
        of them came from cheap endpoints.
    :param coalesce_s: least time between two blocks, except before the first and the last.
    """

    def __init__(
        self, limit_bytes: int, coalesce_s: float, sent: Callable[[int, int], None] | None = None
    ) -> None:
        self._limit = limit_bytes
        self._coalesce_s = coalesce_s
        self._sent = sent
        self._held = (0, 0)
        self._given = (0, 0)
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

    def put(self, block: bytes, tokens: int = 0, cheap_tokens: int = 0) -> None:
        """Add complete events.

        :param cheap_tokens: those of the tokens that came from a cheap endpoint.
        """
        if self._ended:
            return
        writer = self._writer
        if writer is not None and not self._parts and writer.write_now(block):
            self._given = (self._given[0] + tokens, self._given[1] + cheap_tokens)
            if writer.blocked:
                # The empty block that follows lets the caller's task send the rest.
                self._filled.set()
            else:
                self.count_sent()
            return
        self._held = (self._held[0] + tokens, self._held[1] + cheap_tokens)
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

    def count_sent(self) -> None:
        """Count the last block as sent, which taking the next one does as well."""
        if self._sent is not None and self._given[0]:
            self._sent(*self._given)
        self._given = (0, 0)

    def __aiter__(self) -> EventBuffer:
        """Return the iterator over the blocks."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next block; the one before counts as sent.

        An empty block means that the writer has a rest to send.

        :raises RequestRefused: if the request was given up.
        """
        self.count_sent()
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
        self._given = self._held
        self._held = (0, 0)
        self._next_s = trio.current_time() + self._coalesce_s
        if not self._ended:
            self._filled = trio.Event()
        if self._emptied.statistics().tasks_waiting:
            self._emptied.set()
            self._emptied = trio.Event()
        return block
