"""Clients that hold connections in ways that cost a server memory or descriptors.

What a crowd sends is bounded by bytes. A connection whose peer accepts nothing for a while is left as it
is; it stays open until the crowd ends.
"""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import ExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field

import trio

#: Number of connections of a crowd.
CROWD = 20

#: Time after which a peer that accepts nothing counts as having stopped to read.
QUIET_S = 2.0

#: Receive buffer of clients that never read, so that answers wait in the server.
SMALL_BUFFER_BYTES = 4096

CHUNK_BYTES = 65_536


@dataclass(slots=True)
class Crowd:
    """Connections to one address.

    :param address: host and port of the server.
    :param source: IP address to connect from; empty to let the system choose.
    """

    address: str
    source: str = ''
    sockets: list[trio.socket.SocketType] = field(default_factory=list)
    stack: ExitStack = field(default_factory=ExitStack)
    #: Bytes that the server, or its kernel, has accepted.
    accepted: int = 0

    async def open(self, count: int = CROWD) -> None:
        """Open connections; those that are not accepted count as refused."""
        for _ in range(count):
            await self._connect()

    async def send(self, content: bytes, total: int) -> None:
        """Send some content again and again on each connection, up to a number of bytes.

        :param total: bytes on each connection.
        """
        async with trio.open_nursery() as nursery:
            for sock in self.sockets:
                nursery.start_soon(self._send, sock, content, total)

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(':')
        sock = self.stack.enter_context(trio.socket.socket())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        if self.source:
            await sock.bind((self.source, 0))
        with trio.move_on_after(QUIET_S):
            try:
                await sock.connect((host, int(port)))
            except OSError:
                return
            self.sockets.append(sock)

    async def _send(self, sock: trio.socket.SocketType, content: bytes, total: int) -> None:
        for part in repeat_content(content, total):
            rest = part
            while rest:
                sent = await self._send_some(sock, rest)
                if not sent:
                    return
                rest = rest[sent:]

    async def _send_some(self, sock: trio.socket.SocketType, content: bytes) -> int:
        """Send a part of some content; returns 0 if the peer accepts nothing."""
        sent = 0
        with trio.move_on_after(QUIET_S), suppress(OSError):
            sent = await sock.send(content)
        self.accepted += sent
        return sent


def repeat_content(content: bytes, total: int) -> Iterator[bytes]:
    """Return parts of some content that is repeated up to a number of bytes, and cut there."""
    if len(content) > total:
        raise ValueError('the content is longer than what may be sent')
    unit = content * max(1, CHUNK_BYTES // len(content))
    while total > 0:
        part = unit[:total]
        for start in range(0, len(part), CHUNK_BYTES):
            yield part[start : start + CHUNK_BYTES]
        total -= len(part)


@asynccontextmanager
async def gather_crowd(address: str, source: str = '', count: int = CROWD) -> AsyncIterator[Crowd]:
    """Open the connections of a crowd, and close them when the context exits."""
    crowd = Crowd(address, source)
    with crowd.stack:
        await crowd.open(count)
        yield crowd
