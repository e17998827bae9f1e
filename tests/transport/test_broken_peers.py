"""Tests of calls and streams to peers whose connections end at odd moments."""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from socket import SO_LINGER, SOL_SOCKET

import pytest
import trio
import trio_asyncio

from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown
from shallotmux.transport import (
    Channel,
    ForwardAnswer,
    GrpcPeerNetwork,
    PeerEnvelope,
    SelfNamedAddresses,
)
from shallotmux.transport._channel import make_channel

CALLS = 200
CALL_TIMEOUT_S = 1.0
TEST_TIMEOUT_S = 60

#: Reset the connection when it is closed.
LINGER_0 = struct.pack('ii', 1, 0)

#: Empty settings frame and a ping frame without acknowledgement, as a server of HTTP/2 may send them.
SETTINGS_FRAME = bytes((0, 0, 0, 4, 0, 0, 0, 0, 0))
GOAWAY_FRAME = bytes((0, 0, 8, 7, 0, 0, 0, 0, 0)) + bytes(8)
GARBAGE = b'HTTP/1.1 400 Bad Request\r\n\r\n'


@dataclass
class Peer:
    """Accepts connections, and sends some bytes before it resets each of them.

    :param content: bytes that are sent.
    :param reads: number of reads before the connection is reset.
    """

    content: bytes
    reads: int

    async def run(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; gives its address to ``task_status``."""
        listener = (await trio.open_tcp_listeners(0, host='127.0.0.1'))[0]
        host, port = listener.socket.getsockname()
        task_status.started(f'{host}:{port}')
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._reset, await listener.accept())

    async def _reset(self, stream: trio.SocketStream) -> None:
        stream.socket.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_0)
        try:
            if self.content:
                await stream.send_all(self.content)
            for _ in range(self.reads):
                await stream.receive_some()
        except trio.BrokenResourceError:
            pass
        stream.socket.close()


class IgnoringHandler:
    """Handler that receives nothing in these tests."""

    def receive(self, envelope: PeerEnvelope) -> None:
        """Ignore an envelope."""

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Return an empty answer."""
        return ForwardAnswer()


async def run_with_peer(peer: Peer, use: Callable[[GrpcPeerNetwork, str], Awaitable[None]]) -> None:
    """Use a network while a peer runs."""
    own = '127.0.0.1:0'
    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            address = await nursery.start(peer.run)
            network = GrpcPeerNetwork(own, own, SelfNamedAddresses(), None)
            await nursery.start(network.run, IgnoringHandler())
            await use(network, address)
            nursery.cancel_scope.cancel()


PEERS = [
    Peer(b'', 0),
    Peer(b'', 1),
    Peer(b'', 2),
    Peer(SETTINGS_FRAME, 0),
    Peer(SETTINGS_FRAME + GOAWAY_FRAME, 0),
    Peer(SETTINGS_FRAME + GOAWAY_FRAME, 3),
    Peer(GARBAGE, 1),
]


@pytest.mark.parametrize('peer', PEERS)
async def test_call_fails_when_the_peer_ends_the_connection(peer: Peer) -> None:
    """Guards against a process that ends because a peer was killed while it was being called."""
    failures: list[str] = []

    async def call_once(network: GrpcPeerNetwork, address: str) -> None:
        try:
            await network.forward(address, 'control', b'', CALL_TIMEOUT_S)
        except (AuthorityUnavailable, OutcomeUnknown) as error:
            failures.append(str(error))

    async def call(network: GrpcPeerNetwork, address: str) -> None:
        for _ in range(CALLS // 2):
            async with trio.open_nursery() as calls:
                calls.start_soon(call_once, network, address)
                calls.start_soon(call_once, network, address)

    await run_with_peer(peer, call)
    assert len(failures) == CALLS


@pytest.mark.parametrize('peer', PEERS)
async def test_stream_is_opened_again_when_the_peer_ends_the_connection(peer: Peer) -> None:
    """Guards against a process that ends because a peer was killed while a stream was opened."""

    async def send(network: GrpcPeerNetwork, address: str) -> None:
        for _ in range(CALLS):
            envelope = PeerEnvelope('control', '127.0.0.1:0', address, Channel.MEMBERSHIP, b'x')
            network.send(envelope)
            await trio.sleep(0.01)

    await run_with_peer(peer, send)


async def test_connection_that_ends_while_it_is_opened_is_a_connection_error() -> None:
    """Guards against a channel that reads the transport of a connection that has ended."""

    async def open_channels(address: str) -> int:
        failures = 0
        for _ in range(CALLS):
            channel = make_channel(address, address, None)
            try:
                await channel.__connect__()
            except OSError:
                failures += 1
            channel.close()
        return failures

    with trio.fail_after(TEST_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            address = await nursery.start(Peer(b'', 0).run)
            async with trio_asyncio.open_loop():
                assert await trio_asyncio.aio_as_trio(open_channels)(address)
            nursery.cancel_scope.cancel()
