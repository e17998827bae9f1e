"""Tests of response parts that are written to the caller's connection without waiting."""

from __future__ import annotations

from functools import partial

import trio

from shallotmux.http import (
    WRITER_KEY,
    Listener,
    Receive,
    Scope,
    Send,
    send_chunk,
    send_start,
    serve_app,
)
from shallotmux.http._chunked import ChunkedDecoder

PART = bytes(range(256)) * 256
#: Number of parts; together they exceed the buffers of both sockets.
PART_COUNT = 400


async def app(scope: Scope, receive: Receive, send: Send) -> None:
    """Write parts directly, or in a message if the socket buffer is full."""
    writer = scope[WRITER_KEY]
    assert not writer.write_now(b'before the head')
    await send_start(send, 200, 'text/plain')
    for _ in range(PART_COUNT):
        if not writer.write_now(PART):
            await send_chunk(send, PART)
    await send_chunk(send, b'', more=False)


async def test_full_socket_loses_no_byte(nursery: trio.Nursery) -> None:
    """Guards against lost, duplicate or reordered bytes when the socket accepts part of a write."""
    shutdown = trio.Event()
    address = await nursery.start(partial(serve_app, app, Listener('127.0.0.1:0'), shutdown.wait))
    stream = await trio.open_tcp_stream('127.0.0.1', int(address.rpartition(':')[2]))
    async with stream:
        await stream.send_all(b'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')
        received = b''.join([each async for each in stream])
    head, _, body = received.partition(b'\r\n\r\n')
    decoder = ChunkedDecoder()
    assert head.startswith(b'HTTP/1.1 200')
    assert decoder.feed(body) == PART * PART_COUNT
    assert decoder.done
    shutdown.set()
