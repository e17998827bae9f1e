"""A gRPC server whose connections and messages are bounded, since any client can reach its port."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import trio
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from shallotmux.membounds import Holding, MemoryBudget, choose_evicted
from shallotmux.repeats import RepeatLog

#: Unread bytes of a connection. At 1.8 ms there and back this allows 145 MB/s, more than the link has.
WINDOW_BYTES = 256 << 10

#: Bytes of a message that are read before they are counted.
PIECE_BYTES = 65_536

#: Time in which a message must be complete after its length.
MESSAGE_TIMEOUT_S = 10.0

#: Time after its start in which a connection must have made a call with the name of an instance.
IDENTIFY_TIMEOUT_S = 5.0

#: Unsent bytes of a connection whose other end makes the server answer and does not read.
MAX_UNSENT_BYTES = 4 << 20


@dataclass(frozen=True, slots=True)
class PeerBounds:
    """Bounds of what other instances may make this one hold.

    :param connections: accepted connections.
    :param budget: what the process holds.
    :param message_bytes: length of a message. Snapshots of a group are single messages.
    """

    connections: int = 1024
    budget: MemoryBudget = field(default_factory=MemoryBudget)
    message_bytes: int = 64 << 20


class BoundedServer(Server):
    """Closes connections that make no call, and others for new ones when there are too many."""

    def __init__(self, handlers: list[Any], bounds: PeerBounds) -> None:
        config = Configuration(
            http2_connection_window_size=WINDOW_BYTES, http2_stream_window_size=WINDOW_BYTES
        )
        super().__init__(handlers, config=config)
        self.bounds = bounds
        self._connections: dict[Any, _Connection] = {}
        self._log = RepeatLog('shallotmux:connections-full')

    def add(self, connection: _Connection) -> None:
        """Record a connection, and close another one or this one if there are too many."""
        now = trio.current_time()
        if len(self._connections) >= self.bounds.connections:
            waits = [(each.waited_s(now), each) for each in self._connections.values()]
            for each in choose_evicted(waits, self.bounds.connections) or (connection,):
                each.evict()
            self._log.record('peers', limit=self.bounds.connections)
        if not connection.transport.is_closing():
            self._connections[connection.transport] = connection

    def remove(self, connection: _Connection) -> None:
        """Forget a connection that has ended."""
        self._connections.pop(connection.transport, None)

    @contextmanager
    def call(self, stream: Any) -> Iterator[None]:
        """Record a call of an instance on the connection of a stream, and bound its messages."""
        _bound_messages(stream, self.bounds)
        connection = self._connections.get(stream.peer._transport)  # noqa: SLF001
        if connection is None:
            yield
            return
        connection.is_identified = True
        connection.calls += 1
        try:
            yield
        finally:
            connection.calls -= 1
            connection.used_at = trio.current_time()

    def _protocol_factory(self) -> H2Protocol:
        made = super()._protocol_factory()
        return _Connection(self, made)


class _Connection(H2Protocol):
    """One accepted connection."""

    def __init__(self, server: BoundedServer, made: H2Protocol) -> None:
        super().__init__(made.handler, made.config, made.h2_config)
        self._server = server
        self.transport: Any = None
        self.is_identified = False
        self.calls = 0
        self.used_at = trio.current_time()
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Begin to serve the connection."""
        super().connection_made(transport)
        self.transport = transport
        self._timer = asyncio.get_running_loop().call_later(
            IDENTIFY_TIMEOUT_S, self._close_unless_identified
        )
        self._server.add(self)

    def data_received(self, data: bytes) -> None:
        """Process what the other end sent, unless it does not read the answers."""
        super().data_received(data)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.evict()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the calls of the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self._server.remove(self)
        super().connection_lost(exc)

    def waited_s(self, now: float) -> float:
        """Return how long the connection has had no call."""
        return 0 if self.calls else now - self.used_at

    def evict(self) -> None:
        """Close the connection."""
        self._server.remove(self)
        self.transport.abort()

    def _close_unless_identified(self) -> None:
        if not self.is_identified:
            self.evict()


def _bound_messages(stream: Any, bounds: PeerBounds) -> None:
    """Let the messages of an accepted stream be read in pieces, which are counted as they arrive."""
    source = stream._stream  # noqa: SLF001
    read = source.recv_data

    async def receive(size: int) -> bytes:
        if size <= PIECE_BYTES:
            return bytes(await read(size))
        if size > bounds.message_bytes:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, f'a message of {size} bytes')
        try:
            async with asyncio.timeout(MESSAGE_TIMEOUT_S):
                return await _gather(read, size, bounds.budget)
        except TimeoutError as error:
            raise GRPCError(Status.DEADLINE_EXCEEDED, 'a message came too slowly') from error

    source.recv_data = receive


async def _gather(read: Any, size: int, budget: MemoryBudget) -> bytes:
    parts: list[bytes] = []
    holding = Holding(budget)
    try:
        while holding.held < size:
            part = await read(min(PIECE_BYTES, size - holding.held))
            if not holding.try_add(len(part)):
                raise GRPCError(Status.RESOURCE_EXHAUSTED, 'too much is held')
            parts.append(part)
        return b''.join(parts)
    finally:
        holding.release()
