"""Tests of the bounds on what foreign clients make the port for instances hold."""

from __future__ import annotations

import struct

import pytest
import trio

from shallotmux.errors import OutcomeUnknown
from shallotmux.membounds import MemoryBudget
from shallotmux.transport import (
    ForwardAnswer,
    GrpcPeerNetwork,
    PeerBounds,
    PeerEnvelope,
    SelfNamedAddresses,
)
from shallotmux.transport import _bounded_server as bounded_server

PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00'
PING = struct.pack('>3sBBIQ', b'\x00\x00\x08', 6, 0, 0, 7)


class Handler:
    """Answers with the length of a command."""

    def receive(self, envelope: PeerEnvelope) -> None:
        """Drop an envelope."""

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Answer a command."""
        return ForwardAnswer(str(len(command)).encode())


async def start_network(nursery: trio.Nursery, bounds: PeerBounds) -> str:
    network = GrpcPeerNetwork(
        '127.0.0.1:0', '127.0.0.1:0', SelfNamedAddresses(), None, bounds=bounds
    )
    return str(await nursery.start(network.run, Handler()))


async def connect(address: str) -> trio.SocketStream:
    host, _, port = address.rpartition(':')
    return await trio.open_tcp_stream(host, int(port))


async def read_to_end(stream: trio.SocketStream) -> None:
    """Read until the other end closes or resets the connection."""
    try:
        while await stream.receive_some(65_536):
            await trio.lowlevel.checkpoint()
    except trio.BrokenResourceError:
        return


async def test_connection_without_a_call_is_closed(
    nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against foreign connections that are held for ever."""
    monkeypatch.setattr(bounded_server, 'IDENTIFY_TIMEOUT_S', 0.2)
    address = await start_network(nursery, PeerBounds())
    stream = await connect(address)
    await stream.send_all(PREFACE)
    with trio.fail_after(5):
        await read_to_end(stream)


async def test_connections_beyond_the_bound_are_closed(nursery: trio.Nursery) -> None:
    """Guards against connections without a call that use up the descriptors within a moment."""
    address = await start_network(nursery, PeerBounds(connections=4))
    streams = [await connect(address) for _ in range(12)]
    closed = 0

    async def count_closed(stream: trio.SocketStream) -> None:
        nonlocal closed
        await read_to_end(stream)
        closed += 1

    with trio.move_on_after(3):
        async with trio.open_nursery() as readers:
            for stream in streams:
                readers.start_soon(count_closed, stream)
    assert closed >= 8


async def test_answers_that_are_not_read_are_bounded(
    nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against pings whose answers are kept for a client that does not read them."""
    monkeypatch.setattr(bounded_server, 'IDENTIFY_TIMEOUT_S', 60)
    address = await start_network(nursery, PeerBounds())
    stream = await connect(address)
    sent = 0
    with pytest.raises(trio.BrokenResourceError), trio.fail_after(30):
        await stream.send_all(PREFACE)
        while sent < 64 << 20:
            await stream.send_all(PING * 2000)
            sent += len(PING) * 2000
    assert sent < 64 << 20


@pytest.mark.parametrize('size', [0, 70_000, 5 << 20])
async def test_messages_within_the_bounds_arrive(nursery: trio.Nursery, size: int) -> None:
    """Guards against messages of instances that are cut or changed when they are read in pieces."""
    address = await start_network(nursery, PeerBounds())
    caller = GrpcPeerNetwork('127.0.0.1:1', '127.0.0.1:0', SelfNamedAddresses(), None)
    await nursery.start(caller.run, Handler())
    answer = await caller.forward(address, 'group', bytes(size), 10)
    assert answer.result == str(size).encode()


@pytest.mark.parametrize(
    'bounds',
    [PeerBounds(message_bytes=100_000), PeerBounds(budget=MemoryBudget(100_000))],
    ids=['length', 'budget'],
)
async def test_message_of_any_length_is_refused(nursery: trio.Nursery, bounds: PeerBounds) -> None:
    """Guards against long messages of instances that are gathered beyond the bounds."""
    address = await start_network(nursery, bounds)
    caller = GrpcPeerNetwork('127.0.0.1:1', '127.0.0.1:0', SelfNamedAddresses(), None)
    await nursery.start(caller.run, Handler())
    with pytest.raises(OutcomeUnknown, match='RESOURCE_EXHAUSTED'):
        await caller.forward(address, 'group', bytes(200_000), 10)
    answer = await caller.forward(address, 'group', bytes(80_000), 10)
    assert answer.result == b'80000'
    assert not bounds.budget.used
