"""Tests of the client for streamed responses and of the chunked decoder."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import HttpClient, HttpcoreClient, HttpRequest, RelayClient, fetch, open_relay
from shallotmux.http._chunked import ChunkedDecoder

MAX_RESPONSE_BYTES = 1_000_000
#: Addresses of which no resolver or socket is asked.
ODD_ADDRESSES = (
    '127.0.0.1:65536',
    '127.0.0.1:http',
    '[::1',
    f'{64 * "a"}:80',
    'a..b:80',
    '\ud800:80',
)

RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=40), max_size=6), st.lists(st.integers(1, 25)))
def test_decoder_is_independent_of_reads(parts: list[bytes], read_sizes: list[int]) -> None:
    """Guards against lost or added bytes when a chunk is split over several reads."""
    chunks = [b'%x;x=1\r\n%b\r\n' % (len(part), part) for part in parts]
    encoded = b''.join((*chunks, b'0\r\nt: u\r\n\r\n'))
    decoder = ChunkedDecoder()
    decoded = b''
    read_sizes.append(len(encoded))
    for size in read_sizes:
        decoded += decoder.feed(encoded[:size])
        encoded = encoded[size:]
    assert decoder.done
    assert decoded == b''.join(parts)


def test_decoder_fast_path_for_single_chunk() -> None:
    """Guards against a wrong result of the fast path for exactly one chunk in a read."""
    decoder = ChunkedDecoder()
    assert decoder.feed(b'3\r\nabc\r\n') == b'abc'
    assert decoder.feed(b'3\r\nabc') == b'abc'
    assert decoder.feed(b'\r\n1\r\n') == b''
    assert decoder.feed(b'x\r\n0\r\n\r\n') == b'x'
    assert decoder.done


@pytest.mark.parametrize(
    'coding', [b'xyz\r\n', b'+3\r\nabc\r\n', b'3\r\nabcde', b'999999999\r\n', b'1' * 20_000]
)
def test_decoder_rejects_invalid_coding(coding: bytes) -> None:
    """Guards against accepting an invalid or unbounded coding as content."""
    with pytest.raises(EndpointError):
        ChunkedDecoder().feed(coding)


async def serve_raw(
    nursery: trio.Nursery, handle: Callable[[trio.SocketStream], Awaitable[None]]
) -> str:
    """Handle connections with a function and return the address."""
    listeners = await nursery.start(partial(trio.serve_tcp, handle, 0, host='127.0.0.1'))
    return '127.0.0.1:{1}'.format(*listeners[0].socket.getsockname())


async def test_connection_is_reused_after_complete_response(nursery: trio.Nursery) -> None:
    """Guards against a connection per request, and against reusing one that the server closed."""
    opened: list[int] = []

    async def handle(stream: trio.SocketStream) -> None:
        opened.append(0)
        for _ in range(2):
            await stream.receive_some()
            await stream.send_all(b'%b2\r\nab\r\n' % RESPONSE_HEAD)
            await stream.send_all(b'0\r\n\r\n')
        await stream.aclose()

    client = RelayClient()
    address = await serve_raw(nursery, handle)
    for _ in range(4):
        request = HttpRequest('POST', address, '/run', b'{}')
        assert await fetch(client, request, MAX_RESPONSE_BYTES) == (200, b'ab')
        await trio.testing.wait_all_tasks_blocked()
    assert len(opened) == 2
    await client.close()


@pytest.mark.parametrize(
    'answer', [b'', b'no http\r\n\r\n', RESPONSE_HEAD, b'%b5\r\nab' % RESPONSE_HEAD]
)
async def test_invalid_response_is_an_error(nursery: trio.Nursery, answer: bytes) -> None:
    """Guards against accepting a truncated or invalid response as complete."""

    async def handle(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(answer)
        await stream.aclose()

    request = HttpRequest('POST', await serve_raw(nursery, handle), '/run', b'{}')
    with pytest.raises(EndpointError) as caught:
        await fetch(RelayClient(), request, MAX_RESPONSE_BYTES)
    assert not isinstance(caught.value, EndpointRefused)


REFUSAL = b'HTTP/1.1 409 X\r\ncontent-length: 17\r\n\r\n{"not_run": true}'


async def receive_request(stream: trio.SocketStream) -> bool:
    """Wait for a request whose body is an empty object; returns whether one has arrived."""
    content = b''
    while not content.endswith(b'{}'):
        received = await stream.receive_some()
        if not received:
            return False
        content += received
    return True


async def refuse_again_and_again(stream: trio.SocketStream, delay_s: float) -> None:
    """Refuse the first request, and write that again: at once, and as answer to each later one."""
    await receive_request(stream)
    copies = 1 if delay_s else 2
    await stream.send_all(b''.join(REFUSAL for _ in range(copies)))
    with suppress(trio.BrokenResourceError):
        while await receive_request(stream):
            await stream.send_all(REFUSAL)


@pytest.mark.parametrize('client_type', [RelayClient, HttpcoreClient])
@pytest.mark.parametrize('delay_s', [0.0, 0.05])
async def test_refusal_written_again_answers_no_later_request(
    nursery: trio.Nursery, client_type: type[RelayClient | HttpcoreClient], delay_s: float
) -> None:
    """Guards against a request that runs, and whose caller is told that it did not.

    A faulty endpoint writes an earlier refusal once more, right behind it or when the next request
    has arrived.
    """

    handled: list[int] = []

    async def handle(stream: trio.SocketStream) -> None:
        handled.append(0)
        if len(handled) == 1:
            await refuse_again_and_again(stream, delay_s)
        else:
            await receive_request(stream)
            await stream.send_all(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
        await stream.aclose()

    client = client_type()
    request = HttpRequest('POST', await serve_raw(nursery, handle), '/run', b'{}')
    refused, _ = await fetch(client, request, MAX_RESPONSE_BYTES)
    await trio.sleep(delay_s)
    served, _ = await fetch(client, request, MAX_RESPONSE_BYTES)
    assert (refused, served) == (409, 200)
    await client.close()


async def test_connection_with_bytes_behind_the_answer_is_not_kept(nursery: trio.Nursery) -> None:
    """Guards against half of a second answer that is dropped, while the rest answers a later request."""
    opened: list[int] = []

    async def handle(stream: trio.SocketStream) -> None:
        opened.append(0)
        while await stream.receive_some():
            await stream.send_all(b'%b2\r\nab\r\n0\r\n\r\nHTTP/1.1 200' % RESPONSE_HEAD)

    client = RelayClient()
    request = HttpRequest('POST', await serve_raw(nursery, handle), '/run', b'{}')
    for _ in range(3):
        assert await fetch(client, request, MAX_RESPONSE_BYTES) == (200, b'ab')
    assert len(opened) == 3
    await client.close()


@pytest.mark.parametrize('client_type', [RelayClient, HttpcoreClient])
@pytest.mark.parametrize('length', [1, 8, 17, 20, 44, 46, len(RESPONSE_HEAD) - 1])
async def test_connection_closed_inside_the_head_is_an_error(
    nursery: trio.Nursery, client_type: type[RelayClient | HttpcoreClient], length: int
) -> None:
    """Guards against an endpoint that stops inside the head of its answer, and an empty success."""

    async def handle(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(RESPONSE_HEAD[:length])
        await stream.aclose()

    request = HttpRequest('POST', await serve_raw(nursery, handle), '/run', b'{}')
    client = client_type()
    with pytest.raises(EndpointError):
        await fetch(client, request, MAX_RESPONSE_BYTES)
    await client.close()


async def test_response_with_content_length_is_read(nursery: trio.Nursery) -> None:
    """Guards against losing responses with a content length, such as refusals of engines."""

    async def handle(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b'HTTP/1.1 409 x\r\ncontent-length: 3\r\n\r\nabc')

    request = HttpRequest('GET', await serve_raw(nursery, handle), '/load')
    assert await fetch(RelayClient(), request, MAX_RESPONSE_BYTES) == (409, b'abc')


async def test_request_without_listener_is_refused() -> None:
    """Guards against reporting a request as possibly run although nothing was sent."""
    with pytest.raises(EndpointRefused):
        await fetch(RelayClient(), HttpRequest('GET', '127.0.0.1:1', '/'), MAX_RESPONSE_BYTES)


@pytest.mark.parametrize('client', [RelayClient(), HttpcoreClient()])
@pytest.mark.parametrize('address', ODD_ADDRESSES)
async def test_request_to_an_odd_address_is_refused(client: HttpClient, address: str) -> None:
    """Guards against one odd address in a list that ends the instances that read it."""
    with pytest.raises(EndpointRefused):
        await fetch(client, HttpRequest('GET', address, '/'), MAX_RESPONSE_BYTES)


async def test_silent_engine_times_out(nursery: trio.Nursery, mock_clock: MockClock) -> None:
    """Guards against waiting forever for an engine that sends nothing."""
    received = trio.Event()

    async def handle(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        received.set()
        await trio.sleep_forever()

    client = RelayClient(read_timeout_s=5)
    nursery.start_soon(client.run)
    address = await serve_raw(nursery, handle)

    async def advance_clock() -> None:
        await received.wait()
        for _ in range(8):
            await trio.testing.wait_all_tasks_blocked()
            mock_clock.jump(1)

    nursery.start_soon(advance_clock)
    with pytest.raises(EndpointError, match='no byte within the timeout'):
        await fetch(client, HttpRequest('GET', address, '/'), MAX_RESPONSE_BYTES)
    nursery.cancel_scope.cancel()


async def relay_all(client: RelayClient, request: HttpRequest, parts: list[bytes]) -> None:
    """Relay a complete response, pausing after each of its parts."""

    def accept(part: bytes) -> bool:
        if part == b'bad':
            raise EndpointError('wrong part', step='stream')
        parts.append(part)
        return False

    async with client.stream(request) as response:
        body = open_relay(response)
        while await body.relay(accept, coalesce=True):
            await trio.testing.wait_all_tasks_blocked()


async def test_coalesced_reads_lose_no_part(nursery: trio.Nursery) -> None:
    """Guards against lost parts when reading a response is paused and resumed."""

    async def handle(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(RESPONSE_HEAD)
        for number in range(20):
            await stream.send_all(b'1\r\n%c\r\n' % (97 + number))
            await trio.testing.wait_all_tasks_blocked()
        await stream.send_all(b'0\r\n\r\n')

    client = RelayClient()
    nursery.start_soon(client.run)
    address = await serve_raw(nursery, handle)
    answers: list[list[bytes]] = [[], [], []]
    async with trio.open_nursery() as calls:
        for parts in answers:
            calls.start_soon(relay_all, client, HttpRequest('POST', address, '/run'), parts)
    assert {b''.join(parts) for parts in answers} == {b'abcdefghijklmnopqrst'}


@pytest.mark.parametrize('ending', [b'3\r\nbad\r\n', b''], ids=('wrong part', 'cut'))
async def test_failed_response_does_not_affect_others(nursery: trio.Nursery, ending: bytes) -> None:
    """Guards against an error in one response that ends all responses read by the same task."""
    failed = trio.Event()

    async def handle(stream: trio.SocketStream) -> None:
        head = await stream.receive_some()
        await stream.send_all(b'%b1\r\na\r\n' % RESPONSE_HEAD)
        if b'/fail' in head:
            await stream.send_all(ending)
            await stream.aclose()
            return
        await failed.wait()
        await stream.send_all(b'1\r\nb\r\n0\r\n\r\n')

    client = RelayClient()
    nursery.start_soon(client.run)
    address = await serve_raw(nursery, handle)
    parts: list[bytes] = []
    async with trio.open_nursery() as calls:
        calls.start_soon(relay_all, client, HttpRequest('POST', address, '/run'), parts)
        with pytest.raises(EndpointError):
            await relay_all(client, HttpRequest('POST', address, '/fail'), [])
        failed.set()
    assert b''.join(parts) == b'ab'


async def test_responses_are_read_after_the_multiplexer_task_ended(nursery: trio.Nursery) -> None:
    """Guards against a response that is never read because the multiplexer task has ended."""

    async def handle(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b'%b1\r\na\r\n' % RESPONSE_HEAD)
        await stopped.wait()
        await stream.send_all(b'1\r\nb\r\n0\r\n\r\n')

    stopped = trio.Event()
    client = RelayClient()
    address = await serve_raw(nursery, handle)
    parts: list[bytes] = []
    # The timeout is reached only if the response is never read.
    with trio.fail_after(5):
        async with trio.open_nursery() as calls, trio.open_nursery() as reader_nursery:
            reader_nursery.start_soon(client.run)
            calls.start_soon(relay_all, client, HttpRequest('POST', address, '/run'), parts)
            while not parts:
                await trio.sleep(0)
            await trio.testing.wait_all_tasks_blocked()
            reader_nursery.cancel_scope.cancel()
            stopped.set()
    assert b''.join(parts) == b'ab'
