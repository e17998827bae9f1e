"""Tests of the client for streamed answers and of the chunked coding."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import HttpRequest, RelayClient, fetch, open_relay
from shallotmux.http._chunked import ChunkedDecoder

LIMIT = 1_000_000
HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=40), max_size=6), st.lists(st.integers(1, 25)))
def test_decoder_is_independent_of_reads(parts: list[bytes], cuts: list[int]) -> None:
    """Guards against bytes lost or added when a chunk is split over reads."""
    framed = [b'%x;x=1\r\n%b\r\n' % (len(part), part) for part in parts]
    whole = b''.join((*framed, b'0\r\nt: u\r\n\r\n'))
    decoder = ChunkedDecoder()
    decoded = b''
    cuts.append(len(whole))
    for size in cuts:
        decoded += decoder.feed(whole[:size])
        whole = whole[size:]
    assert decoder.done
    assert decoded == b''.join(parts)


def test_decoder_takes_whole_chunk_at_once() -> None:
    """Guards against a wrong result of the short way for one chunk in one read."""
    decoder = ChunkedDecoder()
    assert decoder.feed(b'3\r\nabc\r\n') == b'abc'
    assert decoder.feed(b'3\r\nabc') == b'abc'
    assert decoder.feed(b'\r\n1\r\n') == b''
    assert decoder.feed(b'x\r\n0\r\n\r\n') == b'x'
    assert decoder.done


@pytest.mark.parametrize(
    'broken', [b'xyz\r\n', b'+3\r\nabc\r\n', b'3\r\nabcde', b'999999999\r\n', b'1' * 20_000]
)
def test_decoder_rejects_broken_coding(broken: bytes) -> None:
    """Guards against a broken or unbounded coding that is taken for content."""
    with pytest.raises(EndpointError):
        ChunkedDecoder().feed(broken)


async def serve_raw(
    nursery: trio.Nursery, talk: Callable[[trio.SocketStream], Awaitable[None]]
) -> str:
    """Serve connections with a function and return the address."""
    listeners = await nursery.start(partial(trio.serve_tcp, talk, 0, host='127.0.0.1'))
    return '127.0.0.1:{1}'.format(*listeners[0].socket.getsockname())


async def test_connection_is_reused_after_whole_answer(nursery: trio.Nursery) -> None:
    """Guards against a connection per request, and reuse of one that the server closed."""
    opened: list[int] = []

    async def talk(stream: trio.SocketStream) -> None:
        opened.append(0)
        for _ in range(2):
            await stream.receive_some()
            await stream.send_all(b'%b2\r\nab\r\n' % HEAD)
            await stream.send_all(b'0\r\n\r\n')
        await stream.aclose()

    client = RelayClient()
    address = await serve_raw(nursery, talk)
    for _ in range(4):
        request = HttpRequest('POST', address, '/run', b'{}')
        assert await fetch(client, request, LIMIT) == (200, b'ab')
        await trio.testing.wait_all_tasks_blocked()
    assert len(opened) == 2
    await client.close()


@pytest.mark.parametrize('answer', [b'', b'no http\r\n\r\n', HEAD, b'%b5\r\nab' % HEAD])
async def test_broken_answer_is_an_error(nursery: trio.Nursery, answer: bytes) -> None:
    """Guards against a truncated answer that is taken for a whole one."""

    async def talk(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(answer)
        await stream.aclose()

    request = HttpRequest('POST', await serve_raw(nursery, talk), '/run', b'{}')
    with pytest.raises(EndpointError) as caught:
        await fetch(RelayClient(), request, LIMIT)
    assert not isinstance(caught.value, EndpointRefused)


async def test_answer_with_length_is_read(nursery: trio.Nursery) -> None:
    """Guards against refusals of engines, which have a length, being lost."""

    async def talk(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b'HTTP/1.1 409 x\r\ncontent-length: 3\r\n\r\nabc')

    request = HttpRequest('GET', await serve_raw(nursery, talk), '/load')
    assert await fetch(RelayClient(), request, LIMIT) == (409, b'abc')


async def test_no_listener_is_refused() -> None:
    """Guards against reporting a request as possibly run when nothing was sent."""
    with pytest.raises(EndpointRefused):
        await fetch(RelayClient(), HttpRequest('GET', '127.0.0.1:1', '/'), LIMIT)


async def test_silent_engine_times_out(nursery: trio.Nursery, mock_clock: MockClock) -> None:
    """Guards against a request that waits for a silent engine without end."""
    received = trio.Event()

    async def talk(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        received.set()
        await trio.sleep_forever()

    client = RelayClient(read_timeout_s=5)
    nursery.start_soon(client.run)
    address = await serve_raw(nursery, talk)

    async def pass_time() -> None:
        await received.wait()
        for _ in range(8):
            await trio.testing.wait_all_tasks_blocked()
            mock_clock.jump(1)

    nursery.start_soon(pass_time)
    with pytest.raises(EndpointError, match='no byte within the timeout'):
        await fetch(client, HttpRequest('GET', address, '/'), LIMIT)
    nursery.cancel_scope.cancel()


async def relay_all(client: RelayClient, request: HttpRequest, parts: list[bytes]) -> None:
    """Pass on a whole answer, stopping after each of its parts."""

    def accept(part: bytes) -> bool:
        if part == b'bad':
            raise EndpointError('wrong part', step='stream')
        parts.append(part)
        return False

    async with client.stream(request) as response:
        body = open_relay(response)
        while await body.relay(accept, gather=True):
            await trio.testing.wait_all_tasks_blocked()


async def test_gathered_answers_are_whole(nursery: trio.Nursery) -> None:
    """Guards against lost parts when the reading of an answer stops and goes on."""

    async def talk(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(HEAD)
        for number in range(20):
            await stream.send_all(b'1\r\n%c\r\n' % (97 + number))
            await trio.testing.wait_all_tasks_blocked()
        await stream.send_all(b'0\r\n\r\n')

    client = RelayClient()
    nursery.start_soon(client.run)
    address = await serve_raw(nursery, talk)
    answers: list[list[bytes]] = [[], [], []]
    async with trio.open_nursery() as calls:
        for parts in answers:
            calls.start_soon(relay_all, client, HttpRequest('POST', address, '/run'), parts)
    assert {b''.join(parts) for parts in answers} == {b'abcdefghijklmnopqrst'}


@pytest.mark.parametrize('ending', [b'3\r\nbad\r\n', b''], ids=('wrong part', 'cut'))
async def test_failed_answer_leaves_the_others(nursery: trio.Nursery, ending: bytes) -> None:
    """Guards against an error in one answer that ends all answers read by the same task."""
    failed = trio.Event()

    async def talk(stream: trio.SocketStream) -> None:
        head = await stream.receive_some()
        await stream.send_all(b'%b1\r\na\r\n' % HEAD)
        if b'/fail' in head:
            await stream.send_all(ending)
            await stream.aclose()
            return
        await failed.wait()
        await stream.send_all(b'1\r\nb\r\n0\r\n\r\n')

    client = RelayClient()
    nursery.start_soon(client.run)
    address = await serve_raw(nursery, talk)
    parts: list[bytes] = []
    async with trio.open_nursery() as calls:
        calls.start_soon(relay_all, client, HttpRequest('POST', address, '/run'), parts)
        with pytest.raises(EndpointError):
            await relay_all(client, HttpRequest('POST', address, '/fail'), [])
        failed.set()
    assert b''.join(parts) == b'ab'


async def test_answers_are_read_without_the_gathering_task(nursery: trio.Nursery) -> None:
    """Guards against an answer that is never read because the gathering task has ended."""

    async def talk(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b'%b1\r\na\r\n' % HEAD)
        await stopped.wait()
        await stream.send_all(b'1\r\nb\r\n0\r\n\r\n')

    stopped = trio.Event()
    client = RelayClient()
    address = await serve_raw(nursery, talk)
    parts: list[bytes] = []
    # The limit is reached only when the answer is never read.
    with trio.fail_after(5):
        async with trio.open_nursery() as calls, trio.open_nursery() as gathering:
            gathering.start_soon(client.run)
            calls.start_soon(relay_all, client, HttpRequest('POST', address, '/run'), parts)
            while not parts:
                await trio.sleep(0)
            await trio.testing.wait_all_tasks_blocked()
            gathering.cancel_scope.cancel()
            stopped.set()
    assert b''.join(parts) == b'ab'
