"""Bounded buffer between an engine's event stream and its caller."""

from __future__ import annotations

from collections.abc import Callable

import trio

from shallotmux.http import PartWriter
from shallotmux.requests._request import RequestRefused


class EventBuffer:
    """Buffers events until the caller reads them, and coalesces small writes.

    One task puts events in, another one iterates over blocks of events. With a writer attached and
    an empty buffer, the first task writes to the caller directly, which saves waking the second.

    :param limit_bytes: size from which the buffer counts as full.
    :param on_sent: called with the number of tokens in a block accepted by the caller's connection,
        and how many of them came from cheap endpoints.
    :param coalesce_s: minimum seconds between two blocks, except before the first and the last.
    """

    def __init__(
        self, limit_bytes: int, coalesce_s: float, on_sent: Callable[[int, int], None] | None = None
    ) -> None:
        self._limit_bytes = limit_bytes
        self._coalesce_s = coalesce_s
        self._on_sent = on_sent
        self._buffered_tokens = (0, 0)
        self._unconfirmed_tokens = (0, 0)
        self._blocks: list[bytes] = []
        self._size_bytes = 0
        self._ended = False
        self._error: RequestRefused | None = None
        self._next_block_s = 0.0
        self._writer: PartWriter | None = None
        self._filled = trio.Event()
        self._emptied = trio.Event()

    @property
    def is_full(self) -> bool:
        """Return whether the caller has to read before more events are put in."""
        return self._size_bytes >= self._limit_bytes

    def attach(self, writer: PartWriter) -> None:
        """Write events directly from now on where possible; the response head must be sent."""
        self._writer = writer

    def put(self, block: bytes, tokens: int = 0, cheap_tokens: int = 0) -> None:
        """Add complete events.

        :param tokens: number of tokens in the block.
        :param cheap_tokens: how many of them came from a cheap endpoint.
        """
        if self._ended:
            return
        writer = self._writer
        if writer is not None and not self._blocks and writer.write_now(block):
            self._unconfirmed_tokens = (
                self._unconfirmed_tokens[0] + tokens,
                self._unconfirmed_tokens[1] + cheap_tokens,
            )
            if writer.blocked:
                # Wakes the iterating task, which sends the unwritten remainder.
                self._filled.set()
            else:
                self.count_sent()
            return
        self._buffered_tokens = (
            self._buffered_tokens[0] + tokens,
            self._buffered_tokens[1] + cheap_tokens,
        )
        self._blocks.append(block)
        self._size_bytes += len(block)
        self._filled.set()

    def end(self, error: RequestRefused | None = None) -> None:
        """End the stream; an error is raised after the blocks that precede it."""
        if not self._ended:
            self._ended = True
            self._error = error
            self._filled.set()

    async def wait_until_writable(self) -> None:
        """Wait until the buffer is below its limit."""
        while self.is_full:
            await self._emptied.wait()

    async def wait_started(self) -> None:
        """Wait for the first block or the end of the stream.

        :raises RequestRefused: if the request failed before the first block.
        """
        await self._filled.wait()
        if self._error is not None and not self._blocks:
            raise self._error

    def count_sent(self) -> None:
        """Count the last block as sent; reading the next block does so, too."""
        if self._on_sent is not None and self._unconfirmed_tokens[0]:
            self._on_sent(*self._unconfirmed_tokens)
        self._unconfirmed_tokens = (0, 0)

    def __aiter__(self) -> EventBuffer:
        """Return the iterator over the blocks."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next block; the previous one counts as sent.

        An empty block means that the writer has unsent bytes of an earlier event.

        :raises RequestRefused: if the request failed.
        """
        self.count_sent()
        if not self._filled.is_set():
            await self._filled.wait()
        pause_s = self._next_block_s - trio.current_time()
        if pause_s > 0 and not self._ended:
            await trio.sleep(pause_s)
        if self._ended and not self._blocks:
            if self._error is not None:
                raise self._error
            raise StopAsyncIteration
        return self._take()

    def _take(self) -> bytes:
        block = self._blocks[0] if len(self._blocks) == 1 else b''.join(self._blocks)
        self._blocks.clear()
        self._size_bytes = 0
        self._unconfirmed_tokens = self._buffered_tokens
        self._buffered_tokens = (0, 0)
        self._next_block_s = trio.current_time() + self._coalesce_s
        if not self._ended:
            self._filled = trio.Event()
        if self._emptied.statistics().tasks_waiting:
            self._emptied.set()
            self._emptied = trio.Event()
        return block
