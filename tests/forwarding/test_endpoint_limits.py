"""Tests of endpoints that name a limit of requests per second."""

from __future__ import annotations

import trio

from tests.forwarding._harness import (
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    run_forwarder,
)

#: Requests per second that the endpoint takes, and what may reach it in a window of this length: one
#: and a half times as many, and five more.
LIMIT = 1.0
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT * WINDOW_S + 5


async def serve_with_limit(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer and name a limit."""
    await stream.send_all(answer(received, extra=b'X-Endpoint-Limit: %.1f\r\n' % LIMIT))
    return True


async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer without a limit."""
    await stream.send_all(answer(received))
    return True


async def test_endpoint_gets_no_more_than_the_limit_that_it_names() -> None:
    """Guards against an endpoint in need that gets as many requests as the others."""
    limited, other = ScriptedEndpoint(serve_with_limit), ScriptedEndpoint(serve)
    async with run_forwarder(limited, other) as harness:
        await harness.make_request('/once/')
        await trio.sleep(0.5)
        before = len(limited.received)
        answers = [await harness.make_request('/once/') for _ in range(40)]
    assert {each.status for each in answers} == {200}
    assert len(limited.received) - before <= MAX_IN_WINDOW
