"""Tests of the limit of request heads on connections that are kept while it changes."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
import trio

from shallotmux.forwarding import CallerRequest, HttpListener, Reply, send_response
from shallotmux.routes import CallerLimits

LOW_BYTES, HIGH_BYTES = 2_000, 8_000


@dataclass(slots=True)
class Configuration:
    """Limits in force, which change."""

    limits: CallerLimits = CallerLimits(header_bytes=LOW_BYTES)


async def answer(request: CallerRequest, reply: Reply) -> None:
    """Answer any request."""
    await send_response(reply, 200, request.target, ())


def build_request(target: str, header_bytes: int) -> bytes:
    return f'GET {target} HTTP/1.1\r\nHost: a\r\nX-Long: {"x" * header_bytes}\r\n\r\n'.encode()


async def exchange(stream: trio.SocketStream, content: bytes, *, answers: int = 1) -> bytes:
    """Send a request in small parts, and return what was answered."""
    for start in range(0, len(content), 500):
        await stream.send_all(content[start : start + 500])
        await trio.sleep(0.002)
    received = b''
    with trio.move_on_after(0.5):
        while received.count(b'HTTP/1.1 ') < answers or not received.endswith(b'/'):
            part = await stream.receive_some(4096)
            if not part:
                break
            received += bytes(part)
    return received


@pytest.mark.parametrize(('changed', 'size', 'status'), ((HIGH_BYTES, 5_000, 200), (500, 900, 431)))
async def test_kept_connection_follows_a_changed_limit(
    nursery: trio.Nursery, changed: int, size: int, status: int
) -> None:
    """Guards against a connection that keeps the limit with which it was opened."""
    configuration = Configuration()
    listener = HttpListener('127.0.0.1:0', answer, lambda: configuration.limits)
    address = await nursery.start(listener.run)
    stream = await trio.open_tcp_stream('127.0.0.1', int(address.rpartition(':')[2]))
    assert b' 200 ' in await exchange(stream, build_request('/', 1_000))
    configuration.limits = CallerLimits(header_bytes=changed)
    assert f' {status} '.encode() in await exchange(stream, build_request('/', size))


async def test_request_read_ahead_survives_a_changed_limit(nursery: trio.Nursery) -> None:
    """Guards against a pipelined request that is lost when the parser is replaced."""
    configuration = Configuration()

    async def change_and_answer(request: CallerRequest, reply: Reply) -> None:
        await trio.sleep(0.05)
        configuration.limits = CallerLimits(header_bytes=HIGH_BYTES)
        await answer(request, reply)

    listener = HttpListener('127.0.0.1:0', change_and_answer, lambda: configuration.limits)
    address = await nursery.start(listener.run)
    stream = await trio.open_tcp_stream('127.0.0.1', int(address.rpartition(':')[2]))
    content = build_request('/', 10) * 2
    assert (await exchange(stream, content, answers=2)).count(b' 200 ') == 2
