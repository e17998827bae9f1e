"""Tests of look-ups in the route table."""

from __future__ import annotations

from collections import Counter

from shallotmux.routes import (
    DocumentCustomer,
    ForwardedRoute,
    RouteDocument,
    RouteKind,
    RouteTable,
    Service,
    ServiceShare,
    choose_service,
)


def make_route(name: str, prefix: str, *shares: ServiceShare) -> ForwardedRoute:
    """Return a route of host ``shop.example``."""
    return ForwardedRoute(
        name, 'shop.example', prefix, RouteKind.SAFE, shares or (ServiceShare('desk', 1),), 1000
    )


TABLE = RouteTable(
    RouteDocument(
        1,
        (
            make_route('all', '/'),
            make_route('orders', '/orders/'),
            make_route('open', '/orders/open/'),
        ),
        (Service('desk', '/healthz', 8),),
        customers=(DocumentCustomer('a', ('k1', 'k2')), DocumentCustomer('b', ('k3',))),
    )
)


def find_route_name(host: str, path: str) -> str:
    """Return the name of the route for a path, empty if there is none."""
    chosen = TABLE.find_route(host, path)
    return chosen.name if chosen else ''


def test_longest_prefix_wins() -> None:
    """Guards against a general route that matches the requests of a more specific one."""
    assert find_route_name('shop.example', '/orders/open/7') == 'open'
    assert find_route_name('shop.example', '/orders/7') == 'orders'
    assert find_route_name('shop.example', '/orders') == 'all'
    assert find_route_name('SHOP.example:8080', '/x') == 'all'


def test_other_host_has_no_route() -> None:
    """Guards against requests that are forwarded to the services of another host."""
    assert find_route_name('other.example', '/orders/7') == ''


def test_key_finds_only_its_customer() -> None:
    """Guards against requests attributed to another customer than the one that holds the key."""
    customer = TABLE.find_customer('k2')
    assert customer is not None
    assert customer.name == 'a'
    assert TABLE.find_customer('k') is None
    assert TABLE.find_customer('') is None


def test_shares_follow_weights() -> None:
    """Guards against requests for a service whose weight is 0, and uneven splits."""
    split = make_route(
        'split', '/', ServiceShare('a', 90), ServiceShare('none', 0), ServiceShare('b', 10)
    )
    drawn = Counter(choose_service(split, step / 1000) for step in range(1000))
    assert drawn == {'a': 900, 'b': 100}
    last = make_route('last', '/', ServiceShare('a', 1), ServiceShare('none', 0))
    assert choose_service(last, 0.999999) == 'a'
