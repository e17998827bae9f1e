"""Limits on retries: a budget, backoff with jitter, and circuit breakers."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from statistics import median

from shallotmux.requests._settings import RequestSettings

#: Weight of the newest value in a moving average.
SMOOTHING = 0.2

#: Largest doubling of the open time of a breaker.
MAX_DOUBLINGS = 4

#: Endpoints with measured times from which an outlier can be told.
MIN_MEASURED = 3

#: Retries that a budget holds at most, so that a long quiet time does not allow a storm.
MAX_BUDGET = 100.0


class RetryBudget:
    """Allows retries as a share of the successes, plus a small floor.

    Retries multiply the load just when endpoints fail, so they are bounded for the whole zone.
    """

    def __init__(self, settings: RequestSettings) -> None:
        self._share = settings.retry_share
        self._floor = settings.retry_floor
        self._left = settings.retry_floor
        self._refilled_s = 0.0

    def succeed(self) -> None:
        """Count a success."""
        self._left = min(MAX_BUDGET, self._left + self._share)

    def spend(self, now: float) -> bool:
        """Take one retry if the budget allows it."""
        if self._left < self._floor:
            self._left = min(self._floor, self._left + now - self._refilled_s)
        self._refilled_s = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


def draw_backoff(settings: RequestSettings, attempts: int, random: Random) -> float:
    """Return the pause before the next attempt in seconds, with full jitter.

    :param attempts: attempts made so far.
    """
    limit = min(settings.backoff_limit_s, settings.backoff_s * 2 ** max(0, attempts - 1))
    return random.uniform(0, limit)


@dataclass(slots=True)
class Breaker:
    """Recent failures and first-token times of one endpoint.

    :param open_until_s: time from which the endpoint is tried again.
    """

    failures: int = 0
    doublings: int = 0
    open_until_s: float = 0.0
    first_token_s: float = 0.0


@dataclass(slots=True)
class Breakers:
    """Circuit breakers of all endpoints by name."""

    settings: RequestSettings
    known: dict[str, Breaker] = field(default_factory=dict)

    def succeed(self, endpoint: str, first_token_s: float) -> None:
        """Close the breaker of an endpoint."""
        breaker = self.known.setdefault(endpoint, Breaker())
        breaker.failures = 0
        breaker.doublings = 0
        breaker.open_until_s = 0.0
        earlier = breaker.first_token_s or first_token_s
        breaker.first_token_s = earlier + SMOOTHING * (first_token_s - earlier)

    def fail(self, endpoint: str, now: float, *, certain: bool = False) -> None:
        """Count a failure and open the breaker when there were several in a row.

        :param certain: whether the endpoint is known to be down, so that one failure is enough.
        """
        breaker = self.known.setdefault(endpoint, Breaker())
        breaker.failures += 1
        enough = certain or breaker.failures >= self.settings.breaker_failures
        if enough and now >= breaker.open_until_s:
            open_s = self.settings.breaker_open_s * 2**breaker.doublings
            breaker.open_until_s = now + open_s
            breaker.doublings = min(MAX_DOUBLINGS, breaker.doublings + 1)

    def excluded(self, endpoints: Sequence[str], now: float) -> frozenset[str]:
        """Return the endpoints of a pool to avoid, at most the share that may be ejected.

        The endpoint that failed most comes first. Outliers are ejected for a while and then measured
        afresh, since an endpoint that gets no requests cannot show that it has recovered.
        """
        kept = {name: self.known[name] for name in endpoints if name in self.known}
        for outlier in _find_outliers(kept.values(), self.settings.outlier_factor):
            outlier.first_token_s = 0.0
            outlier.open_until_s = now + self.settings.breaker_open_s
        limit = min(int(len(endpoints) * self.settings.ejected_share), len(endpoints) - 1)
        broken = [name for name, each in kept.items() if now < each.open_until_s]
        broken.sort(key=lambda name: (-kept[name].failures, name))
        return frozenset(broken[: max(0, limit)])


def _find_outliers(breakers: Iterable[Breaker], factor: float) -> list[Breaker]:
    timed = [each for each in breakers if each.first_token_s]
    if len(timed) < MIN_MEASURED:
        return []
    limit = median(each.first_token_s for each in timed) * factor
    return [each for each in timed if each.first_token_s > limit]
