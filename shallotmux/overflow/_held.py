"""Shares as an entry instance follows them."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence

from shallotmux.overflow._messages import OverflowShare

#: Time after the poll that brought them at which shares lapse.
SHARES_TTL_S = 3.0

#: Difference to 1 of the sum of the shares of a service that rounding explains.
MAX_ROUNDING = 0.01


def choose_zone(shares: Sequence[OverflowShare], zone: str, draw: float) -> str:
    """Return the zone to which a request is sent.

    :param shares: shares of its service and zone.
    :param zone: zone in which it arrived, where it stays without shares.
    :param draw: random number in [0, 1).
    """
    for each in shares:
        draw -= each.share
        if each.to_zone != zone and draw < 0:
            return each.to_zone
        if draw < 0:
            break
    return zone


class HeldShares:
    """Shares of the own zone, as the decider that this instance follows sent them.

    Times are local ones that the caller passes in.
    """

    def __init__(self) -> None:
        self._shares: dict[str, tuple[OverflowShare, ...]] = {}
        self._sent_at = -math.inf

    def replace(self, shares: Sequence[OverflowShare], zone: str, sent_at: float) -> None:
        """Replace all shares by those of an answer, unless it has none of this zone or is older.

        :param zone: zone of this instance.
        :param sent_at: local time at which the poll was sent.
        """
        own: dict[str, list[OverflowShare]] = defaultdict(list)
        for each in shares:
            if zone and each.from_zone == zone:
                own[each.service].append(each)
        if not own or sent_at < self._sent_at:
            return
        self._sent_at = sent_at
        self._shares = {
            service: tuple(found) for service, found in own.items() if _is_complete(found)
        }

    def of_service(self, service: str, now: float) -> tuple[OverflowShare, ...]:
        """Return the shares of a service; none if they have lapsed or were never known."""
        if now - self._sent_at > SHARES_TTL_S:
            return ()
        return self._shares.get(service, ())


def _is_complete(shares: Sequence[OverflowShare]) -> bool:
    """Return whether shares can be drawn from."""
    if not all(0 <= each.share <= 1 for each in shares):
        return False
    return abs(sum(each.share for each in shares) - 1) <= MAX_ROUNDING
