"""Send single requests only while a guard allows it, such as a lease that is held."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol

import httpcore
import trio

from shallotmux.calls._request import HttpRequest, build_url
from shallotmux.errors import EndpointError, EndpointRefused

#: Largest answer to a guarded request, in bytes.
MAX_ANSWER_BYTES = 65_536

#: Errors after which a request may have arrived.
NO_ANSWER_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    trio.TooSlowError,
)


class LeaseExpired(EndpointRefused):
    """Nothing was sent because the sender's lease has expired."""


class SendGuard(Protocol):
    """Tells whether a request may still be sent."""

    def check(self) -> None:
        """Return if the request may be sent.

        :raises LeaseExpired: if it may not.
        """


@dataclass(frozen=True, slots=True)
class _GuardedStream(httpcore.AsyncNetworkStream):
    """Checks the lease immediately before each write."""

    inner: httpcore.AsyncNetworkStream
    guard: SendGuard

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
    guard: SendGuard
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

    async def send(self, request: HttpRequest, guard: SendGuard) -> tuple[int, bytes]:
        """Send a request once and close the connection."""
        backend = _GuardedBackend(httpcore.TrioBackend(), guard, self.user_timeout_s)
        timeouts = {
            'connect': self.user_timeout_s,
            'read': self.answer_timeout_s,
            'write': self.user_timeout_s,
        }
        try:
            with trio.fail_after(2 * self.user_timeout_s + self.answer_timeout_s):
                return await _exchange(backend, request, timeouts)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise EndpointRefused(
                f'cannot connect: {error!r}', step='connect', peer=request.address
            ) from error
        except NO_ANSWER_ERRORS as error:
            raise EndpointError(
                f'no answer: {error!r}', step='send', peer=request.address
            ) from error


async def _exchange(
    backend: httpcore.AsyncNetworkBackend, request: HttpRequest, timeouts: dict[str, float]
) -> tuple[int, bytes]:
    """Send a request over a new connection and return the status and body of the answer."""
    async with (
        httpcore.AsyncConnectionPool(network_backend=backend, retries=0) as pool,
        pool.stream(
            request.method,
            build_url('http', request),
            headers=[(name.encode(), text.encode()) for name, text in request.headers.items()],
            content=request.body,
            extensions={'timeout': timeouts},
        ) as response,
    ):
        return response.status, await read_bounded(response, MAX_ANSWER_BYTES, request.address)


async def read_bounded(response: httpcore.Response, limit: int, peer: str) -> bytes:
    """Return the body of an answer.

    :param limit: largest size in bytes.
    :raises EndpointError: if it is longer.
    """
    content = bytearray()
    async for part in response.aiter_stream():
        content += part
        if len(content) > limit:
            raise EndpointError('the answer is too long', step='receive', peer=peer)
    return bytes(content)
