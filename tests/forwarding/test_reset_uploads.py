"""Tests of answers that are reset while the request is still being sent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio

from shallotmux.errors import EndpointError
from shallotmux.forwarding._connecting import connect_endpoint
from shallotmux.forwarding._endpoint import EndpointConnection
from shallotmux.forwarding._messages import OutgoingRequest
from tests.forwarding._harness import NAMES, ReceivedRequest, ScriptedEndpoint, reset, run_forwarder
from tests.forwarding._relay_harness import run_relay_fleet
from tests.support.networks import private_network

#: Which task notices a reset first differs from one time to the next.
REPETITIONS = 24

UPLOAD = bytes(4_000_000)
EVENT = b'id: 1\ndata: 1\n\n'


def encode_answer(content: bytes, framing: bytes = b'', status: bytes = b'200') -> bytes:
    """Return an answer, without a length if there is no framing."""
    return b'HTTP/1.1 %b OK\r\nX-Request-Id: r-1\r\n%b\r\n%b' % (status, framing, content)


async def never_called(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    raise AssertionError('the request was read')


class EarlyEndpoint(ScriptedEndpoint):
    """Answers before it has read the request, and then resets or closes the connection.

    :param early: bytes of the answer.
    :param reads_on: whether the rest of the request is read before the connection is closed in order.
    """

    def __init__(self, early: bytes, *, reads_on: bool = False) -> None:
        super().__init__(never_called)
        self.early = early
        self.reads_on = reads_on

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        await stream.receive_some(4096)
        await stream.send_all(self.early)
        if self.reads_on:
            await stream.send_eof()
            with trio.move_on_after(5):
                while await stream.receive_some(65_536):
                    await trio.lowlevel.checkpoint()
        else:
            reset(stream)
        await trio.aclose_forcefully(stream)


@pytest.mark.parametrize(
    ('path', 'content'),
    [('/once/', b'part'), ('/safe/', b'part'), ('/stream/', EVENT), ('/resume/', EVENT)],
    ids=['once', 'safe', 'stream', 'resumable-stream'],
)
async def test_answer_that_is_reset_during_the_upload_is_not_complete(
    path: str, content: bytes
) -> None:
    """Guards against a part of an answer without a length that a caller takes for the whole."""
    complete = 0
    for _ in range(REPETITIONS):
        async with run_forwarder(EarlyEndpoint(encode_answer(content))) as harness:
            got = await harness.make_request(path, body=UPLOAD)
        complete += got.status == 200 and got.is_complete
    assert not complete


async def test_answer_that_is_reset_at_a_peer_is_not_complete() -> None:
    """Guards against a peer that relays a part of an answer as the whole."""
    complete = 0
    for _ in range(REPETITIONS):
        endpoint = EarlyEndpoint(encode_answer(b'part'))
        async with run_relay_fleet(private_network(125)) as fleet:
            await fleet.nursery.start(endpoint.run)
            cut_off = await fleet.add(1, {'e-0': '127.0.0.1:1', 'e-1': '127.0.0.1:1'})
            await fleet.add(2, {'e-0': endpoint.address})
            got = await cut_off.send('/once/', body=UPLOAD)
        assert endpoint.connections
        complete += got.status == 200 and got.is_complete
    assert not complete


async def call(connection: EndpointConnection, request: OutgoingRequest) -> None:
    await connection.call(request)


async def prefill(connection: EndpointConnection, request: OutgoingRequest) -> None:
    connection.begin(request)
    await connection.send_request()
    await connection.receive_head()
    await connection.receive_body()


@pytest.mark.parametrize('exchange', [call, prefill])
async def test_call_whose_answer_is_reset_fails(
    nursery: trio.Nursery,
    exchange: Callable[[EndpointConnection, OutgoingRequest], Awaitable[None]],
) -> None:
    """Guards against a part of an answer to a call, or of a handle, that is taken for the whole."""
    endpoint = EarlyEndpoint(encode_answer(b'part'))
    await nursery.start(endpoint.run)
    headers = ((b'host', b'a'), (b'content-length', str(len(UPLOAD)).encode()))
    for _ in range(REPETITIONS):
        connection = await connect_endpoint(endpoint.address, 'e-0', NAMES.request_id, 1)
        with pytest.raises(EndpointError):
            await exchange(connection, OutgoingRequest(b'r-1', b'POST', b'/', headers, UPLOAD))
        connection.close()


@pytest.mark.parametrize('framing', [b'', b'Content-Length: 4\r\n'])
async def test_early_answer_that_is_closed_in_order_is_complete(framing: bytes) -> None:
    """Guards against sound answers to requests that an endpoint does not need to read first."""
    for _ in range(REPETITIONS):
        endpoint = EarlyEndpoint(encode_answer(b'part', framing), reads_on=True)
        async with run_forwarder(endpoint) as harness:
            got = await harness.make_request('/once/', body=UPLOAD)
        assert (got.status, got.body, got.is_complete) == (200, b'part', True)


@pytest.mark.parametrize('status', [b'000', b'99', b'099', b'1000', b'2 0 0'])
async def test_invalid_status_reaches_no_caller(status: bytes) -> None:
    """Guards against a status of an endpoint that no caller can understand."""
    for path in ('/once/', '/safe/', '/stream/'):
        early = encode_answer(b'part', b'Content-Length: 4\r\n', status)
        async with run_forwarder(EarlyEndpoint(early, reads_on=True)) as harness:
            got = await harness.make_request(path)
        assert (got.status, got.body) in {(502, got.body), (504, got.body)}
        assert b'part' not in got.body
