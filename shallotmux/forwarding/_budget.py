"""This instance's share of the fleet's budget for repeats."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

#: Part of the fleet's budget that instances may use together. The rest covers windows that are
#: cut differently and instances that come and go.
USED_PART = 0.6

#: Part of the budget up to which prompts are still read apart. A refused prefill counts as a repeat,
#: but few are refused, and reading between the tokens of streams delays all of them.
PREFILL_PART = 0.9


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """Budget of a service over all instances.

    :param ratio: repeats for each request.
    :param slack: repeats beyond that.
    :param window_s: time over which both are counted.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


@dataclass(slots=True)
class _ServiceCounts:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def drop_before(self, oldest: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < oldest:
                times.popleft()


class SharedRetryBudget:
    """Counts requests and repeats by service.

    :param instances: returns the number of instances that share the budget.
    """

    def __init__(self, bounds: RetryBudgetLimits, instances: Callable[[], int]) -> None:
        self._bounds = bounds
        self._instances = instances
        self._counts: dict[str, _ServiceCounts] = defaultdict(_ServiceCounts)

    def note_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._settle(service).requests.append(trio.current_time())

    def charge(self, service: str) -> None:
        """Count a repeat that was not asked for, such as a call that was refused."""
        self._settle(service).repeats.append(trio.current_time())

    def has_room(self, service: str, used_part: float = USED_PART) -> bool:
        """Return whether there is a repeat left.

        :param used_part: part of this instance's share that may be used.
        """
        counts = self._settle(service)
        bounds = self._bounds
        share = bounds.slack / max(1, self._instances())
        allowed = used_part * (bounds.ratio * len(counts.requests) + share)
        return len(counts.repeats) + 1 <= allowed

    def take(self, service: str) -> bool:
        """Take one repeat; returns whether there was one left."""
        if not self.has_room(service):
            return False
        self.charge(service)
        return True

    def _settle(self, service: str) -> _ServiceCounts:
        counts = self._counts[service]
        counts.drop_before(trio.current_time() - self._bounds.window_s)
        return counts
