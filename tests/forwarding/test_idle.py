"""Tests of idle connections of callers at the end of their idle time."""

from __future__ import annotations

import trio

from tests.forwarding._harness import (
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    build_request,
    read_answer,
    run_forwarder,
)

CONNECTIONS = 20


async def test_request_that_arrives_as_the_idle_time_ends_gets_an_answer() -> None:
    """Guards against a reset of a connection on which a request has just arrived.

    On a busy instance the end of the idle time and the request may come in one step of the event loop.
    """

    async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await stream.send_all(answer(received))
        return True

    async with run_forwarder(ScriptedEndpoint(serve)) as harness:
        streams = [await harness.connect() for _ in range(CONNECTIONS)]
        for each in streams:
            await each.send_all(build_request('/once/'))
            assert (await read_answer(each)).status == 200
        # No step of the event loop lies between the arrival and the end of the idle time.
        for each in streams:
            each.socket._sock.send(build_request('/once/', request_id='r-2'))  # noqa: SLF001
        for connection in harness.listener._connections:  # noqa: SLF001
            assert connection._idle_scope is not None  # noqa: SLF001
            connection._idle_scope.cancel()  # noqa: SLF001
        statuses = [(await read_answer(stream)).status for stream in streams]
    assert statuses == [200 for _ in streams]
