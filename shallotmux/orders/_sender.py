"""Send orders and reports only while the lease is held."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol

import httpcore
import trio

from shallotmux.authority import Authority
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import HttpClient, HttpRequest, fetch

#: Largest response to an order or report, in bytes.
ANSWER_LIMIT_BYTES = 65_536


class LeaseExpired(EndpointRefused):
    """Nothing was sent because the sender's lease has expired."""


@dataclass(frozen=True, slots=True)
class LeaseGuard:
    """Checks whether this instance still holds the lease of a term."""

    authority: Authority
    term: int

    def check(self) -> None:
        """Check that the lease is held.

        :raises LeaseExpired: if it is not.
        """
        leadership = self.authority.leadership()
        holds = leadership.is_leader and leadership.term == self.term
        if not holds or trio.current_time() >= leadership.lease_end:
            raise LeaseExpired(f'the lease of term {self.term} has expired', step='send')

    def holds(self) -> bool:
        """Tell whether the lease is held."""
        try:
            self.check()
        except LeaseExpired:
            return False
        return True


class OrderSender(Protocol):
    """Sends single requests under a lease."""

    async def send(self, request: HttpRequest, guard: LeaseGuard) -> tuple[int, bytes]:
        """Send a request once and return the status and body of the response.

        :raises LeaseExpired: if nothing was sent because the lease has expired.
        :raises EndpointRefused: if nothing was sent because the connection failed.
        :raises EndpointError: if the request may have arrived but no response did.
        """


@dataclass(frozen=True, slots=True)
class ClientSender:
    """Checks the lease once and sends through any HTTP client; for tests and the demo."""

    client: HttpClient

    async def send(self, request: HttpRequest, guard: LeaseGuard) -> tuple[int, bytes]:
        """Send a request once."""
        guard.check()
        return await fetch(self.client, request, ANSWER_LIMIT_BYTES)


@dataclass(frozen=True, slots=True)
class _GuardedStream(httpcore.AsyncNetworkStream):
    """Checks the lease immediately before each write."""

    inner: httpcore.AsyncNetworkStream
    guard: LeaseGuard

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        return await self.inner.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self.guard.check()
        await self.inner.write(buffer, timeout)

    async def aclose(self) -> None:
        await self.inner.aclose()

    def get_extra_info(self, info: str) -> Any:
        return self.inner.get_extra_info(info)


@dataclass(frozen=True, slots=True)
class _GuardedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that drop unsent bytes soon after the lease has expired."""

    inner: httpcore.AsyncNetworkBackend
    guard: LeaseGuard
    user_timeout_s: float

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        stream = await self.inner.connect_tcp(
            host, port, timeout, local_address, order_socket_options(self.user_timeout_s)
        )
        return _GuardedStream(stream, self.guard)

    async def sleep(self, seconds: float) -> None:
        await trio.sleep(seconds)


SocketOption = tuple[int, int, int] | tuple[int, int, bytes | bytearray]


def order_socket_options(user_timeout_s: float) -> tuple[SocketOption, ...]:
    """Return the socket options of connections for orders.

    With ``TCP_USER_TIMEOUT``, the kernel drops unacknowledged bytes, which it would otherwise
    retransmit after a network partition heals. ``SO_LINGER`` with a timeout of 0 resets the
    connection on close, which drops buffered bytes.
    """
    linger = struct.pack('ii', 1, 0)
    return (
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000)),
        (socket.SOL_SOCKET, socket.SO_LINGER, linger),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )


@dataclass(frozen=True, slots=True)
class GuardedSender:
    """Sends each order over a new TCP connection.

    :param user_timeout_s: time limit on unacknowledged bytes, shorter than the lease margin.
    :param answer_timeout_s: time limit on the wait for a response.
    """

    user_timeout_s: float
    answer_timeout_s: float

    async def send(self, request: HttpRequest, guard: LeaseGuard) -> tuple[int, bytes]:
        """Send a request once and close the connection."""
        backend = _GuardedBackend(httpcore.TrioBackend(), guard, self.user_timeout_s)
        headers = [(name.encode(), text.encode()) for name, text in request.headers.items()]
        timeouts = {
            'connect': self.user_timeout_s,
            'read': self.answer_timeout_s,
            'write': self.user_timeout_s,
        }
        async with httpcore.AsyncConnectionPool(network_backend=backend, retries=0) as pool:
            try:
                response = await pool.request(
                    request.method,
                    f'http://{request.address}{request.path}',
                    headers=headers,
                    content=request.body,
                    extensions={'timeout': timeouts},
                )
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                raise EndpointRefused(
                    f'cannot connect: {error!r}', step='connect', peer=request.address
                ) from error
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
            ) as error:
                raise EndpointError(
                    f'no answer: {error!r}', step='send', peer=request.address
                ) from error
            return response.status, response.content
