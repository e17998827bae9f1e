"""Load shedding: refuse requests that would wait too long for an engine."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from shallotmux.routes import ForwardedRoute

#: Longest wait of the least urgent requests, relative to the longest latency objective of the routes
#: of their service. A longer queue makes every request late; a shorter one serves as many in time.
LEAST_URGENT_WAIT_FACTOR = 1.2

#: Added to the factor for each less urgent priority, so that more urgent requests are shed last.
URGENCY_WAIT_STEP = 0.4

#: Longest retry-after time of a request that was shed, without jitter.
MAX_RETRY_AFTER_S = 3.0


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """Wait limits of one service.

    :param objective_ms: longest latency objective of its routes; 0 if none has one.
    :param priorities: priorities of its routes, the most urgent first.
    """

    objective_ms: float = 0.0
    priorities: tuple[int, ...] = ()

    def limit_ms(self, priority: int) -> float:
        """Return the longest wait of a request of a priority; infinite without an objective."""
        if not self.objective_ms:
            return float('inf')
        less_urgent = sum(each > priority for each in self.priorities)
        return self.objective_ms * (LEAST_URGENT_WAIT_FACTOR + URGENCY_WAIT_STEP * less_urgent)


def find_wait_limit(routes: Iterable[ForwardedRoute]) -> WaitLimit:
    """Return the wait limits for the routes of one service."""
    service_routes = tuple(routes)
    return WaitLimit(
        max((route.latency_objective_ms for route in service_routes), default=0.0),
        tuple(sorted({route.priority for route in service_routes})),
    )


@dataclass(frozen=True, slots=True)
class LoadShed:
    """A request that is refused because it would wait too long.

    :param retry_after_s: time after which the caller may retry.
    """

    retry_after_s: float


def choose_retry_after_s(wait_ms: float, limit_ms: float, draw: float) -> float:
    """Return the retry-after time of a request that was shed.

    By then the queue has shrunk to half of the limit. Jitter of up to half that time keeps the
    retries from arriving together; it is added to the upper bound, too, which all callers get under
    heavy overload.

    :param draw: random number in [0, 1).
    """
    excess_s = (wait_ms - limit_ms / 2) / 1000
    return min(MAX_RETRY_AFTER_S, excess_s) * (1 + draw / 2)
