"""In-memory HTTP network for tests on the test clock."""

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

    Applications and clients have an address; a cut between two addresses refuses new connections
    and breaks open ones. ``delay_s`` is the one-way delay of every link.
    """

    nursery: trio.Nursery
    delay_s: float = 0.001
    apps: dict[str, AsgiApp] = field(default_factory=dict)
    cuts: set[frozenset[str]] = field(default_factory=set)
    _open: list[tuple[frozenset[str], trio.CancelScope]] = field(default_factory=list)

    def serve(self, address: str, app: AsgiApp) -> None:
        """Make an application reachable under an address."""
        self.apps[address] = app

    def stop(self, address: str) -> None:
        """Crash the application at an address and break its connections."""
        self.apps.pop(address, None)
        self._break(lambda ends: address in ends)

    def cut(self, first: str, second: str) -> None:
        """Break all connections between two addresses until they are healed."""
        ends = frozenset((first, second))
        self.cuts.add(ends)
        self._break(lambda each: each == ends)

    def heal(self) -> None:
        """Remove all cuts."""
        self.cuts.clear()

    def client(self, source: str) -> MemoryClient:
        """Return an HTTP client that sends from an address."""
        return MemoryClient(self, source)

    def track(self, ends: frozenset[str], cancel: trio.CancelScope) -> tuple[Any, ...]:
        """Register an open connection and return its handle."""
        entry = (ends, cancel)
        self._open.append(entry)
        return entry

    def forget(self, entry: tuple[Any, ...]) -> None:
        """Remove a connection registered by :meth:`track`."""
        self._open.remove(entry)

    def _break(self, matches: Any) -> None:
        for ends, cancel in self._open:
            if matches(ends):
                cancel.cancel()


@dataclass(frozen=True, slots=True)
class _MemoryResponse:
    """Answer read from an in-memory channel."""

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
                raise EndpointError('connection broke', step='stream', peer=self.peer) from None
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
        """Send a request and open its answer."""
        ends = frozenset((self.source, request.address))
        await trio.sleep(self.network.delay_s)
        app = self.network.apps.get(request.address)
        if app is None or ends in self.network.cuts:
            raise EndpointRefused('cannot connect', step='connect', peer=request.address)
        outgoing, incoming = trio.open_memory_channel[dict[str, Any]](math.inf)
        cancel = trio.CancelScope()
        self.network.nursery.start_soon(_run_app, self, app, request, outgoing, cancel)
        try:
            yield await _open_response(request, incoming)
        finally:
            cancel.cancel()
            incoming.close()


async def _open_response(
    request: HttpRequest, incoming: trio.MemoryReceiveChannel[dict[str, Any]]
) -> _MemoryResponse:
    try:
        start = await incoming.receive()
    except trio.EndOfChannel:
        raise EndpointError('no answer', step='dispatch', peer=request.address) from None
    headers = {str(key, 'latin-1').lower(): str(text, 'latin-1') for key, text in start['headers']}
    return _MemoryResponse(start['status'], headers, incoming, request.address)


async def _run_app(
    client: MemoryClient,
    app: AsgiApp,
    request: HttpRequest,
    outgoing: trio.MemorySendChannel[dict[str, Any]],
    cancel: trio.CancelScope,
) -> None:
    network = client.network
    entry = network.track(frozenset((client.source, request.address)), cancel)
    sent = False

    async def receive() -> dict[str, Any]:
        nonlocal sent
        if sent:
            await trio.sleep_forever()
        sent = True
        return {'type': 'http.request', 'body': request.body, 'more_body': False}

    async def send(message: Any) -> None:
        await trio.sleep(network.delay_s)
        await outgoing.send(message)

    parts = urlsplit(request.path)
    scope = {
        'type': 'http',
        'http_version': '1.1',
        'method': request.method,
        'path': parts.path,
        'query_string': parts.query.encode(),
        'headers': [
            (name.lower().encode('latin-1'), text.encode('latin-1'))
            for name, text in request.headers.items()
        ],
        'client': (client.source, 0),
    }
    with cancel, outgoing:
        try:
            await app(scope, receive, send)
        except (ConnectionError, trio.BrokenResourceError):
            pass  # The application crashed or the client went away; closing the channel tells it.
    network.forget(entry)
