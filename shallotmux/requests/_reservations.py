"""Endpoints that are kept free for one request, which runs there alone."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from shallotmux.decisions import RoutingDecision
from shallotmux.requests._queues import Ticket
from shallotmux.world import Endpoint

#: Fraction of the usable endpoints, as a divisor, that are reserved at once; at least one.
MAX_RESERVED_DIVISOR = 3


class Reservations:
    """Reserves endpoints for exclusive requests until they are empty, and while these run.

    :param in_flight: requests in progress by endpoint.
    :param update_capacity: called with an endpoint whose reservation begins or ends.
    """

    def __init__(
        self, in_flight: Mapping[str, int], update_capacity: Callable[[str], None]
    ) -> None:
        self._in_flight = in_flight
        self._update_capacity = update_capacity
        self._reserved: dict[str, Ticket] = {}

    def __contains__(self, endpoint: str) -> bool:
        """Return whether an endpoint is reserved."""
        return endpoint in self._reserved

    def end(self, ticket: Ticket) -> bool:
        """End the reservations of a request; returns whether there was one."""
        ended = self._reserved_for(ticket)
        for name in ended:
            self._reserved.pop(name)
            self._update_capacity(name)
        return bool(ended)

    def choose(self, ticket: Ticket, usable: Sequence[Endpoint]) -> RoutingDecision | None:
        """Reserve the least loaded endpoint, preferably a cheap one, and choose it once it is empty."""
        reserved = self._reserved_for(ticket)
        free = [each for each in usable if each.name not in self._reserved]
        has_room = len(self._reserved) < max(1, len(usable) // MAX_RESERVED_DIVISOR)
        if not reserved and has_room and free:
            best = min(free, key=lambda each: (self._in_flight[each.name], not each.cheap))
            self._reserved[best.name] = ticket
            self._update_capacity(best.name)
            reserved = [best.name]
        for endpoint in usable:
            if endpoint.name in reserved and not self._in_flight[endpoint.name]:
                return RoutingDecision(endpoint, 'alone on trial', ((endpoint.name, 0),))
        return None

    def _reserved_for(self, ticket: Ticket) -> list[str]:
        return [name for name, reserved_for in self._reserved.items() if reserved_for is ticket]
