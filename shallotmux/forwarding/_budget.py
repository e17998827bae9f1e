"""This instance's share of the retry budget of the fleet."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

#: Fraction of the fleet's budget that all instances together may use. The rest covers counting
#: windows that are not aligned and changes in the number of instances.
USABLE_FRACTION = 0.6

#: Fraction of its usual share that an instance reaches at the end of its first window. Together with
#: what its predecessor may have used in that window, it is the whole share.
START_FRACTION = (1 - USABLE_FRACTION) / USABLE_FRACTION

#: Fraction of the budget up to which prompts are still sent to prefill engines. A refused prefill
#: counts as a retry, but few are refused, and prefill on a decode engine delays all its streams.
PREFILL_FRACTION = 0.9


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """Limits on the retries of a service, over all instances.

    :param ratio: retries allowed per request.
    :param slack: retries allowed in addition, regardless of the number of requests.
    :param window_s: length of the sliding window in which requests and retries are counted.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


@dataclass(slots=True)
class _ServiceCounts:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def drop_before(self, oldest: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < oldest:
                times.popleft()


class SharedRetryBudget:
    """Counts requests and retries by service, in a sliding window.

    The slack is divided by the largest number of instances seen within a window. A control instance
    that has just started names only those that have polled it, and a share that grew at once would be
    added to what the instances that left have used.

    :param instances: returns the number of instances that share the budget.
    :param started_at: local time at which this instance started. What it used before is not known, so
        its share of the slack grows from nothing until a window has passed.
    """

    def __init__(
        self,
        limits: RetryBudgetLimits,
        instances: Callable[[], int],
        started_at: float = -math.inf,
    ) -> None:
        self._limits = limits
        self._instances = instances
        self._started_at = started_at
        #: Times and numbers of instances, each larger than all later ones.
        self._seen: deque[tuple[float, int]] = deque()
        self._counts: dict[str, _ServiceCounts] = defaultdict(_ServiceCounts)

    def record_request(self, service: str) -> None:
        """Count a request from a caller."""
        self._largest_fleet()
        self._current_counts(service).requests.append(trio.current_time())

    def charge(self, service: str) -> None:
        """Count a retry without checking the budget, such as a refused call."""
        self._current_counts(service).retries.append(trio.current_time())

    def count(self, service: str) -> int:
        """Return the retries in the present window."""
        return len(self._current_counts(service).retries)

    def allows_retry(self, service: str, usable_fraction: float = USABLE_FRACTION) -> bool:
        """Return whether the budget allows another retry.

        :param usable_fraction: fraction of this instance's share that may be used.
        """
        counts = self._current_counts(service)
        limits = self._limits
        allowed = usable_fraction * (limits.ratio * len(counts.requests) + self._slack_share())
        return len(counts.retries) + 1 <= allowed

    def try_spend(self, service: str) -> bool:
        """Count a retry if the budget allows it; returns whether it does."""
        if not self.allows_retry(service):
            return False
        self.charge(service)
        return True

    def _slack_share(self) -> float:
        """Return this instance's share of the slack."""
        fleet = self._largest_fleet()
        share = self._limits.slack / fleet
        age = (trio.current_time() - self._started_at) / self._limits.window_s
        return share if age >= 1 else share * age * START_FRACTION

    def _largest_fleet(self) -> int:
        """Return the largest number of instances seen within the last window."""
        now, count = trio.current_time(), max(1, self._instances())
        while self._seen and self._seen[-1][1] <= count:
            self._seen.pop()
        self._seen.append((now, count))
        while self._seen[0][0] < now - self._limits.window_s:
            self._seen.popleft()
        return self._seen[0][1]

    def _current_counts(self, service: str) -> _ServiceCounts:
        counts = self._counts[service]
        counts.drop_before(trio.current_time() - self._limits.window_s)
        return counts
