"""Look-up of routes, services and customers in the current configuration document."""

from __future__ import annotations

import hmac
from collections import defaultdict
from collections.abc import Mapping, Sequence

from shallotmux.routes._document import DocumentCustomer, ForwardedRoute, RouteDocument, Service


class RouteTable:
    """Indexes over one document."""

    def __init__(self, document: RouteDocument) -> None:
        self.document = document
        self.services: Mapping[str, Service] = {each.name: each for each in document.services}
        by_host: dict[str, list[ForwardedRoute]] = defaultdict(list)
        for route in document.routes:
            by_host[route.host.lower()].append(route)
        # Sorted by descending length of the prefix, so that the first match is the longest.
        self._by_host = {
            host: tuple(sorted(routes, key=_prefix_length, reverse=True))
            for host, routes in by_host.items()
        }
        prompt_routes: dict[str, list[ForwardedRoute]] = defaultdict(list)
        for route in document.routes:
            for share in route.shares if route.has_prompt else ():
                prompt_routes[share.service].append(route)
        #: Routes whose requests carry prompts, by service.
        self.prompt_routes: Mapping[str, Sequence[ForwardedRoute]] = prompt_routes
        self._customers_by_key = {key: each for each in document.customers for key in each.keys}

    @property
    def needs_keys(self) -> bool:
        """Return whether requests must carry a customer's key, unless their route is open."""
        return bool(self.document.customers)

    def find_route(self, host: str, path: str) -> ForwardedRoute | None:
        """Return the route with the longest matching prefix, or None.

        :param host: host in the request; a port is ignored.
        :param path: path of the request, without the query.
        """
        name = host.partition(':')[0].lower()
        routes = self._by_host.get(name, ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def find_customer(self, key: str) -> DocumentCustomer | None:
        """Return the customer that holds a key, or None.

        The time of the hash look-up tells nothing about how much of a key is correct unless the
        caller can choose the hash; the comparison of the key itself takes constant time.
        """
        customer = self._customers_by_key.get(key)
        if customer is None:
            return None
        is_match = any(hmac.compare_digest(each.encode(), key.encode()) for each in customer.keys)
        return customer if is_match else None


def _prefix_length(route: ForwardedRoute) -> int:
    return len(route.prefix)


def choose_service(route: ForwardedRoute, draw: float) -> str:
    """Return the service to which a request is forwarded, by weighted random choice.

    :param draw: random number, at least 0 and below 1.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    left = draw * sum(share.weight for share in route.shares)
    chosen = ''
    for share in route.shares:
        if share.weight > 0:
            chosen = share.service
            left -= share.weight
        if left < 0:
            break
    return chosen
