"""Tests of the connections of a full listener, and of the ends and the reading of connections."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
import trio

from shallotmux.forwarding import CallerRequest, HttpListener, Reply, send_response
from shallotmux.membounds import (
    ConnectionSlots,
    PeerWait,
    choose_evicted,
    count_unacknowledged,
    has_ended,
)
from shallotmux.routes import CallerLimits

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
LIMITS = CallerLimits(idle_timeout_s=0.4)


@dataclass(eq=False)
class Waiting:
    """A connection that has waited for a time."""

    seconds: float
    is_evicted: bool = False

    def waited_s(self, now: float) -> float:
        """Return the time."""
        return self.seconds

    def evict(self) -> None:
        """Record the call."""
        self.is_evicted = True


def test_connections_that_waited_longest_are_closed_first() -> None:
    """Guards against connections with a request in progress, or new ones, that are closed for others."""
    waiting = [Waiting(seconds) for seconds in (3, 0, 9, 0.4, 5)]
    chosen = choose_evicted([(each.seconds, each) for each in waiting], 16)
    assert chosen == [waiting[2], waiting[4]]
    assert not choose_evicted([(0.4, waiting[0])], 16)


def test_reading_is_seen_by_what_is_acknowledged() -> None:
    """Guards against a slow reader who is taken for one that does not read."""
    wait = PeerWait()
    assert wait.lasted_s(100, 0) == 0
    wait.since = 100
    assert wait.lasted_s(101, 5000) == 0
    assert wait.lasted_s(103, 5000) == 2
    assert wait.lasted_s(104, 4999) == 0


async def answer(request: CallerRequest, reply: Reply) -> None:
    await send_response(reply, 200, b'done', ())


async def start_listener(nursery: trio.Nursery, listener: HttpListener) -> tuple[HttpListener, int]:
    address = await nursery.start(listener.run)
    return listener, int(address.rpartition(':')[2])


async def ask(stream: trio.SocketStream) -> bytes:
    await stream.send_all(REQUEST)
    with trio.fail_after(5):
        return bytes(await stream.receive_some(4096))


async def test_idle_connection_is_closed_for_a_new_one(nursery: trio.Nursery) -> None:
    """Guards against a crowd of idle connections that keeps all other callers out."""
    slots = ConnectionSlots(2, 'callers')
    listener = HttpListener('127.0.0.1:0', answer, slots=slots)
    _, port = await start_listener(nursery, listener)
    idle = [await trio.open_tcp_stream('127.0.0.1', port) for _ in range(2)]
    new = await trio.open_tcp_stream('127.0.0.1', port)
    assert b'200' in await ask(new)
    assert slots.taken <= 2
    with trio.fail_after(5):
        assert await idle[0].receive_some(1) == b''


async def test_request_in_progress_is_not_closed_for_a_new_connection(
    nursery: trio.Nursery,
) -> None:
    """Guards against requests that are cut when a listener is full."""
    release = trio.Event()

    async def answer_late(request: CallerRequest, reply: Reply) -> None:
        await release.wait()
        await answer(request, reply)

    listener = HttpListener('127.0.0.1:0', answer_late, slots=ConnectionSlots(1, 'callers'))
    _, port = await start_listener(nursery, listener)
    first = await trio.open_tcp_stream('127.0.0.1', port)
    await first.send_all(REQUEST)
    second = await trio.open_tcp_stream('127.0.0.1', port)
    await trio.sleep(0.8)
    release.set()
    with trio.fail_after(5):
        assert b'200' in await first.receive_some(4096)
        assert b'200' in await ask(second)


@pytest.mark.parametrize('ahead', [b'', REQUEST, b'x' * 100_000])
async def test_disconnect_is_noticed_behind_unread_requests(
    nursery: trio.Nursery, ahead: bytes
) -> None:
    """Guards against work for a caller who has gone, while requests sent ahead are unread."""
    begun, ended = trio.Event(), trio.Event()

    async def wait(request: CallerRequest, reply: Reply) -> None:
        begun.set()
        try:
            await trio.sleep_forever()
        finally:
            ended.set()

    _, port = await start_listener(nursery, HttpListener('127.0.0.1:0', wait))
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    await stream.send_all(REQUEST + ahead)
    await begun.wait()
    await trio.sleep(0.3)
    assert not ended.is_set()
    await stream.aclose()
    with trio.fail_after(0.5):
        await ended.wait()


async def send_long(request: CallerRequest, reply: Reply) -> None:
    await send_response(reply, 200, bytes(16 << 20), ())


async def test_caller_who_reads_nothing_is_reset(nursery: trio.Nursery) -> None:
    """Guards against answers that are held for ever for a caller who does not read them."""
    listener = HttpListener('127.0.0.1:0', send_long, lambda: LIMITS)
    _, port = await start_listener(nursery, listener)
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    await stream.send_all(REQUEST)
    with trio.fail_after(5):
        while not listener.open_requests:
            await trio.sleep(0.01)
        while listener.open_requests:
            await trio.sleep(0.01)
    assert not listener.budget.used
    with pytest.raises(trio.BrokenResourceError):
        while await stream.receive_some(65_536):
            await trio.lowlevel.checkpoint()


async def test_caller_who_reads_slowly_is_kept(nursery: trio.Nursery) -> None:
    """Guards against a limit that a slow but sound reader meets."""
    listener = HttpListener('127.0.0.1:0', send_long, lambda: LIMITS)
    _, port = await start_listener(nursery, listener)
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    await stream.send_all(REQUEST)
    received = 0
    for _ in range(12):
        received += len(await stream.receive_some(200_000))
        await trio.sleep(0.15)
    part = await stream.receive_some(1 << 20)
    while part:
        received += len(part)
        if received > 16 << 20:
            break
        part = await stream.receive_some(1 << 20)
    assert received > 16 << 20


async def test_closed_socket_has_ended_and_waits_for_nothing() -> None:
    """Guards against a process that ends while it looks at a connection that was just closed."""
    sock = trio.socket.socket()
    sock.close()
    assert has_ended(sock)
    assert count_unacknowledged(sock) == 0
    await trio.lowlevel.checkpoint()
