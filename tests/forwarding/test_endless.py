"""Tests of endpoints that send bytes without end, in a head or in a body, until they are closed."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
import trio

from tests.forwarding._harness import (
    NAMES,
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    run_forwarder,
)
from tests.forwarding._streams import STREAM_HEAD, event

PART_BYTES = 16_384

#: Bytes that may be read of an answer that is not delivered, with the buffers of both sockets.
MAX_SENT_BYTES = 16 << 20

#: Time in which such an answer must be given up; the timeout of the route is 2 s.
MAX_DURATION_S = 1.5


@dataclass(slots=True)
class EndlessEndpoint:
    """Sends the start of an answer, then a part of it again and again until it is closed."""

    start: bytes
    part: bytes
    sent_bytes: int = 0
    is_closed: bool = False

    async def __call__(self, stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        """Answer one request; the marker ``ID`` in the start becomes the id of the request."""
        await stream.send_all(self.start.replace(b'ID', received.headers[NAMES.request_id]))
        repeated = self.part * max(1, PART_BYTES // len(self.part))
        try:
            while True:
                await stream.send_all(repeated)
                self.sent_bytes += len(repeated)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.is_closed = True
        return False


REFUSED = b'HTTP/1.1 503 X\r\nX-Request-Id: ID\r\nX-Not-Run: 1\r\n%b\r\n'
FAILED = b'HTTP/1.1 503 X\r\nX-Request-Id: ID\r\n\r\n'
CHUNKED = REFUSED % b'Transfer-Encoding: chunked\r\n'

#: Start, repeated part, and the status that is true for a request that must not be repeated.
CASES = {
    'head': (b'HTTP/1.1 200 X', b'x', 502),
    'header lines': (b'HTTP/1.1 200 X\r\n', b'X-Filler: 1\r\n', 502),
    'interim answers': (b'', b'HTTP/1.1 102 X\r\n\r\n', 502),
    'body of a refusal': (REFUSED % b'', b'x', 503),
    'chunks of a refusal': (CHUNKED, b'1\r\nx\r\n', 503),
    'body of an unmarked refusal': (FAILED, b'x', 502),
    'chunk size': (b'%b0' % CHUNKED, b'0', 502),
    'chunk extension': (b'%b1;' % CHUNKED, b'x', 502),
    'trailers': (b'%b0\r\n' % CHUNKED, b'X-Filler: 1\r\n', 502),
    'answer to another request': (b'HTTP/1.1 200 X\r\nX-Request-Id: other\r\n\r\n', b'x', 502),
}


@pytest.mark.parametrize('name', CASES)
async def test_answer_without_end_is_given_up(name: str) -> None:
    """Guards against memory and time that an endpoint in trouble takes without bound."""
    start, part, status = CASES[name]
    script = EndlessEndpoint(start, part)
    async with run_forwarder(ScriptedEndpoint(script)) as harness:
        began_at = trio.current_time()
        got = await harness.make_request('/once/')
        duration_s = trio.current_time() - began_at
        with trio.fail_after(2):
            while not script.is_closed:
                await trio.sleep(0.01)
    assert got.status == status
    assert duration_s < MAX_DURATION_S
    assert script.sent_bytes < MAX_SENT_BYTES


async def test_body_longer_than_its_length_is_cut_there() -> None:
    """Guards against bytes behind an answer that reach its caller or the next one."""

    async def send_more(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await stream.send_all(answer(received) + b'x' * PART_BYTES)
        return True

    async with run_forwarder(ScriptedEndpoint(send_more)) as harness:
        got = [
            await harness.make_request('/once/', request_id=f'r-{number}') for number in range(3)
        ]
    assert [each.body for each in got] == [b'done', b'done', b'done']


@pytest.mark.parametrize('path', ['/stream/', '/resume/', '/live/', '/once/'])
async def test_answer_that_trickles_ends_at_its_timeout(path: str) -> None:
    """Guards against an answer of which a byte comes now and then, and that never ends."""

    async def trickle(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await stream.send_all(STREAM_HEAD % received.headers[b'x-request-id'] + event(1, 'x'))
        while True:
            await stream.send_all(b'1\r\n:\r\n')
            await trio.sleep(0.05)

    endpoint = ScriptedEndpoint(trickle)
    async with run_forwarder(endpoint) as harness:
        began_at = trio.current_time()
        got = await harness.make_request(path, extra='X-Deadline-Ms: 500\r\n')
        took_s = trio.current_time() - began_at
        with trio.fail_after(0.5):
            await endpoint.closed.wait()
    assert (got.status, got.is_complete) == (200, False)
    assert 400 < took_s * 1000 < 1000
