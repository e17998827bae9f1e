"""A loopback link that can be cut, between one instance and one endpoint."""

from __future__ import annotations

import enum
import socket
from dataclasses import dataclass, field

import trio

from tests.forwarding._harness import reset

MAX_READ_BYTES = 65_536
BACKLOG = 128

#: Connections that fill the accept queue of a listener with a backlog of 0, so that the kernel drops
#: further ones as a partitioned network does.
FILLING_CONNECTIONS = 3


class Cut(enum.Enum):
    """How a link is cut."""

    #: New connections are refused, and open ones are reset.
    RESET = 'reset'
    #: New connections are refused, and open ones go on.
    REFUSE = 'refuse'
    #: New connections are never answered, and nothing passes on open ones.
    SILENT = 'silent'


@dataclass(slots=True)
class Link:
    """Forwards connections to an address until it is cut.

    :param target: address that connections are forwarded to.
    """

    target: str
    address: str = ''
    connections: int = 0
    _cut: Cut | None = None
    _healed: trio.Event = field(default_factory=trio.Event)
    _reservation: socket.socket | None = None
    _listener: socket.socket | None = None
    _fillers: list[socket.socket] = field(default_factory=list)
    _open: set[trio.SocketStream] = field(default_factory=set)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled."""
        # A bound socket that never listens keeps the port, which another process could take while the
        # link is cut.
        self._reservation = _bind(('127.0.0.1', 0))
        host, port = self._reservation.getsockname()
        self.address = f'{host}:{port}'
        self._listen()
        self._healed.set()
        task_status.started()
        async with trio.open_nursery() as nursery:
            while True:
                await self._healed.wait()
                await self._accept(nursery)

    def cut(self, how: Cut) -> None:
        """Cut the link."""
        self._cut = how
        self._healed = trio.Event()
        listener = self._listener
        if listener is None:
            return
        if how is Cut.SILENT:
            listener.listen(0)
            self._fillers = [_start_connecting(self.address) for _ in range(FILLING_CONNECTIONS)]
            return
        listener.close()
        if how is Cut.RESET:
            for stream in tuple(self._open):
                reset(stream)
                stream.socket.close()

    def heal(self) -> None:
        """End the cut."""
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        if self._cut is not Cut.SILENT:
            self._listen()
        elif self._listener is not None:
            self._listener.listen(BACKLOG)
        self._cut = None
        self._healed.set()

    def _listen(self) -> None:
        host, _, port = self.address.rpartition(':')
        self._listener = _bind((host, int(port)))
        self._listener.listen(BACKLOG)
        self._listener.setblocking(False)

    async def _accept(self, nursery: trio.Nursery) -> None:
        """Accept connections until the link is cut."""
        listener = self._listener
        while listener is not None and self._cut is None:
            try:
                accepted, _ = listener.accept()
            except BlockingIOError:
                await trio.sleep(0.002)
            except OSError:
                return
            else:
                self.connections += 1
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
                nursery.start_soon(self._forward, stream)

    async def _forward(self, stream: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            other = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.aclose_forcefully(stream)
            return
        self._open.add(stream)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, stream, other, nursery.cancel_scope)
                nursery.start_soon(self._copy, other, stream, nursery.cancel_scope)
        finally:
            self._open.discard(stream)
            await trio.aclose_forcefully(other)
            await trio.aclose_forcefully(stream)

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        try:
            content = await source.receive_some(MAX_READ_BYTES)
            while content:
                if self._cut is Cut.SILENT:
                    await self._healed.wait()
                await sink.send_all(content)
                content = await source.receive_some(MAX_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


def _bind(address: tuple[str, int]) -> socket.socket:
    """Return a socket that shares its address with others that do not listen."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(address)
    return bound


def _start_connecting(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    connecting = socket.socket()
    connecting.setblocking(False)
    connecting.connect_ex((host, int(port)))
    return connecting
