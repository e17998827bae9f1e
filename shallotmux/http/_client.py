"""HTTP client interface and its implementation with httpcore."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
from ssl import SSLContext
from typing import Protocol

import httpcore

from shallotmux.addresses import split_address
from shallotmux.calls import HttpRequest, build_url
from shallotmux.errors import EndpointError, EndpointRefused

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 4096
MAX_KEEPALIVE_CONNECTIONS = 256

#: Lowest status of an answer after which a connection is not used again.
MIN_REFUSAL_STATUS = 400


class HttpResponse(Protocol):
    """A response whose body is read in chunks."""

    @property
    def status(self) -> int:
        """Return the HTTP status code."""

    @property
    def headers(self) -> Mapping[str, str]:
        """Return the headers, with names in lower case."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives.

        :raises EndpointError: if the connection fails before the end of the body.
        """


class HttpClient(Protocol):
    """Sends requests to endpoints, the platform or other instances."""

    def stream(self, request: HttpRequest) -> AbstractAsyncContextManager[HttpResponse]:
        """Send a request and open its response.

        :raises EndpointRefused: if no byte of the request was sent.
        :raises EndpointError: if the connection failed after bytes may have been sent.
        """


@dataclass(frozen=True, slots=True)
class _HttpcoreResponse:
    """Response that is read through httpcore."""

    status: int
    headers: Mapping[str, str]
    response: httpcore.Response
    peer: str

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives."""
        try:
            async for chunk in self.response.aiter_stream():
                yield chunk
        except _CONNECTION_ERRORS as error:
            raise EndpointError(
                f'connection broke: {error!r}', step='stream', peer=self.peer
            ) from error


_CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


class HttpcoreClient:
    """Client with an httpcore connection pool.

    :param read_timeout_s: timeout of each read and write in seconds.
    :param ssl_context: TLS context with the trusted certificates, or None for plain HTTP.
    """

    def __init__(
        self, read_timeout_s: float = READ_TIMEOUT_S, ssl_context: SSLContext | None = None
    ) -> None:
        self._scheme = 'https' if ssl_context else 'http'
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=ssl_context,
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_KEEPALIVE_CONNECTIONS,
        )
        self._timeouts = {
            'connect': CONNECT_TIMEOUT_S,
            'read': read_timeout_s,
            'write': read_timeout_s,
            'pool': CONNECT_TIMEOUT_S,
        }

    @asynccontextmanager
    async def stream(self, request: HttpRequest) -> AsyncIterator[HttpResponse]:
        """Send a request and open its response."""
        stream_context = self._pool.stream(
            request.method,
            build_url(self._scheme, request),
            headers=[(name.encode(), text.encode()) for name, text in request.headers.items()],
            content=request.body or None,
            extensions={'timeout': self._timeouts},
        )
        try:
            response = await stream_context.__aenter__()
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            raise EndpointRefused(
                f'cannot connect: {error!r}', step='connect', peer=request.address
            ) from error
        except _CONNECTION_ERRORS as error:
            raise EndpointError(
                f'no response: {error!r}', step='dispatch', peer=request.address
            ) from error
        try:
            yield _HttpcoreResponse(
                response.status,
                {
                    str(key, 'latin-1').lower(): str(text, 'latin-1')
                    for key, text in response.headers
                },
                response,
                request.address,
            )
        finally:
            await stream_context.__aexit__(None, None, None)
            if response.status >= MIN_REFUSAL_STATUS:
                await self._close_idle(request.address)

    async def close(self) -> None:
        """Close all pooled connections."""
        await self._pool.aclose()

    async def _close_idle(self, address: str) -> None:
        """Close the idle connections to an address.

        An endpoint may write an earlier refusal once more, which would answer the next request.
        """
        target = split_address(address)
        scheme = self._scheme.encode()
        origin = httpcore.Origin(scheme, target.host.encode(), target.port)
        for connection in self._pool.connections:
            if connection.is_idle() and connection.can_handle_request(origin):
                await connection.aclose()


async def fetch(client: HttpClient, request: HttpRequest, limit_bytes: int) -> tuple[int, bytes]:
    """Send a request and read its complete response.

    :param limit_bytes: maximum size of the response body.
    :returns: status code and body.
    :raises EndpointRefused: if no byte of the request was sent.
    :raises EndpointError: if the connection fails or the body exceeds the limit.
    """
    async with client.stream(request) as response:
        return response.status, await read_response_body(response, limit_bytes, request.address)


async def read_response_body(response: HttpResponse, limit_bytes: int, peer: str) -> bytes:
    """Return the body of a response.

    :param limit_bytes: its maximum size.
    :raises EndpointError: if the connection fails or the body exceeds the limit.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.chunks():
        size += len(chunk)
        if size > limit_bytes:
            raise EndpointError(f'response exceeds {limit_bytes} bytes', step='stream', peer=peer)
        chunks.append(chunk)
    return b''.join(chunks)
