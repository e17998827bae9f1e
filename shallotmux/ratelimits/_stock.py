"""Permits that one instance holds, and how many more it needs."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque

#: Time after which an unused permit expires. The granter counts on it when it hands over to another.
PERMIT_TTL_S = 0.8

#: Share of an endpoint's limit, in seconds of it, that one instance asks for at once; at least one.
WANT_S = 0.25


class PermitStock:
    """Permits by endpoint, the oldest first."""

    def __init__(self) -> None:
        self._expiries: defaultdict[int, deque[float]] = defaultdict(deque)
        self._missed: Counter[int] = Counter()
        self._unused: Counter[int] = Counter()

    def add(self, endpoint: int, count: int, now: float) -> None:
        """Add granted permits."""
        self._expiries[endpoint].extend((now + PERMIT_TTL_S,) * count)

    def count(self, endpoint: int, now: float) -> int:
        """Return the number of permits for an endpoint."""
        expiries = self._expiries[endpoint]
        while expiries and expiries[0] <= now:
            expiries.popleft()
            self._unused[endpoint] += 1
        return len(expiries)

    def take(self, endpoint: int, now: float) -> bool:
        """Use up one permit; returns whether there was one."""
        if not self.count(endpoint, now):
            return False
        self._expiries[endpoint].popleft()
        self._missed[endpoint] += 1
        return True

    def record_missed(self, endpoint: int) -> None:
        """Record that a request could have gone to an endpoint with a permit."""
        self._missed[endpoint] += 1

    def take_wanted(self, limits: dict[int, float], now: float) -> dict[int, int]:
        """Return the permits to ask for, from the use since the last call."""
        wanted: dict[int, int] = {}
        for endpoint, missed in self._missed.items():
            most = max(1, math.ceil(limits.get(endpoint, 0.0) * WANT_S))
            count = min(missed, most) - self.count(endpoint, now)
            if count > 0 and limits.get(endpoint):
                wanted[endpoint] = count
        self._missed.clear()
        return wanted

    def take_unused(self, now: float) -> dict[int, int]:
        """Return the permits that expired unused since the last call, by endpoint."""
        for endpoint in tuple(self._expiries):
            if not self.count(endpoint, now):
                self._expiries.pop(endpoint)
        unused = dict(self._unused)
        self._unused.clear()
        return unused
