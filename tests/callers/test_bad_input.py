"""Tests of malformed input to the caller interface over a real socket."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from shallotmux.observability import write_logs
from tests.support.deployment import start_deployment

TIMEOUT_S = 3
BODY = b'{"model": "sorter", "messages": [{"role": "user", "content": "x"}], "max_tokens": 2}'
REQUEST_HEAD = (
    b'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer sk-wrong\r\n'
    b'content-type: application/json\r\ncontent-length: %d\r\n\r\n'
)
REQUEST = b'%b%b' % (REQUEST_HEAD % len(BODY), BODY)

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@st.composite
def mutated_requests(draw: st.DrawFn) -> bytes:
    """Generate requests with a few bytes replaced, removed or inserted."""
    mutated = REQUEST
    for _ in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(mutated)))
        end = min(start + draw(st.integers(0, 12)), len(mutated))
        mutated = b'%b%b%b' % (mutated[:start], draw(st.binary(max_size=12)), mutated[end:])
    return mutated


@st.composite
def framed_bodies(draw: st.DrawFn) -> bytes:
    """Generate well-formed requests with an arbitrary body."""
    body = draw(st.binary(max_size=200) | JSON_VALUES.map(lambda each: repr(each).encode()))
    return b'%b%b' % (REQUEST_HEAD % len(body), body)


def send_raw(address: str, payload: bytes) -> bytes:
    """Send bytes, shut down the sending side, and return everything received."""
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), TIMEOUT_S) as connection:
        received = b''
        try:
            connection.sendall(payload)
            connection.shutdown(socket.SHUT_WR)
            while part := connection.recv(65_536):
                received += part
        except (ConnectionResetError, BrokenPipeError):
            return received
    return received


def run_fuzz(address: str) -> None:
    """Send generated input and check that each response is a 4xx or a closed connection."""

    @settings(
        derandomize=True,
        max_examples=250,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.binary(max_size=300) | mutated_requests() | framed_bodies())
    def check(payload: bytes) -> None:
        answer = send_raw(address, payload)
        assert not answer or answer.startswith(b'HTTP/1.1 4'), answer[:100]

    check()


async def test_fuzzed_input_gets_4xx_or_closed_connection(
    nursery: trio.Nursery, tmp_path: Path
) -> None:
    """Guards against input that raises an exception in the server or affects other callers."""
    log = tmp_path / 'log'
    with write_logs(str(log), 'debug', {}):
        deployment = await start_deployment(nursery)
        secret = (await deployment.operator().create_key('tailors'))['secret']
        callers = deployment.addresses.callers
        await trio.to_thread.run_sync(run_fuzz, callers)
        assert await deployment.chat(secret) == 200
    assert 'connection_failed' not in log.read_text()
    await deployment.client.close()


@pytest.mark.parametrize(
    'payload',
    [
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0garbage',
        b'GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n'
        b'sec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n',
        b'GET /%b HTTP/1.1\r\nhost: x\r\n\r\n' % (b'a' * 40_000),
        b'GET / HTTP/1.1\r\nhost: x\r\nx: %b\r\n\r\n' % (b'a' * 40_000),
        b'%b%b' % (REQUEST_HEAD % 5_000_000, b' ' * 5_000_000),
        b'%b%b' % (REQUEST_HEAD % 200_000, b'[' * 200_000),
        b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
        b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab',
    ],
    ids=['h2', 'websocket', 'long path', 'long header', 'large body', 'deep', 'chunk', 'lengths'],
)
async def test_invalid_request_does_not_affect_others(
    nursery: trio.Nursery, tmp_path: Path, payload: bytes
) -> None:
    """Guards against known invalid requests that succeed or stop the server."""
    log = tmp_path / 'log'
    with write_logs(str(log), 'debug', {}):
        deployment = await start_deployment(nursery)
        secret = (await deployment.operator().create_key('tailors'))['secret']
        answer = await trio.to_thread.run_sync(send_raw, deployment.addresses.callers, payload)
        assert b'HTTP/1.1 2' not in answer
        assert b'HTTP/1.1 5' not in answer
        assert await deployment.chat(secret) == 200
    assert 'connection_failed' not in log.read_text()
    await deployment.client.close()
