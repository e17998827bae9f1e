"""In-memory HTTP network for tests with a mock clock."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

import trio

from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import AsgiApp, HttpRequest, HttpResponse


@dataclass(slots=True)
class MemoryNetwork:
    """Connects clients to ASGI applications without sockets.

    Applications and clients have an address. A partition between two addresses refuses new
    connections and closes open ones.

    :param delay_s: one-way delay of every link.
    :param partitions: pairs of addresses that cannot reach each other.
    """

    nursery: trio.Nursery
    delay_s: float = 0.001
    apps: dict[str, AsgiApp] = field(default_factory=dict)
    partitions: set[frozenset[str]] = field(default_factory=set)
    _connections: list[tuple[frozenset[str], trio.CancelScope]] = field(default_factory=list)

    def serve(self, address: str, app: AsgiApp) -> None:
        """Make an application reachable under an address."""
        self.apps[address] = app

    def stop(self, address: str) -> None:
        """Remove the application at an address and close its connections, as in a crash."""
        self.apps.pop(address, None)
        self._cancel_connections(lambda pair: address in pair)

    def partition(self, first: str, second: str) -> None:
        """Close all connections between two addresses and refuse new ones until :meth:`heal`."""
        pair = frozenset((first, second))
        self.partitions.add(pair)
        self._cancel_connections(lambda each: each == pair)

    def heal(self) -> None:
        """Remove all partitions."""
        self.partitions.clear()

    def client(self, source: str) -> MemoryClient:
        """Return an HTTP client that sends from an address."""
        return MemoryClient(self, source)

    def track(self, pair: frozenset[str], cancel_scope: trio.CancelScope) -> tuple[Any, ...]:
        """Register an open connection and return its handle."""
        entry = (pair, cancel_scope)
        self._connections.append(entry)
        return entry

    def untrack(self, entry: tuple[Any, ...]) -> None:
        """Remove a connection registered by :meth:`track`."""
        self._connections.remove(entry)

    def _cancel_connections(self, matches: Any) -> None:
        for pair, cancel_scope in self._connections:
            if matches(pair):
                cancel_scope.cancel()


@dataclass(frozen=True, slots=True)
class _MemoryResponse:
    """Response read from an in-memory channel."""

    status: int
    headers: Mapping[str, str]
    incoming: trio.MemoryReceiveChannel[dict[str, Any]]
    peer: str

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives."""
        while True:
            try:
                message = await self.incoming.receive()
            except trio.EndOfChannel:
                raise EndpointError(
                    'connection closed before the end of the response',
                    step='stream',
                    peer=self.peer,
                ) from None
            if message['body']:
                yield message['body']
            if not message.get('more_body', False):
                return


@dataclass(frozen=True, slots=True)
class MemoryClient:
    """HTTP client on a :class:`MemoryNetwork`."""

    network: MemoryNetwork
    source: str

    @asynccontextmanager
    async def stream(self, request: HttpRequest) -> AsyncIterator[HttpResponse]:
        """Send a request and open its response.

        :raises EndpointRefused: if no application is reachable at the address.
        :raises EndpointError: if the connection closes before the start of the response.
        """
        pair = frozenset((self.source, request.address))
        await trio.sleep(self.network.delay_s)
        app = self.network.apps.get(request.address)
        if app is None or pair in self.network.partitions:
            raise EndpointRefused('cannot connect', step='connect', peer=request.address)
        outgoing, incoming = trio.open_memory_channel[dict[str, Any]](math.inf)
        cancel_scope = trio.CancelScope()
        self.network.nursery.start_soon(_run_app, self, app, request, outgoing, cancel_scope)
        try:
            yield await _open_response(request, incoming)
        finally:
            cancel_scope.cancel()
            incoming.close()


async def _open_response(
    request: HttpRequest, incoming: trio.MemoryReceiveChannel[dict[str, Any]]
) -> _MemoryResponse:
    try:
        start = await incoming.receive()
    except trio.EndOfChannel:
        raise EndpointError(
            'connection closed before the start of the response',
            step='dispatch',
            peer=request.address,
        ) from None
    headers = {
        str(name, 'latin-1').lower(): str(text, 'latin-1') for name, text in start['headers']
    }
    return _MemoryResponse(start['status'], headers, incoming, request.address)


async def _run_app(
    client: MemoryClient,
    app: AsgiApp,
    request: HttpRequest,
    outgoing: trio.MemorySendChannel[dict[str, Any]],
    cancel_scope: trio.CancelScope,
) -> None:
    network = client.network
    entry = network.track(frozenset((client.source, request.address)), cancel_scope)
    is_body_sent = False

    async def receive() -> dict[str, Any]:
        nonlocal is_body_sent
        if is_body_sent:
            await trio.sleep_forever()
        is_body_sent = True
        return {'type': 'http.request', 'body': request.body, 'more_body': False}

    async def send(message: Any) -> None:
        await trio.sleep(network.delay_s)
        await outgoing.send(message)

    url = urlsplit(request.path)
    scope = {
        'type': 'http',
        'http_version': '1.1',
        'method': request.method,
        'path': url.path,
        'query_string': url.query.encode(),
        'headers': [
            (name.lower().encode('latin-1'), text.encode('latin-1'))
            for name, text in request.headers.items()
        ],
        'client': (client.source, 0),
    }
    with cancel_scope, outgoing:
        try:
            await app(scope, receive, send)
        except (ConnectionError, trio.BrokenResourceError):
            # The application crashed or the client disconnected; the closed channel signals it.
            pass
    network.untrack(entry)
