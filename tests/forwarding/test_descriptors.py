"""Tests of connections to endpoints while this process has no descriptor left."""

from __future__ import annotations

import os
import resource
import socket
from collections.abc import Iterator
from contextlib import closing, contextmanager

import pytest
import trio

from shallotmux.forwarding._endpoint import LocalResourcesSpent
from shallotmux.forwarding._pool import ConnectionPool
from tests.forwarding._harness import ReceivedRequest, ScriptedEndpoint, answer, run_forwarder

#: Descriptors that stay free below the limit until the test takes them.
FREE_DESCRIPTORS = 20


@contextmanager
def no_descriptors_left() -> Iterator[None]:
    """Take all descriptors of the process for the duration of the context."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(int(each) for each in os.listdir('/proc/self/fd'))
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + FREE_DESCRIPTORS, hard))
    taken: list[int] = []
    try:
        with pytest.raises(OSError, match='Too many open files'):
            taken.extend(iter(lambda: os.dup(0), None))
        yield
    finally:
        for each in taken:
            os.close(each)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def listen() -> socket.socket:
    """Return a listening socket."""
    return socket.create_server(('127.0.0.1', 0))


def address_of(listener: socket.socket) -> str:
    """Return the address of a listening socket."""
    host, port = listener.getsockname()
    return f'{host}:{port}'


async def serve_at_once(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer a request."""
    await stream.send_all(answer(received))
    return True


async def test_idle_connections_make_room_for_a_request() -> None:
    """Guards against requests that are refused while idle connections hold the descriptors."""
    pool = ConnectionPool(b'x-request-id')
    with closing(listen()) as first, closing(listen()) as second:
        await pool.add_connection('e-0', address_of(first), 1.0)
        with no_descriptors_left():
            connection = await pool.acquire('e-1', address_of(second), 1.0, 1.0)
            assert pool.idle_count('e-0') == 0
            connection.close()


async def test_lack_of_descriptors_shows_nothing_of_an_endpoint() -> None:
    """Guards against an instance that takes all endpoints for unreachable when it is full itself."""
    pool = ConnectionPool(b'x-request-id')
    connects: list[str] = []

    def record(endpoint: str, began_at: float, is_connected: bool) -> None:
        connects.append(endpoint)

    pool.on_connect.append(record)
    with closing(listen()) as listener:
        with no_descriptors_left(), pytest.raises(LocalResourcesSpent):
            await pool.acquire('e-0', address_of(listener), 1.0, 1.0)
        assert not connects
        connection = await pool.acquire('e-0', address_of(listener), 1.0, 1.0)
        connection.close()
    assert connects == ['e-0']
    await trio.lowlevel.checkpoint()


async def test_lack_of_descriptors_avoids_no_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against endpoints that are avoided, or blamed, for a lack of this instance."""

    async def acquire(*_: object) -> None:
        raise LocalResourcesSpent('Too many open files', step='connect', peer='e-0')

    async with run_forwarder(ScriptedEndpoint(serve_at_once)) as harness:
        monkeypatch.setattr(harness.pool, 'acquire', acquire)
        refused = await harness.make_request('/safe/')
        state = harness.forwarder.directory.find('e-0')
        assert state is not None
        assert refused.status == 503
        assert state.is_available(trio.current_time())
