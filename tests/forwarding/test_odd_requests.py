"""Tests of callers' requests that cannot be passed on, and what they do to requests of others."""

from __future__ import annotations

import pytest
import trio

from shallotmux.forwarding import CallerRequest, HttpListener, Reply, send_response
from tests.forwarding._harness import (
    NAMES,
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    build_request,
    read_answer,
    run_forwarder,
)


async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer as an endpoint that knows a request by its id."""
    if NAMES.request_id not in received.headers:
        await stream.send_all(b'HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n')
        return True
    await stream.send_all(answer(received))
    return True


@pytest.mark.parametrize('named', ['host', 'close, Host', 'X-Request-Id', 'x-request-id, HOST'])
@pytest.mark.parametrize('path', ['/once/', '/safe/'])
async def test_connection_header_removes_neither_host_nor_id(path: str, named: str) -> None:
    """Guards against a caller that makes an instance avoid all endpoints of a service.

    A request without a host cannot be encoded, which counted as an endpoint that is out of reach; one
    without an id is not matched with its answer.
    """
    async with run_forwarder(ScriptedEndpoint(serve), ScriptedEndpoint(serve)) as harness:
        got = await harness.make_request(path, extra=f'Connection: {named}\r\n')
        now = trio.current_time()
        available = [each.is_available(now) for each in harness.forwarder.directory.usable('desk')]
    assert (got.status, got.body) == (200, b'done')
    assert available == [True, True]


@pytest.mark.parametrize('path', ['/once/', '/safe/'])
async def test_request_with_two_ids_is_refused(path: str) -> None:
    """Guards against a request whose answer cannot be matched, so that its caller waits in vain.

    Endpoints echo the last of two ids, or both in one header.
    """
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        got = await harness.make_request(path, extra='X-Request-Id: r-2\r\n')
        again = await harness.make_request(path, extra='X-Request-Id: r-1\r\n')
    assert got.status == 400
    assert len(endpoint.received) == 1
    assert again.status == 200


async def test_connect_request_is_refused() -> None:
    """Guards against a request for a tunnel that reaches endpoints, and gets the head of its answer.

    A path is no valid target of CONNECT.
    """
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        got = await harness.make_request('/once/', method='CONNECT')
    assert (got.status, got.is_complete) == (400, True)
    assert not endpoint.received


async def test_connect_request_to_a_page_is_refused() -> None:
    """Guards against the head of a tunnel from the pages of an instance, such as readiness."""

    async def show(request: CallerRequest, reply: Reply) -> None:
        await send_response(reply, 200, b'ready')

    async with trio.open_nursery() as nursery:
        listener = HttpListener('127.0.0.1:0', show)
        host, _, port = (await nursery.start(listener.run)).rpartition(':')
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(build_request('/ready', method='CONNECT'))
            got = await read_answer(stream)
        nursery.cancel_scope.cancel()
    assert (got.status, got.is_complete) == (400, True)
