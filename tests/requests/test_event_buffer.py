"""Tests of the buffer between the engine's stream and the caller."""

from __future__ import annotations

import pytest
import trio

from shallotmux.requests import EventBuffer


class Socket:
    """Takes parts until it is full; the last one that it takes is left unfinished."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.taken: list[bytes] = []

    @property
    def blocked(self) -> bool:
        """Tell whether a part is unfinished."""
        return not self.room

    def write_now(self, part: bytes) -> bool:
        """Take a part while there is room."""
        if not self.room:
            return False
        self.room -= 1
        self.taken.append(part)
        return True


async def test_events_stay_in_order_when_the_socket_fills(autojump_clock: object) -> None:
    """Guards against lost, doubled or overtaking events when direct writing stops and resumes."""
    socket = Socket(2)
    event_buffer = EventBuffer(100, 0.005)
    event_buffer.attach(socket)
    for block in (b'a', b'b', b'c'):
        event_buffer.put(block)
    assert socket.taken == [b'a', b'b']
    # With room again, what is held must still go first.
    socket.room = 3
    event_buffer.put(b'd')
    assert await anext(event_buffer) == b'cd'
    event_buffer.put(b'e')
    assert socket.taken == [b'a', b'b', b'e']


async def test_rest_of_a_part_wakes_the_caller(autojump_clock: object) -> None:
    """Guards against the end of a part that waits for an event that never comes."""
    event_buffer = EventBuffer(100, 0.005)
    event_buffer.attach(Socket(1))
    event_buffer.put(b'a')
    with trio.fail_after(1):
        assert await anext(event_buffer) == b''
    event_buffer.end()
    with pytest.raises(StopAsyncIteration):
        await anext(event_buffer)


async def test_buffer_is_bounded_behind_a_full_socket(autojump_clock: object) -> None:
    """Guards against an unbounded buffer for a caller that stops reading."""
    event_buffer = EventBuffer(2, 0.005)
    event_buffer.attach(Socket(1))
    for block in (b'a', b'b', b'c'):
        event_buffer.put(block)
    assert event_buffer.is_full
