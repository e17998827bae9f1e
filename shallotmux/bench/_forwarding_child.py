"""Child processes of the forwarder's benchmark: an endpoint, and a forwarder in front of it.

Run as ``python -m shallotmux.bench._forwarding_child endpoint`` or ``... forwarder ADDRESS``.
"""

from __future__ import annotations

import sys

import trio

from shallotmux.fleet import FleetView, ListedEndpoint, Listing
from shallotmux.forwarding import (
    CallerRequest,
    ConnectionPool,
    Dialect,
    EndpointDirectory,
    Forwarder,
    ForwarderParts,
    HttpListener,
    Reply,
    RetryBudgetLimits,
    SharedRetryBudget,
    build_forwarder,
    send_response,
)
from shallotmux.routes import (
    CallerLimits,
    ForwardedRoute,
    RouteDocument,
    RouteKind,
    Service,
    ServiceShare,
)

LOOPBACK = '127.0.0.1:0'
ZONE = 'zone-a'
SERVICE = 'desk'
HOST = 'bench.example'
BODY = b'done' * 200
TIMEOUT_MS = 10_000.0
LIMITS = CallerLimits()


async def answer(request: CallerRequest, reply: Reply) -> None:
    """Answer like an endpoint, with the id of the request in the response headers."""
    request_id = request.header(Dialect().names.request_id) or b''
    await send_response(reply, 200, BODY, ((Dialect().names.request_id, request_id),))


def build_bench_forwarder(endpoint: str) -> Forwarder:
    """Return a forwarder with one route to one endpoint."""
    route = ForwardedRoute(
        'bench', HOST, '/', RouteKind.UNSAFE, (ServiceShare(SERVICE, 1),), TIMEOUT_MS, is_open=True
    )
    view = FleetView()
    view.apply_document(RouteDocument(1, (route,), (Service(SERVICE, '/healthz', 64),), LIMITS, ()))
    dialect = Dialect()
    pool = ConnectionPool(dialect.names.request_id)
    directory = EndpointDirectory(pool.forget)
    directory.update_listing(Listing((ListedEndpoint('e-0', SERVICE, endpoint, ZONE, 64),)))
    budget = SharedRetryBudget(RetryBudgetLimits(), lambda: 1)
    return build_forwarder(
        ForwarderParts(ZONE, view, dialect, pool, directory, budget, lambda _: None)
    )


async def serve(role: str, endpoint: str) -> None:
    """Serve until the process is terminated; the first line of output is the address."""
    handler = answer if role == 'endpoint' else build_bench_forwarder(endpoint).handle
    async with trio.open_nursery() as nursery:
        address = await nursery.start(HttpListener(LOOPBACK, handler, lambda: LIMITS).run)
        sys.stdout.write(f'{address}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    trio.run(serve, sys.argv[1], sys.argv[-1])
