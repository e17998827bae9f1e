"""Tests of requests whose handler fails: the caller gets an answer, and everything else goes on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress

import pytest
import trio

from shallotmux.addresses import split_address
from shallotmux.forwarding import CallerRequest, HttpListener, Reply, send_response
from tests.forwarding._harness import (
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    build_request,
    read_answer,
    run_forwarder,
)

#: Runs the handler of a test.
Handle = Callable[[CallerRequest, Reply], Awaitable[None]]


async def fail(request: CallerRequest, reply: Reply) -> None:
    """Fail before any answer."""
    raise OverflowError('int too large to convert to float')


async def fail_in_nursery(request: CallerRequest, reply: Reply) -> None:
    """Fail with an exception group."""
    async with trio.open_nursery():
        raise OverflowError('int too large to convert to float')


async def fail_with_invalid_head(request: CallerRequest, reply: Reply) -> None:
    """Fail since the head is not one that can be sent."""
    await reply.send_head(200, ((b'x-text', b'a\nb'),))


@pytest.mark.parametrize('handle', [fail, fail_in_nursery, fail_with_invalid_head])
async def test_request_whose_handler_fails_gets_an_answer(
    handle: Handle, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that ends without an answer, and whose fault names no request.

    The request may have run, so the answer promises nothing. The connection is kept, since requests
    that were pipelined behind it wait there.
    """
    messages: list[Mapping[str, object]] = []

    def record(**fields: object) -> None:
        messages.append(fields)

    async def fail_first(request: CallerRequest, reply: Reply) -> None:
        if request.target == b'/first':
            await handle(request, reply)
        else:
            await send_response(reply, 200, b'done')

    monkeypatch.setattr('shallotmux.forwarding._caller_connection.log_message', record)
    async with trio.open_nursery() as nursery:
        listener = HttpListener('127.0.0.1:0', fail_first)
        host, _, port = (await nursery.start(listener.run)).rpartition(':')
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(build_request('/first', request_id='r-7'))
        first = await read_answer(stream)
        await stream.send_all(build_request('/second'))
        second = await read_answer(stream)
        nursery.cancel_scope.cancel()
    assert (first.status, first.is_complete) == (502, True)
    assert (second.status, second.body) == (200, b'done')
    assert [(each['message_type'], each['request']) for each in messages] == [
        ('shallotmux:handler-fault', 'r-7')
    ]


async def test_fault_while_a_request_is_cancelled_ends_only_its_connection() -> None:
    """Guards against the end of the process when a handler fails as its caller disconnects.

    The cancellation and the error leave the handler in one exception group, which is no Exception.
    """
    has_failed = trio.Event()

    async def fail_when_cancelled(request: CallerRequest, reply: Reply) -> None:
        if request.target != b'/first':
            await send_response(reply, 200, b'done')
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep_forever)
            try:
                await trio.sleep_forever()
            finally:
                has_failed.set()
                raise ValueError('fault')

    async with trio.open_nursery() as nursery:
        listener = HttpListener('127.0.0.1:0', fail_when_cancelled)
        host, _, port = (await nursery.start(listener.run)).rpartition(':')
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(build_request('/first'))
        await trio.sleep(0.05)
        await stream.aclose()
        await has_failed.wait()
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(build_request('/second'))
        got = await read_answer(stream)
        nursery.cancel_scope.cancel()
    assert (got.status, got.body) == (200, b'done')


@pytest.mark.parametrize(('path', 'key', 'status'), [('/none/', 'k1', 404), ('/once/', 'k9', 401)])
async def test_refused_head_request_keeps_its_connection(path: str, key: str, status: int) -> None:
    """Guards against a refusal with a body to HEAD, after which the connection ended unannounced."""

    async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await stream.send_all(answer(received))
        return True

    async with run_forwarder(ScriptedEndpoint(serve)) as harness:
        stream = await harness.connect()
        await stream.send_all(build_request(path, method='HEAD', body=b'', key=key))
        with trio.fail_after(2):
            head = await stream.receive_some()
        assert head.startswith(b'HTTP/1.1 %d' % status)
        assert head.endswith(b'\r\n\r\n')
        await stream.send_all(build_request('/once/', request_id='r-2'))
        assert (await read_answer(stream)).status == 200
        await stream.aclose()


async def test_fault_before_a_connection_is_taken_ends_only_that_connection() -> None:
    """Guards against a listener, and a process, that ends as it cannot judge where a connection is from."""

    def fail(host: str) -> bool:
        raise ValueError('fault')

    async def handle(request: CallerRequest, reply: Reply) -> None:
        """Handle nothing."""

    async with trio.open_nursery() as nursery:
        listener = HttpListener('127.0.0.1:0', handle, accepts=fail)
        address = await nursery.start(listener.run)
        for _ in range(2):
            async with await trio.open_tcp_stream(*split_address(address)) as stream:
                with trio.fail_after(1), suppress(trio.BrokenResourceError):
                    assert await stream.receive_some() == b''
        nursery.cancel_scope.cancel()
