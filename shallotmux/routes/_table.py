"""Look-ups in the configuration document in force."""

from __future__ import annotations

import hmac
from collections import defaultdict
from collections.abc import Mapping, Sequence

from shallotmux.routes._document import ForwardedRoute, KeyHolder, RouteDocument, Service


class RouteTable:
    """Indexes of one document."""

    def __init__(self, document: RouteDocument) -> None:
        self.document = document
        self.services: Mapping[str, Service] = {each.name: each for each in document.services}
        by_host: dict[str, list[ForwardedRoute]] = defaultdict(list)
        for route in document.routes:
            by_host[route.host.lower()].append(route)
        # The longest prefix comes first, so that the first match is the one to take.
        self._by_host = {
            host: tuple(sorted(routes, key=_prefix_length, reverse=True))
            for host, routes in by_host.items()
        }
        leading: dict[str, list[ForwardedRoute]] = defaultdict(list)
        for route in document.routes:
            for share in route.shares if route.has_prompt else ():
                leading[share.service].append(route)
        #: Routes whose requests carry prompts, by service.
        self.prompt_routes: Mapping[str, Sequence[ForwardedRoute]] = leading
        self._holders = {key: each for each in document.customers for key in each.keys}

    @property
    def needs_keys(self) -> bool:
        """Return whether requests carry keys of customers."""
        return bool(self.document.customers)

    def find_route(self, host: str, path: str) -> ForwardedRoute | None:
        """Return the route with the longest prefix of a path.

        :param host: host as the caller named it; a port is ignored.
        :param path: path of the request, without its query.
        """
        name = host.partition(':')[0].lower()
        routes = self._by_host.get(name, ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def find_customer(self, key: str) -> KeyHolder | None:
        """Return the customer that holds a key.

        A look-up by hash shows in its time how much of a key is right only if the hash can be
        chosen; the comparison of the key itself takes the same time for each key.
        """
        holder = self._holders.get(key)
        if holder is None:
            return None
        is_held = any(hmac.compare_digest(each.encode(), key.encode()) for each in holder.keys)
        return holder if is_held else None


def _prefix_length(route: ForwardedRoute) -> int:
    return len(route.prefix)


def choose_service(route: ForwardedRoute, draw: float) -> str:
    """Return the service that takes a request.

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
