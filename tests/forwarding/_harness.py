"""Test harness: a forwarder between scripted endpoints and raw callers, over loopback."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

import h11
import trio

from shallotmux.fleet import EngineRole, FleetView, ListedEndpoint, Listing
from shallotmux.forwarding import (
    ConnectionPool,
    Dialect,
    EndpointDirectory,
    Forwarder,
    ForwarderParts,
    HeaderNames,
    HttpListener,
    Job,
    RetryBudgetLimits,
    SharedRetryBudget,
    build_forwarder,
)
from shallotmux.origins import StreamOrigins, make_origin_key
from shallotmux.routes import (
    CallerLimits,
    DocumentCustomer,
    ForwardedRoute,
    RouteDocument,
    RouteKind,
    Service,
    ServiceShare,
)

NAMES = HeaderNames()
KEY = 'k1'
LIMITS = CallerLimits(
    header_bytes=4096, body_bytes=8_000_000, header_timeout_s=0.2, idle_timeout_s=5
)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as an endpoint received it."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


#: Answers one request on a connection; returns whether the connection stays open.
Script = Callable[[trio.SocketStream, ReceivedRequest], Awaitable[bool]]


def answer(
    received: ReceivedRequest,
    body: bytes = b'done',
    *,
    status: int = 200,
    extra: bytes = b'',
    request_id: bytes = b'',
) -> bytes:
    """Return a valid answer to a request."""
    identity = request_id or received.headers[NAMES.request_id]
    return b'HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s' % (
        status,
        identity,
        len(body),
        extra,
        body,
    )


@dataclass(slots=True)
class ScriptedEndpoint:
    """An endpoint that answers as a script says."""

    script: Script
    address: str = ''
    received: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    #: Set when a connection to this endpoint has ended.
    closed: trio.Event = field(default_factory=trio.Event)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        host, port = listeners[0].socket.getsockname()[:2]
        self.address = f'{host}:{port}'
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        protocol = h11.Connection(h11.SERVER)
        try:
            while True:
                received = await _read_request(stream, protocol)
                if received is None:
                    break
                self.received.append(received)
                if not await self.script(stream, received):
                    break
                protocol = h11.Connection(h11.SERVER)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed.set()
        finally:
            self.closed.set()
            await trio.aclose_forcefully(stream)


async def _read_request(
    stream: trio.SocketStream, protocol: h11.Connection
) -> ReceivedRequest | None:
    head: h11.Request | None = None
    body = b''
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some())
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return ReceivedRequest(bytes(head.method), bytes(head.target), dict(head.headers), body)
        else:
            return None


def reset(stream: trio.SocketStream) -> None:
    """Make closing the connection send a reset."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))


def route(name: str, kind: RouteKind, **changes: object) -> ForwardedRoute:
    """Return a route under ``/name/`` to the service ``desk``."""
    fields: dict[str, object] = {'timeout_ms': 2000, 'latency_objective_ms': 0, 'max_attempts': 2}
    fields.update(changes)
    return ForwardedRoute(
        name, 'shop.example', f'/{name}/', kind, (ServiceShare('desk', 1),), **fields
    )


ROUTES = (
    route('safe', RouteKind.SAFE),
    route('quick', RouteKind.SAFE, latency_objective_ms=50),
    route('once', RouteKind.UNSAFE),
    route('stream', RouteKind.STREAMING),
    route('resume', RouteKind.STREAMING, is_resumable=True, max_attempts=3),
    route('live', RouteKind.STREAMING, is_resumable=True, latency_objective_ms=50, max_attempts=3),
    route('short', RouteKind.UNSAFE, timeout_ms=100),
    route('open', RouteKind.SAFE, is_open=True),
)


@dataclass(slots=True)
class ForwarderHarness:
    """A running forwarder.

    :param started_customers: customers of the jobs that were reported as started.
    """

    address: str
    forwarder: Forwarder
    listener: HttpListener
    pool: ConnectionPool
    started_customers: list[str] = field(default_factory=list)

    def origin_key(self, request_id: str) -> int:
        """Return the key of a stream that a request to ``/resume/`` began."""
        return make_origin_key(request_id.encode(), b'/resume/', 'tailors')

    async def connect(self) -> trio.SocketStream:
        """Open a connection as a caller."""
        host, _, port = self.address.rpartition(':')
        return await trio.open_tcp_stream(host, int(port))

    async def make_request(self, path: str, **options: object) -> ReceivedAnswer:
        """Send one request on a connection of its own, and read the whole answer."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(build_request(path, **options))
            return await read_answer(stream)


@dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """An answer as a caller received it.

    :param is_complete: whether its end was seen.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_complete: bool = True


def build_request(
    path: str,
    *,
    method: str = 'POST',
    body: bytes = b'work',
    request_id: str = 'r-1',
    key: str = KEY,
    extra: str = '',
) -> bytes:
    """Return the bytes of a request."""
    authorization = f'Authorization: Bearer {key}\r\n' if key else ''
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {request_id}\r\n'
        f'{authorization}{extra}Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def read_answer(stream: trio.SocketStream) -> ReceivedAnswer:
    """Read one answer; bytes after it on the connection are discarded."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method='POST', target='/', headers=[('host', 'x')]))
    protocol.send(h11.EndOfMessage())
    got = ReceivedAnswer(0, {}, b'', is_complete=False)
    try:
        with trio.fail_after(5):
            while not got.is_complete:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    protocol.receive_data(await stream.receive_some())
                elif isinstance(event, h11.Response):
                    got = ReceivedAnswer(
                        event.status_code, dict(event.headers), b'', is_complete=False
                    )
                elif isinstance(event, h11.Data):
                    got = ReceivedAnswer(
                        got.status, got.headers, got.body + bytes(event.data), False
                    )
                else:
                    got = ReceivedAnswer(
                        got.status, got.headers, got.body, isinstance(event, h11.EndOfMessage)
                    )
                    break
    except (h11.RemoteProtocolError, trio.BrokenResourceError):
        return got
    return got


@asynccontextmanager
async def run_forwarder(
    *endpoints: ScriptedEndpoint,
    budget: RetryBudgetLimits | None = None,
    dialect: Dialect | None = None,
    versions: Sequence[str] = (),
    zones: Sequence[str] = (),
) -> AsyncIterator[ForwarderHarness]:
    """Run endpoints ``e-0``, ``e-1`` ... and a forwarder in front of them.

    :param versions: software version of each endpoint; empty for the same one.
    :param zones: zone of each endpoint; if empty, the first one is in the zone of the forwarder.
    """
    async with trio.open_nursery() as nursery:
        for endpoint in endpoints:
            await nursery.start(endpoint.run)
        view = FleetView()
        view.apply_document(
            RouteDocument(
                1,
                ROUTES,
                (Service('desk', '/healthz', 8),),
                LIMITS,
                (DocumentCustomer('tailors', (KEY,)),),
            )
        )
        pool = ConnectionPool(NAMES.request_id)
        directory = EndpointDirectory(pool.forget)
        listed = (
            # The first endpoint is in the zone of the forwarder, so it is tried first.
            ListedEndpoint(
                f'e-{number}',
                'desk',
                each.address,
                zones[number] if zones else 'ab'[number > 0],
                4,
                role=EngineRole.MIXED,
                software_version=versions[number] if versions else 'v1',
            )
            for number, each in enumerate(endpoints)
        )
        listing = Listing(tuple(listed))
        directory.update_listing(listing)
        dialect = dialect or Dialect()
        started_customers: list[str] = []

        def record_run_started(job: Job) -> None:
            started_customers.append(job.customer)

        origins = StreamOrigins()
        origins.history.assume_complete()
        listed_versions = {(each.service, each.software_version) for each in listing.endpoints}
        origins.observe(listed_versions, trio.current_time())
        retry_budget = SharedRetryBudget(budget or RetryBudgetLimits(), lambda: 1)
        forwarder = build_forwarder(
            ForwarderParts(
                'a',
                view,
                dialect,
                pool,
                directory,
                retry_budget,
                record_run_started,
                random=Random(1),
                origins=origins,
            )
        )
        listener = HttpListener('127.0.0.1:0', forwarder.handle, lambda: LIMITS)
        address = await nursery.start(listener.run)
        yield ForwarderHarness(address, forwarder, listener, pool, started_customers)
        nursery.cancel_scope.cancel()
