"""Retry budget, backoff with jitter, and circuit breakers."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from statistics import median

from shallotmux.requests._settings import RequestSettings

#: Weight of the newest value in a moving average.
SMOOTHING = 0.2

#: Maximum number of times that the open time of a breaker doubles.
MAX_DOUBLINGS = 4

#: Minimum number of endpoints with measured times for the detection of outliers.
MIN_MEASURED = 3

#: Maximum number of retries in a budget, to prevent a retry storm after a period without failures.
MAX_BUDGET = 100.0


class RetryBudget:
    """Allows retries in proportion to successes, plus a small floor.

    Retries multiply the load exactly when endpoints fail, so they are limited across all requests
    of an instance.
    """

    def __init__(self, settings: RequestSettings) -> None:
        self._share = settings.retry_share
        self._floor = settings.retry_floor
        self._available = settings.retry_floor
        self._refilled_s = 0.0

    def record_success(self) -> None:
        """Count a success."""
        self._available = min(MAX_BUDGET, self._available + self._share)

    def try_spend(self, now: float) -> bool:
        """Consume one retry if the budget allows it, and return whether it does."""
        if self._available < self._floor:
            self._available = min(self._floor, self._available + now - self._refilled_s)
        self._refilled_s = now
        if self._available < 1:
            return False
        self._available -= 1
        return True


def draw_backoff(settings: RequestSettings, attempts: int, random: Random) -> float:
    """Return the delay before the next attempt in seconds, with full jitter.

    :param attempts: attempts made so far.
    """
    limit = min(settings.backoff_limit_s, settings.backoff_s * 2 ** max(0, attempts - 1))
    return random.uniform(0, limit)


@dataclass(slots=True)
class Breaker:
    """Circuit breaker of one endpoint.

    :param failures: consecutive failures.
    :param open_until_s: time until which the breaker is open.
    :param first_token_s: moving average of the time to first token.
    """

    failures: int = 0
    doublings: int = 0
    open_until_s: float = 0.0
    first_token_s: float = 0.0


@dataclass(slots=True)
class Breakers:
    """Circuit breakers of all endpoints by name."""

    settings: RequestSettings
    by_name: dict[str, Breaker] = field(default_factory=dict)

    def record_success(self, endpoint: str, first_token_s: float) -> None:
        """Count a success, which closes the breaker of an endpoint."""
        breaker = self.by_name.setdefault(endpoint, Breaker())
        breaker.failures = 0
        breaker.doublings = 0
        breaker.open_until_s = 0.0
        earlier = breaker.first_token_s or first_token_s
        breaker.first_token_s = earlier + SMOOTHING * (first_token_s - earlier)

    def record_failure(self, endpoint: str, now: float, *, certain: bool = False) -> None:
        """Count a failure, and open the breaker after several consecutive ones.

        :param certain: whether the endpoint is known to be down, so that one failure is enough.
        """
        breaker = self.by_name.setdefault(endpoint, Breaker())
        breaker.failures += 1
        enough = certain or breaker.failures >= self.settings.breaker_failures
        if enough and now >= breaker.open_until_s:
            open_s = self.settings.breaker_open_s * 2**breaker.doublings
            breaker.open_until_s = now + open_s
            breaker.doublings = min(MAX_DOUBLINGS, breaker.doublings + 1)

    def excluded(self, endpoints: Sequence[str], now: float) -> frozenset[str]:
        """Return the endpoints of a pool with an open breaker, at most ``ejected_share`` of them.

        Endpoints with the most failures come first. Outliers are ejected temporarily and then
        measured again, since an endpoint without requests cannot show that it has recovered.
        """
        breakers = {name: self.by_name[name] for name in endpoints if name in self.by_name}
        for outlier in _find_outliers(breakers.values(), self.settings.outlier_factor):
            outlier.first_token_s = 0.0
            outlier.open_until_s = now + self.settings.breaker_open_s
        limit = min(int(len(endpoints) * self.settings.ejected_share), len(endpoints) - 1)
        open_names = [name for name, each in breakers.items() if now < each.open_until_s]
        open_names.sort(key=lambda name: (-breakers[name].failures, name))
        return frozenset(open_names[: max(0, limit)])


def _find_outliers(breakers: Iterable[Breaker], factor: float) -> list[Breaker]:
    measured = [each for each in breakers if each.first_token_s]
    if len(measured) < MIN_MEASURED:
        return []
    limit = median(each.first_token_s for each in measured) * factor
    return [each for each in measured if each.first_token_s > limit]
