"""Tests of callers' requests that cannot be passed on, and what they do to requests of others."""

from __future__ import annotations

import pytest
import trio

from tests.forwarding._harness import (
    NAMES,
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
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
