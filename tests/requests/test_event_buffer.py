"""Tests of the buffer between an engine's event stream and its caller."""

from __future__ import annotations

import pytest
import trio

from shallotmux.requests import EventBuffer


class StubWriter:
    """Accepts a fixed number of writes, the last of which is only partially sent."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.taken: list[bytes] = []

    @property
    def blocked(self) -> bool:
        """Return whether a write is only partially sent."""
        return not self.room

    def write_now(self, part: bytes) -> bool:
        """Accept a write while there is capacity."""
        if not self.room:
            return False
        self.room -= 1
        self.taken.append(part)
        return True


async def test_events_stay_in_order_when_the_socket_fills(autojump_clock: object) -> None:
    """Guards against lost, repeated or reordered events when direct writes stop and resume."""
    writer = StubWriter(2)
    event_buffer = EventBuffer(100, 0.005)
    event_buffer.attach(writer)
    for block in (b'a', b'b', b'c'):
        event_buffer.put(block)
    assert writer.taken == [b'a', b'b']
    # Buffered events must precede new ones even though the writer has capacity again.
    writer.room = 3
    event_buffer.put(b'd')
    assert await anext(event_buffer) == b'cd'
    event_buffer.put(b'e')
    assert writer.taken == [b'a', b'b', b'e']


async def test_partial_write_wakes_the_caller(autojump_clock: object) -> None:
    """Guards against an unsent remainder that waits for another event."""
    event_buffer = EventBuffer(100, 0.005)
    event_buffer.attach(StubWriter(1))
    event_buffer.put(b'a')
    with trio.fail_after(1):
        assert await anext(event_buffer) == b''
    event_buffer.end()
    with pytest.raises(StopAsyncIteration):
        await anext(event_buffer)


async def test_buffer_is_bounded_behind_a_full_socket(autojump_clock: object) -> None:
    """Guards against an unbounded buffer for a caller that stops reading."""
    event_buffer = EventBuffer(2, 0.005)
    event_buffer.attach(StubWriter(1))
    for block in (b'a', b'b', b'c'):
        event_buffer.put(block)
    assert event_buffer.is_full
