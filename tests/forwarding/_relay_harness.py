"""Test harness: instances that relay requests for each other, over loopback."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

import trio

from shallotmux.fleet import FleetView, ListedEndpoint, Listing
from shallotmux.forwarding import (
    ConnectionPool,
    Dialect,
    EndpointDirectory,
    Forwarder,
    ForwarderParts,
    HttpListener,
    Job,
    RelayedRequests,
    RetryBudgetLimits,
    SharedRetryBudget,
    build_forwarder,
)
from shallotmux.origins import StreamOrigins
from shallotmux.relaying import RelayPeers
from shallotmux.routes import DocumentCustomer, RouteDocument, Service
from tests.forwarding._harness import (
    KEY,
    LIMITS,
    NAMES,
    ROUTES,
    ReceivedAnswer,
    ScriptedEndpoint,
    build_request,
    read_answer,
)

#: Port at which all instances of these tests take relayed requests; their hosts differ.
RELAY_PORT = 17_785


@dataclass(slots=True)
class RelayInstance:
    """An entry instance of the harness."""

    name: str
    forwarder: Forwarder
    relayed: RelayedRequests
    relay_listener: HttpListener
    address: str = ''
    is_draining: bool = False
    started: list[str] = field(default_factory=list)

    async def connect(self) -> trio.SocketStream:
        """Open a connection as a caller."""
        host, _, port = self.address.rpartition(':')
        return await trio.open_tcp_stream(host, int(port))

    async def send(self, path: str, **options: object) -> ReceivedAnswer:
        """Send one request on a connection of its own, and read the whole answer."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(build_request(path, **options))  # type: ignore[arg-type]
            return await read_answer(stream)


@dataclass(slots=True)
class RelayFleet:
    """Instances that know of each other.

    :param base: first three numbers of their loopback addresses.
    """

    base: str
    nursery: trio.Nursery
    instances: dict[int, RelayInstance] = field(default_factory=dict)

    def entries(self) -> tuple[str, ...]:
        """Return the peer addresses of all instances."""
        return tuple(each.name for each in self.instances.values())

    async def add(
        self,
        number: int,
        endpoints: dict[str, str],
        *,
        versions: dict[str, str] | None = None,
        document_version: int = 1,
        remote: str = '',
    ) -> RelayInstance:
        """Run an instance that sees endpoints at the given addresses, by identity.

        :param remote: endpoint that is in another zone.
        """
        name = f'{self.base}.{number}:1'
        view = FleetView()
        customers = (DocumentCustomer('tailors', (KEY,)),)
        services = (Service('desk', '/healthz', 8),)
        view.apply_document(RouteDocument(document_version, ROUTES, services, LIMITS, customers))
        pool = ConnectionPool(NAMES.request_id)
        directory = EndpointDirectory(pool.forget)
        software = versions or {}
        listing = Listing(
            tuple(
                ListedEndpoint(
                    identity,
                    'desk',
                    address,
                    'b' if identity == remote else 'a',
                    4,
                    software_version=software.get(identity, 'v1'),
                )
                for identity, address in endpoints.items()
            )
        )
        directory.update_listing(listing)
        origins = StreamOrigins()
        origins.history.assume_complete()
        origins.observe(listing.versions(), trio.current_time())
        started: list[str] = []

        def record_started(job: Job) -> None:
            started.append(job.request_id.decode())

        forwarder = build_forwarder(
            ForwarderParts(
                'a',
                view,
                Dialect(),
                pool,
                directory,
                SharedRetryBudget(RetryBudgetLimits(), lambda: 1),
                record_started,
                origins=origins,
                peers=RelayPeers(name, RELAY_PORT, self.entries),
            )
        )
        relayed = RelayedRequests(forwarder, lambda: instance.is_draining)
        limits = replace(LIMITS, header_bytes=2 * LIMITS.header_bytes)
        relay_listener = HttpListener(
            f'{self.base}.{number}:{RELAY_PORT}',
            relayed.handle,
            lambda: limits,
            forwarder.peers.accepts,
        )
        instance = RelayInstance(name, forwarder, relayed, relay_listener, started=started)
        self.instances[number] = instance
        listener = HttpListener('127.0.0.1:0', forwarder.handle, lambda: LIMITS)
        instance.address = await self.nursery.start(listener.run)
        await self.nursery.start(relay_listener.run)
        self.nursery.start_soon(directory.reach.run)
        return instance


@asynccontextmanager
async def run_relay_fleet(base: str) -> AsyncIterator[RelayFleet]:
    """Run a fleet to which a test adds instances."""
    async with trio.open_nursery() as nursery:
        yield RelayFleet(base, nursery)
        nursery.cancel_scope.cancel()


async def add_endpoint(fleet: RelayFleet, endpoint: ScriptedEndpoint) -> str:
    """Run an endpoint, and return its address."""
    await fleet.nursery.start(endpoint.run)
    return endpoint.address


async def run_raw_peer(
    base: str,
    number: int,
    handle: Callable[[trio.SocketStream], Awaitable[None]],
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Take relayed requests as a script says, until cancelled."""
    listeners = await trio.open_tcp_listeners(RELAY_PORT, host=f'{base}.{number}')
    task_status.started()
    await trio.serve_listeners(handle, listeners)
