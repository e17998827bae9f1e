"""Validation of configuration documents."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from shallotmux.errors import DocumentInvalid
from shallotmux.routes._document import DocumentCustomer, ForwardedRoute, RouteDocument

#: Versions that messages between instances and stored records can hold. One of 0 or less is older than
#: any that is stored, and is acknowledged without effect like all older ones.
MIN_VERSION, MAX_VERSION = -(1 << 63), (1 << 64) - 1


def check_document(document: RouteDocument) -> None:
    """Validate a document.

    :raises DocumentInvalid: with the first fault found.
    """
    fault = next(_find_faults(document), None)
    if fault is not None:
        raise DocumentInvalid(fault, step='check document')


def _find_faults(document: RouteDocument) -> Iterator[str]:
    if not MIN_VERSION <= document.version <= MAX_VERSION:
        yield 'version: out of range'
    services = {each.name for each in document.services}
    for route in document.routes:
        yield from _route_faults(route, services)
    yield from _duplicate_routes(document.routes)
    yield from _shared_keys(document.customers)


def _route_faults(route: ForwardedRoute, services: set[str]) -> Iterator[str]:
    for share in route.shares:
        if share.service not in services:
            yield f'route {route.name!r}: service {share.service!r} does not exist'
        if share.weight < 0:
            yield f'route {route.name!r}: weight {share.weight} is below 0'
    if sum(each.weight for each in route.shares) <= 0:
        yield f'route {route.name!r}: its weights add up to 0'
    if route.timeout_ms <= 0:
        yield f'route {route.name!r}: its timeout is not above 0'
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        yield f'route {route.name!r}: prefix {route.prefix!r} needs a slash at both ends'


def _duplicate_routes(routes: Iterable[ForwardedRoute]) -> Iterator[str]:
    names: dict[tuple[str, str], str] = {}
    for route in routes:
        location = (route.host.lower(), route.prefix)
        if location in names:
            yield f'routes {names[location]!r} and {route.name!r} share a host and a prefix'
        names[location] = route.name


def _shared_keys(customers: Iterable[DocumentCustomer]) -> Iterator[str]:
    owners: dict[str, DocumentCustomer] = {}
    for customer in customers:
        for key in customer.keys:
            # Two entries are two customers, also if they have one name.
            owner = owners.setdefault(key, customer)
            if owner is not customer:
                yield f'customers {owner.name!r} and {customer.name!r} share a key'
