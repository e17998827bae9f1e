"""Tests of the validation of configuration documents."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shallotmux.errors import DocumentInvalid
from shallotmux.routes import (
    DocumentCustomer,
    ForwardedRoute,
    RouteDocument,
    RouteKind,
    Service,
    ServiceShare,
    check_document,
)

ROUTE = ForwardedRoute(
    'orders', 'shop.example', '/orders/', RouteKind.UNSAFE, (ServiceShare('desk', 1),), 2000
)
DOCUMENT = RouteDocument(1, (ROUTE,), (Service('desk', '/healthz', 8),))


def test_valid_document_is_accepted() -> None:
    """Guards against rules that reject valid documents."""
    check_document(DOCUMENT)


@pytest.mark.parametrize(
    ('route', 'fault'),
    [
        (replace(ROUTE, shares=(ServiceShare('nobody', 1),)), "service 'nobody' does not exist"),
        (replace(ROUTE, shares=(ServiceShare('desk', 0),)), 'add up to 0'),
        (replace(ROUTE, shares=(ServiceShare('desk', -1), ServiceShare('desk', 2))), 'below 0'),
        (replace(ROUTE, timeout_ms=0), 'timeout is not above 0'),
        (replace(ROUTE, prefix='orders/'), 'needs a slash at both ends'),
    ],
)
def test_invalid_route_is_refused(route: ForwardedRoute, fault: str) -> None:
    """Guards against routes that match or forward no request, or whose requests all time out."""
    with pytest.raises(DocumentInvalid, match=fault):
        check_document(replace(DOCUMENT, routes=(route,)))


def test_duplicate_routes_are_refused() -> None:
    """Guards against two routes of which only one could match; hosts ignore case."""
    duplicate = replace(ROUTE, name='twin', host='SHOP.example')
    with pytest.raises(DocumentInvalid, match="'orders' and 'twin' share a host and a prefix"):
        check_document(replace(DOCUMENT, routes=(ROUTE, duplicate)))


@pytest.mark.parametrize('other', ['b', 'a'])
def test_shared_key_is_refused(other: str) -> None:
    """Guards against a key whose requests could be attributed to another customer."""
    customers = (DocumentCustomer('a', ('k1', 'k2')), DocumentCustomer(other, ('k2',)))
    with pytest.raises(DocumentInvalid, match=f"'a' and '{other}' share a key"):
        check_document(replace(DOCUMENT, customers=customers))


def test_customer_may_name_a_key_twice() -> None:
    """Guards against a valid document that is refused, as no other customer has the key."""
    check_document(replace(DOCUMENT, customers=(DocumentCustomer('a', ('k1', 'k1')),)))


@pytest.mark.parametrize('version', [-(2**63) - 1, 2**64, 10**400])
def test_version_that_cannot_be_stored_is_refused(version: int) -> None:
    """Guards against a change whose connection is closed each time, without an answer."""
    with pytest.raises(DocumentInvalid, match='version'):
        check_document(replace(DOCUMENT, version=version))


@pytest.mark.parametrize('version', [-(2**63), -1, 0, 1, 2**63, 2**64 - 1])
def test_version_at_the_ends_of_its_range_is_accepted(version: int) -> None:
    """Guards against versions that are refused; old ones are acknowledged without effect."""
    check_document(replace(DOCUMENT, version=version))
