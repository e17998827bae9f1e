"""What the leader remembers of one service between its orders."""

from __future__ import annotations

from collections.abc import Iterable

from shallotmux.control._sizing import DemandPeak
from shallotmux.fleet import ListedEndpoint

#: Time for which a zone counts as closed after the platform had no cheap endpoints there.
CLOSED_S = 2.5

#: Time after an order for fewer cheap endpoints for which leaving ones in that zone are those of the
#: order and not reclaimed ones.
RELEASE_SHOWS_S = 15.0

#: Time for which a leader waits for a service's endpoints to show in the list. An order before that
#: would take away those that are not listed yet.
FIRST_LISTED_S = 5.0

_NEVER = float('-inf')


class ServiceWatch:
    """Follows the list, the demand and the outcome of orders for one service.

    :param began_at: local time at which the leader began to look after the service.
    """

    def __init__(self, began_at: float) -> None:
        self.peak = DemandPeak()
        self._began_at = began_at
        self._first_count = 0
        self._closed_until: dict[str, float] = {}
        self._released_at: dict[str, float] = {}

    def is_listed(self, count: int, now: float) -> bool:
        """Return whether the list shows the service's endpoints, or would if it had any.

        A first list that still grows does not count.

        :param count: endpoints that the list shows now.
        """
        if now - self._began_at > FIRST_LISTED_S:
            return True
        if count and count == self._first_count:
            self._began_at = _NEVER
            return True
        self._first_count = count
        return False

    def note_release(self, zone: str, now: float) -> None:
        """Take note of an order for fewer cheap endpoints."""
        self._released_at[zone] = now

    def note_unavailable(self, zone: str, now: float) -> None:
        """Take note that the platform had no cheap endpoints in a zone."""
        self._closed_until[zone] = now + CLOSED_S

    def closed_zones(self, endpoints: Iterable[ListedEndpoint], now: float) -> frozenset[str]:
        """Return the zones in which no cheap endpoints are to be had.

        Where some are being reclaimed, there will be none for a while.

        :param endpoints: endpoints of the service.
        """
        reclaimed = {
            each.zone
            for each in endpoints
            if each.is_cheap
            and each.is_leaving
            and now - self._released_at.get(each.zone, _NEVER) > RELEASE_SHOWS_S
        }
        closed = {zone for zone, until in self._closed_until.items() if until > now}
        return frozenset(reclaimed | closed)
