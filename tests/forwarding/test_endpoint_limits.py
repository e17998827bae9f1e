"""Tests of endpoints that name a limit of requests per second."""

from __future__ import annotations

import trio

from tests.forwarding._harness import (
    NAMES,
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


async def test_request_is_refused_at_once_if_all_endpoints_are_at_their_limits() -> None:
    """Guards against callers that wait, or learn no time of return, and against a false failure."""
    limited = ScriptedEndpoint(serve_with_limit)
    async with run_forwarder(limited) as harness:
        await harness.make_request('/once/')
        refused = await harness.make_request('/once/')
        state = harness.forwarder.directory.find('e-0')
        assert state is not None
        assert state.is_available(trio.current_time())
    assert refused.status == 503
    assert float(refused.headers[NAMES.retry_after]) == 1 / LIMIT
    assert len(limited.received) == 1


async def test_endpoint_serves_what_its_limit_allows() -> None:
    """Guards against an endpoint that gets nothing any more after it has named a limit."""
    limited = ScriptedEndpoint(serve_with_limit)
    async with run_forwarder(limited) as harness:
        await harness.make_request('/once/')

        async def ignore(instance: str, content: bytes) -> None:
            """Send nothing, as there is no other instance."""

        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.forwarder.directory.limits.run, ignore)
            statuses = []
            with trio.move_on_after(6):
                while statuses.count(200) < 2:
                    statuses.append((await harness.make_request('/once/')).status)
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
    assert statuses.count(200) == 2


async def test_lifted_limit_lets_all_requests_pass() -> None:
    """Guards against a limit that outlives the endpoint's need."""
    limited = ScriptedEndpoint(serve_with_limit)
    async with run_forwarder(limited) as harness:
        await harness.make_request('/once/')
        limits = harness.forwarder.directory.limits
        state = harness.forwarder.directory.find('e-0')
        assert state is not None
        limits.known.observe(state.start_number, None, trio.current_time() + 1)
        limited.script = serve
        answers = [await harness.make_request('/once/') for _ in range(20)]
    assert {each.status for each in answers} == {200}
