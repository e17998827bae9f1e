"""State that the leader keeps for one service between scaling decisions."""

from __future__ import annotations

from collections.abc import Iterable

from shallotmux.control._sizing import DemandPeak
from shallotmux.fleet import ListedEndpoint

#: Time for which a zone is not asked for cheap endpoints after the platform had none there.
UNAVAILABLE_TTL_S = 2.5

#: Time after an order for fewer cheap endpoints in which leaving endpoints of that zone are
#: attributed to the order and not to a reclaim by the platform.
RELEASE_GRACE_S = 15.0

#: Time for which a leader waits for the complete list of a service's endpoints. An earlier order
#: would release endpoints that are not listed yet.
FIRST_LISTING_TIMEOUT_S = 5.0

_NEVER = float('-inf')


class ServiceTracker:
    """Tracks the listing, the peak demand and the outcome of orders for one service.

    :param began_at: local time at which the leader began to track the service.
    """

    def __init__(self, began_at: float) -> None:
        self.peak = DemandPeak()
        self._began_at = began_at
        self._previous_count = 0
        self._unavailable_until: dict[str, float] = {}
        self._released_at: dict[str, float] = {}

    def is_listing_complete(self, count: int, now: float) -> bool:
        """Return whether the list of the service's endpoints can be considered complete.

        The list is complete once its length is the same in two consecutive calls, or after a
        timeout, as the service may have no endpoints.

        :param count: number of endpoints listed now.
        """
        if now - self._began_at > FIRST_LISTING_TIMEOUT_S:
            return True
        if count and count == self._previous_count:
            self._began_at = _NEVER
            return True
        self._previous_count = count
        return False

    def record_release(self, zone: str, now: float) -> None:
        """Record an order for fewer cheap endpoints in a zone."""
        self._released_at[zone] = now

    def record_unavailable(self, zone: str, now: float) -> None:
        """Record that the platform had no cheap endpoints in a zone."""
        self._unavailable_until[zone] = now + UNAVAILABLE_TTL_S

    def unavailable_zones(self, endpoints: Iterable[ListedEndpoint], now: float) -> frozenset[str]:
        """Return the zones in which the platform has no cheap endpoints.

        Zones in which it reclaims cheap endpoints are included, as it offers no new ones there for
        a while.

        :param endpoints: listed endpoints of the service.
        """
        reclaimed = {
            each.zone
            for each in endpoints
            if each.is_cheap
            and each.is_leaving
            and now - self._released_at.get(each.zone, _NEVER) > RELEASE_GRACE_S
        }
        unavailable = {zone for zone, until in self._unavailable_until.items() if until > now}
        return frozenset(reclaimed | unavailable)
