"""Decide how long a prompt may wait before its request is of more use elsewhere or later."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from shallotmux.routes import ForwardedRoute

#: Longest wait of the least urgent requests, relative to the longest latency objective of the routes
#: of their service. A queue that is longer makes each request late, while a shorter one serves as
#: many of them in time.
LEAST_URGENT_LIMIT = 1.2

#: What each level of urgency adds to it, so that a more urgent request is refused after all others.
URGENCY_STEP = 0.4

#: Longest time after which a refused request is asked to return.
LONGEST_RETURN_S = 3.0


@dataclass(frozen=True, slots=True)
class WaitLimit:
    """Longest waits of the requests of one service.

    :param objective_ms: longest latency objective of its routes; 0 if none has one.
    :param priorities: priorities of its routes, the most urgent first.
    """

    objective_ms: float = 0.0
    priorities: tuple[int, ...] = ()

    def limit_ms(self, priority: int) -> float:
        """Return the longest wait of a request; infinite without an objective."""
        if not self.objective_ms:
            return float('inf')
        less_urgent = sum(each > priority for each in self.priorities)
        return self.objective_ms * (LEAST_URGENT_LIMIT + URGENCY_STEP * less_urgent)


def find_wait_limit(routes: Iterable[ForwardedRoute]) -> WaitLimit:
    """Return the longest waits of the requests of some routes that lead to one service."""
    leading = tuple(routes)
    return WaitLimit(
        max((route.latency_objective_ms for route in leading), default=0.0),
        tuple(sorted({route.priority for route in leading})),
    )


@dataclass(frozen=True, slots=True)
class Postponed:
    """A request that would wait too long now.

    :param return_after_s: time after which it may return.
    """

    return_after_s: float


def return_after_s(wait_ms: float, limit_ms: float, draw: float) -> float:
    """Return the time after which a request that was refused for its wait may return.

    By then the engines have read what is beyond half of the limit. Returns are spread over half of
    that time, so that they do not form the next queue.

    :param draw: random number, at least 0 and below 1.
    """
    excess_s = (wait_ms - limit_ms / 2) / 1000
    return min(LONGEST_RETURN_S, excess_s * (1 + draw / 2))
