"""HTTP/1.1 server for callers, without changes to forwarded requests and answers."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from eliot import log_message

from shallotmux.addresses import split_address
from shallotmux.binding import bind_when_free
from shallotmux.forwarding._caller_connection import CallerConnection, Handler
from shallotmux.forwarding._names import HeaderNames
from shallotmux.membounds import BoundedListener, ConnectionSlots, MemoryBudget
from shallotmux.routes import CallerLimits

#: Listen backlog.
BACKLOG = 1024

#: Total bytes of request bodies that a listener keeps in memory, whole or in part.
MAX_BUFFERED_BODY_BYTES = 48 << 20


@dataclass(slots=True)
class HttpListener:
    """Listens on one address and passes requests to a handler.

    :param address: IP address and port; port 0 lets the operating system choose.
    :param limits: returns the limits in force.
    :param max_buffered_bytes: limit of ``buffered_body_bytes``.
    :param accepts: tells by the host of a connection's other end whether it is taken.
    :param is_draining: whether answers carry ``Connection: close``.
    :param is_closed: whether no further request is taken, on any connection.
    :param budget: what the process holds; shared by its listeners.
    :param slots: connections of this listener.
    :param request_id_header: name of the header by which faults are logged.
    """

    address: str
    handle: Handler
    limits: Callable[[], CallerLimits] = CallerLimits
    accepts: Callable[[str], bool] = lambda _: True
    is_draining: bool = False
    is_closed: bool = False
    max_buffered_bytes: int = MAX_BUFFERED_BODY_BYTES
    request_id_header: bytes = HeaderNames().request_id
    budget: MemoryBudget = field(default_factory=MemoryBudget)
    slots: ConnectionSlots = field(default_factory=ConnectionSlots)
    #: Requests being read or answered.
    open_requests: int = 0
    #: Bytes of request bodies that are being read or answered.
    buffered_body_bytes: int = 0
    _connections: set[CallerConnection] = field(default_factory=set)
    _accepting: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def run(self, *, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; ``task_status`` receives the bound address."""
        listeners = await bind_when_free(self.address, self._open)
        async with trio.open_nursery() as nursery:
            with self._accepting:
                name = listeners[0].socket.getsockname()
                task_status.started(f'{name[0]}:{name[1]}')
                bounded = [BoundedListener(each, self.slots) for each in listeners]
                await trio.serve_listeners(self._serve, bounded, handler_nursery=nursery)

    def drain(self) -> None:
        """Close connections after their next answer; new ones are still accepted."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Stop accepting connections, and close them as they become idle."""
        self.is_closed = True
        self._accepting.cancel()
        for connection in tuple(self._connections):
            connection.close_if_idle()

    async def _open(self) -> list[trio.SocketListener]:
        bound = split_address(self.address)
        return await trio.open_tcp_listeners(bound.port, host=bound.host, backlog=BACKLOG)

    async def _serve(self, stream: trio.SocketStream) -> None:
        """Serve a connection; no fault on one must end the listener, and with it the process."""
        try:
            if self._is_accepted(stream):
                stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self._run_connection(stream)
        except* Exception as error:
            # A fault that ends a handler while it is cancelled arrives in a group with the cancellation.
            log_message(
                message_type='shallotmux:connection-fault', level='error', error=repr(error)
            )
        finally:
            self.slots.taken -= 1
            await trio.aclose_forcefully(stream)

    def _is_accepted(self, stream: trio.SocketStream) -> bool:
        try:
            host = stream.socket.getpeername()[0]
        except OSError:
            # The other end has closed the connection already.
            return False
        return self.accepts(host)

    async def _run_connection(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(self, stream)
        self._connections.add(connection)
        self.slots.occupants.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            self.slots.occupants.discard(connection)
            connection.reset_unless_end_is_marked()
