"""Tests of the memory that request bodies take while they are read and answered."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio
import trio.testing

from shallotmux.forwarding import CallerRequest, HttpListener, Reply, send_response
from shallotmux.forwarding._endpoint import EndpointConnection
from shallotmux.forwarding._messages import OutgoingRequest

LIMIT_BYTES = 1_000_000
BODY_BYTES = 300_000
CHUNK_BYTES = 50_000


async def answer(request: CallerRequest, reply: Reply) -> None:
    """Answer with the size of the body."""
    await send_response(reply, 200, str(len(request.body)).encode(), ())


async def start_listener(nursery: trio.Nursery) -> tuple[HttpListener, int]:
    listener = HttpListener('127.0.0.1:0', answer, max_buffered_bytes=LIMIT_BYTES)
    address = await nursery.start(listener.run)
    return listener, int(address.rpartition(':')[2])


async def send_half(port: int, *, is_chunked: bool) -> trio.SocketStream:
    """Begin an upload and send half of its body."""
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    framing = 'Transfer-Encoding: chunked' if is_chunked else f'Content-Length: {BODY_BYTES}'
    await stream.send_all(f'POST / HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n'.encode())
    await send_parts(stream, is_chunked=is_chunked)
    return stream


async def send_parts(stream: trio.SocketStream, *, is_chunked: bool) -> None:
    for _ in range(BODY_BYTES // 2 // CHUNK_BYTES):
        part = bytes(CHUNK_BYTES)
        if is_chunked:
            part = b'%x\r\n%b\r\n' % (CHUNK_BYTES, part)
        await stream.send_all(part)


async def read_head(stream: trio.SocketStream) -> bytes:
    content = b''
    while b'\r\n\r\n' not in content:
        part = await stream.receive_some(4096)
        assert part, content
        content += part
    return bytes(content)


async def is_refused(stream: trio.SocketStream) -> bool:
    """Return whether an upload was refused before its end, with a time to come back."""
    with trio.move_on_after(0.1):
        head = await read_head(stream)
        assert head.startswith(b'HTTP/1.1 503')
        assert b'retry-after' in head.lower()
        return True
    return False


@pytest.mark.parametrize('is_chunked', (False, True))
async def test_bodies_that_are_being_read_count_against_the_limit(
    nursery: trio.Nursery, *, is_chunked: bool
) -> None:
    """Guards against slow uploads that together use up the memory of an instance."""
    listener, port = await start_listener(nursery)
    streams = []
    refused = 0
    for _ in range(12):
        stream = await send_half(port, is_chunked=is_chunked)
        if await is_refused(stream):
            refused += 1
        else:
            streams.append(stream)
        assert listener.buffered_body_bytes <= LIMIT_BYTES
    assert len(streams) >= LIMIT_BYTES // BODY_BYTES
    assert refused >= 12 - LIMIT_BYTES // (BODY_BYTES // 2)
    for stream in streams[2:]:
        await stream.aclose()
    await wait_for(lambda: listener.buffered_body_bytes <= BODY_BYTES)
    for stream in streams[:2]:
        await send_parts(stream, is_chunked=is_chunked)
        if is_chunked:
            await stream.send_all(b'0\r\n\r\n')
        assert (await read_head(stream)).startswith(b'HTTP/1.1 200')
    await wait_for(lambda: not listener.buffered_body_bytes and not listener.open_requests)


async def wait_for(condition: Callable[[], bool]) -> None:
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.01)


class RecordedStream(trio.abc.Stream):
    """Records the parts that are sent."""

    def __init__(self) -> None:
        self.parts: list[bytes | bytearray | memoryview] = []

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Record a part."""
        self.parts.append(data)
        await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the end."""
        await trio.lowlevel.checkpoint()
        return b''

    async def aclose(self) -> None:
        """Do nothing."""
        await trio.lowlevel.checkpoint()


async def test_body_is_sent_without_a_copy() -> None:
    """Guards against attempts that hold a body once more while the endpoint does not read it."""
    stream, body = RecordedStream(), bytes(BODY_BYTES)
    connection = EndpointConnection(stream, 'e-0', b'x-request-id')
    headers = ((b'host', b'a'), (b'content-length', str(BODY_BYTES).encode()))
    connection.begin(OutgoingRequest(b'r-1', b'POST', b'/', headers, body))
    await connection.send_request()
    assert stream.parts[-1] is body
    assert sum(len(part) for part in stream.parts[:-1]) < 1000
