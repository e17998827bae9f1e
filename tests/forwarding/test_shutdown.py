"""Tests of the planned shutdown of the listener for callers."""

from __future__ import annotations

import pytest
import trio

from tests.forwarding._harness import (
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    build_request,
    read_answer,
    run_forwarder,
)


async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Send a valid response."""
    await stream.send_all(answer(received))
    return True


async def test_draining_instance_closes_connections() -> None:
    """Guards against callers that stay connected to an instance that shuts down."""
    async with run_forwarder(ScriptedEndpoint(serve)) as harness:
        harness.listener.drain()
        got = await harness.make_request('/once/')
        assert got.status == 200
        assert got.headers[b'connection'] == b'close'
        harness.listener.close_idle()
        with pytest.raises(OSError, match='all attempts to connect'):
            await harness.connect()


async def test_open_request_completes_after_listener_is_closed() -> None:
    """Guards against requests that a planned shutdown interrupts."""
    release = trio.Event()

    async def wait(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await release.wait()
        return await serve(stream, received)

    endpoint = ScriptedEndpoint(wait)
    async with run_forwarder(endpoint) as harness:
        stream = await harness.connect()
        await stream.send_all(build_request('/once/'))
        while not endpoint.received:
            await trio.sleep(0.001)
        harness.listener.drain()
        harness.listener.close_idle()
        release.set()
        got = await read_answer(stream)
        assert (got.status, got.is_complete) == (200, True)


async def test_connection_takes_no_request_after_one_that_outlived_the_close() -> None:
    """Guards against a request that is taken long after SIGTERM and cut at the end of the drain.

    The head of the first answer was sent before the drain, so it does not announce the close.
    """
    release = trio.Event()

    async def answer_slowly(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        content = answer(received)
        await stream.send_all(content[:-1])
        await release.wait()
        await stream.send_all(content[-1:])
        return True

    endpoint = ScriptedEndpoint(answer_slowly)
    async with run_forwarder(endpoint) as harness:
        stream = await harness.connect()
        await stream.send_all(build_request('/once/'))
        received = bytes(await stream.receive_some())
        harness.listener.drain()
        harness.listener.close_idle()
        release.set()
        with trio.fail_after(5):
            while content := await stream.receive_some():
                received += bytes(content)
    assert received.startswith(b'HTTP/1.1 200')
    assert b'connection: close' not in received.lower()
    assert len(endpoint.received) == 1


@pytest.mark.parametrize(
    ('path', 'status'),
    (
        ('/once/', 504),
        ('/safe/', 504),
        ('/quick/', 504),
        ('/stream/', 504),
        ('/resume/', 504),
        ('/live/', 504),
    ),
)
async def test_request_that_outlasts_the_drain_gets_an_answer(path: str, status: int) -> None:
    """Guards against requests that are cut without an answer at the end of the grace period."""

    async def never_answer(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await trio.sleep_forever()
        return True

    endpoint = ScriptedEndpoint(never_answer)
    async with run_forwarder(endpoint) as harness:
        stream = await harness.connect()
        await stream.send_all(build_request(path))
        while not endpoint.received:
            await trio.sleep(0.001)
        harness.listener.drain()
        harness.forwarder.close(trio.current_time() + 0.3)
        harness.listener.close_idle()
        with trio.fail_after(1):
            got = await read_answer(stream)
        assert (got.status, got.is_complete) == (status, True)
        assert len(endpoint.received) == 1


async def test_request_whose_body_ends_after_the_close_is_refused() -> None:
    """Guards against a request that is taken late in the grace period and can't be finished in it."""
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        stream = await harness.connect()
        content = build_request('/once/', body=b'slow body')
        await stream.send_all(content[:-1])
        while not harness.listener.open_requests:
            await trio.sleep(0.001)
        harness.listener.drain()
        harness.forwarder.close(trio.current_time() + 5)
        harness.listener.close_idle()
        await stream.send_all(content[-1:])
        got = await read_answer(stream)
        assert (got.status, got.is_complete) == (503, True)
        assert b'retry-after' in got.headers
        assert not endpoint.received


async def test_request_that_waits_in_the_kernel_at_the_close_gets_an_answer() -> None:
    """Guards against a reset of a connection on which a request has just arrived."""
    async with run_forwarder(ScriptedEndpoint(serve)) as harness:
        streams = [await harness.connect() for _ in range(20)]
        for each in streams:
            await each.send_all(build_request('/once/'))
            assert (await read_answer(each)).status == 200
        harness.listener.is_draining = True
        # No step of the event loop lies between the arrival and the close.
        for each in streams:
            each.socket._sock.send(build_request('/once/'))  # noqa: SLF001
        harness.forwarder.close(trio.current_time() + 5)
        harness.listener.close_idle()
        for each in streams:
            got = await read_answer(each)
            assert (got.status, got.is_complete) == (503, True)
