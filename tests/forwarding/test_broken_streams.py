"""Tests of broken streams: none of them may look complete to its caller, however it is framed."""

from __future__ import annotations

import pytest
import trio

from shallotmux.forwarding import CallerRequest, HttpListener, Reply
from tests.forwarding._harness import (
    NAMES,
    ReceivedRequest,
    ScriptedEndpoint,
    build_request,
    run_forwarder,
)

EVENTS = b'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n'
STREAM_TYPE = b'Content-Type: text/event-stream\r\n'

#: Streams that end inside an event.
CUT_STREAMS = (EVENTS[:-1], EVENTS[:-2], EVENTS[:-5], b'%sid: 3' % EVENTS, b'data: 1\n')


def serve(
    content: bytes, framing: str, *, content_type: bytes = STREAM_TYPE, status: int = 200
) -> ScriptedEndpoint:
    """Return an endpoint that sends a body under a framing, and then closes the connection."""

    async def send(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        head = b'HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n' % (
            status,
            received.headers[NAMES.request_id],
        )
        body = content
        framing_header = b''
        match framing:
            case 'chunked':
                framing_header = b'Transfer-Encoding: chunked\r\n'
                body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(content), content)
            case 'length':
                framing_header = b'Content-Length: %d\r\n' % len(content)
        parts = (head, framing_header, content_type, b'\r\n', body)
        await stream.send_all(b''.join(parts))
        await trio.sleep(0.01)
        return False

    return ScriptedEndpoint(send)


@pytest.mark.parametrize('framing', ['chunked', 'length', 'none'])
@pytest.mark.parametrize('path', ['/stream/', '/resume/', '/safe/', '/once/'])
@pytest.mark.parametrize('content', CUT_STREAMS)
async def test_stream_that_ends_inside_an_event_is_not_complete(
    path: str, framing: str, content: bytes
) -> None:
    """Guards against a broken stream that looks complete, under any framing and route."""
    async with run_forwarder(*(serve(content, framing) for _ in range(3))) as harness:
        got = await harness.make_request(path)
    assert not (got.status == 200 and got.is_complete)


@pytest.mark.parametrize('framing', ['chunked', 'length', 'none'])
@pytest.mark.parametrize('path', ['/stream/', '/resume/', '/safe/'])
@pytest.mark.parametrize(
    'content',
    [
        EVENTS,
        EVENTS.replace(b'\n', b'\r\n'),
        EVENTS.replace(b'\n', b'\r'),
        b'id: 1\ndata: 1\r\n\n',
        b'id: 1\ndata: 1\n\r\n',
        b'id: 1\rdata: 1\r\n\r',
        b'%s: comment\n' % EVENTS,
    ],
)
async def test_stream_that_ends_after_an_event_is_complete(
    path: str, framing: str, content: bytes
) -> None:
    """Guards against whole streams that are cut off, since their line ends are not understood."""
    async with run_forwarder(serve(content, framing)) as harness:
        got = await harness.make_request(path)
    assert (got.status, got.is_complete, got.body) == (200, True, content)


@pytest.mark.parametrize('framing', ['chunked', 'length', 'none'])
async def test_other_answer_on_a_streaming_route_is_complete(framing: str) -> None:
    """Guards against an answer that is no stream and is taken for a broken one."""
    json_type = b'Content-Type: application/json\r\n'
    async with run_forwarder(serve(b'{"a": 1}', framing, content_type=json_type)) as harness:
        got = await harness.make_request('/stream/')
    assert (got.status, got.is_complete, got.body) == (200, True, b'{"a": 1}')


async def test_events_are_relayed_as_they_arrive_with_any_line_end() -> None:
    """Guards against events that are held back until the end of their stream."""
    is_received = trio.Event()

    async def send(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        head = b'HTTP/1.1 200 X\r\nX-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n'
        await stream.send_all(b'%s%s\r\n7\r\nid: 1\r\r\r\n' % (head, STREAM_TYPE))
        with trio.move_on_after(1):
            await is_received.wait()
        await stream.send_all(b'0\r\n\r\n')
        return True

    async with run_forwarder(ScriptedEndpoint(send)) as harness:
        stream = await harness.connect()
        await stream.send_all(build_request('/resume/'))
        received = b''
        with trio.move_on_after(0.5) as scope:
            while b'id: 1\r\r' not in received:
                received += await stream.receive_some()
        is_received.set()
    assert not scope.cancelled_caught


async def test_event_that_was_relayed_in_part_is_not_sent_again() -> None:
    """Guards against an event over the buffer limit whose parts come from two runs."""
    large = b'id: 1\ndata: %s' % (b'a' * (1 << 20))

    async def break_off(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        head = b'HTTP/1.1 200 X\r\nX-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n'
        await stream.send_all(b'%s%s\r\n%x\r\n%s\r\n' % (head, STREAM_TYPE, len(large), large))
        await trio.sleep(0.05)
        return False

    second = serve(EVENTS, 'chunked')
    async with run_forwarder(ScriptedEndpoint(break_off), second) as harness:
        got = await harness.make_request('/resume/')
    assert not got.is_complete
    assert not second.received


async def test_stream_of_another_kind_of_route_is_not_continued() -> None:
    """Guards against a stream joined from two runs on a route whose streams cannot be resumed."""
    second = serve(EVENTS, 'chunked')
    async with run_forwarder(serve(EVENTS[:-1], 'chunked'), second) as harness:
        got = await harness.make_request('/safe/')
    assert (got.is_complete, got.body) == (False, EVENTS[:-1])
    assert not second.received


async def test_continued_stream_does_not_keep_the_length_of_its_first_answer() -> None:
    """Guards against a continued stream that is cut at the length of the answer that broke off."""

    async def break_off(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        head = b'HTTP/1.1 200 X\r\nX-Request-Id: r-1\r\nContent-Length: 30\r\n'
        await stream.send_all(b'%s%s\r\n%s' % (head, STREAM_TYPE, EVENTS[:17]))
        await trio.sleep(0.01)
        return False

    rest = b'id: 2\ndata: two\n\nid: 3\ndata: three\n\n'
    endpoints = (ScriptedEndpoint(break_off), serve(rest, 'length'))
    async with run_forwarder(*endpoints) as harness:
        got = await harness.make_request('/resume/')
    assert (got.is_complete, got.body) == (True, EVENTS[:15] + rest)


@pytest.mark.parametrize('path', ['/stream/', '/resume/', '/safe/'])
@pytest.mark.parametrize('framing', ['chunked', 'none'])
async def test_broken_stream_is_reset_for_callers_without_chunks(path: str, framing: str) -> None:
    """Guards against a broken stream that looks complete to a caller of HTTP/1.0.

    Such a caller takes the end of the connection for the end of the answer.
    """
    is_reset = False
    async with run_forwarder(*(serve(EVENTS[:-2], framing) for _ in range(3))) as harness:
        stream = await harness.connect()
        request = build_request(path).replace(b'HTTP/1.1', b'HTTP/1.0', 1)
        await stream.send_all(request)
        received = b''
        try:
            with trio.fail_after(2):
                while part := await stream.receive_some():
                    received += part
        except trio.BrokenResourceError:
            is_reset = True
    assert is_reset or not received.startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize('status', [404, 500])
@pytest.mark.parametrize('content_type', [STREAM_TYPE, b'Content-Type: text/plain\r\n', b''])
async def test_error_answer_does_not_continue_a_stream(status: int, content_type: bytes) -> None:
    """Guards against the body of an error answer that is joined to a stream that broke off."""
    failing = [serve(EVENTS, 'length', content_type=content_type, status=status) for _ in range(2)]
    async with run_forwarder(serve(EVENTS[:-1], 'chunked'), *failing) as harness:
        got = await harness.make_request('/resume/')
    assert (got.status, got.is_complete, got.body) == (200, False, EVENTS[:15])


@pytest.mark.parametrize('ending', ['exception', 'shutdown'])
async def test_interrupted_answer_is_reset_for_callers_without_chunks(ending: str) -> None:
    """Guards against an answer that looks complete to a caller of HTTP/1.0 since the instance failed."""

    async def send_start(request: CallerRequest, reply: Reply) -> None:
        await reply.send_head(200, ())
        await reply.send_part(b'start')
        if ending == 'exception':
            raise ValueError('handler fails')
        await trio.sleep_forever()

    listener = HttpListener('127.0.0.1:0', send_start)
    async with trio.open_nursery() as nursery:
        host, _, port = (await nursery.start(listener.run)).rpartition(':')
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(b'GET / HTTP/1.0\r\nHost: shop.example\r\n\r\n')
        received = b''
        while not received.endswith(b'start'):
            received += await stream.receive_some()
        if ending == 'exception':
            with pytest.raises(trio.BrokenResourceError):
                await stream.receive_some()
        nursery.cancel_scope.cancel()
    if ending == 'shutdown':
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some()


async def test_stream_without_event_ids_is_not_started_again() -> None:
    """Guards against events that come twice, as a stream without ids cannot be resumed."""
    second = serve(b'data: 1\n\ndata: 2\n\n', 'chunked')
    async with run_forwarder(serve(b'data: 1\n\ndata', 'none'), second) as harness:
        got = await harness.make_request('/resume/')
    assert (got.is_complete, got.body) == (False, b'data: 1\n\n')
    assert not second.received
