"""What is known of one start of an endpoint, with the age of each item."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from shallotmux.estimates._reports import LoadReport

#: Time in which a report or a refusal loses half of its weight.
REPORT_HALF_LIFE_S = 0.5

#: Changes of the number of own requests that are kept, to tell how many there were when an endpoint
#: wrote a report that arrives through another instance.
MAX_CHANGES = 32

#: Weight of a new observation in the factor of an endpoint.
FACTOR_WEIGHT = 0.15

#: Time in which half of an endpoint's deviation is forgotten, so that one that gets little work because
#: it was slow is tried again.
FACTOR_HALF_LIFE_S = 10.0

#: Largest factor of an endpoint.
MAX_FACTOR = 4.0

#: Smallest factor that counts. Below it, endpoints differ by chance, and the one that seemed fastest would
#: get all requests of a quiet service, and a new one none.
MIN_FACTOR = 1.25


@dataclass(slots=True)
class EndpointModel:
    """Reports, refusals, own requests and real times of one start of an endpoint."""

    #: The youngest report.
    report: LoadReport | None = None
    #: Requests of other instances in that report.
    others_running: float = 0.0
    others_waiting: float = 0.0
    #: Pace in that report.
    pace: float = 1.0
    refused_at: float = float('-inf')
    #: Recent local times at which the number of own requests changed, with the new number.
    _changes: deque[tuple[float, int]] = field(default_factory=lambda: deque(maxlen=MAX_CHANGES))
    #: Logarithm of its real times relative to the estimates, and the time of the last observation.
    _deviation: float = 0.0
    _observed_at: float = float('-inf')

    def record_in_flight(self, own: int, now: float) -> None:
        """Record that the number of own requests there has changed."""
        self._changes.append((now, own))

    def own_at(self, at: float) -> int:
        """Return the number of own requests there at a recent time."""
        for changed_at, own in reversed(self._changes):
            if changed_at <= at:
                return own
        # The time is before all changes that are known.
        return self._changes[0][1] if len(self._changes) == MAX_CHANGES else 0

    def receive(self, report: LoadReport) -> bool:
        """Keep a report if it is younger than the present one, and return whether it is."""
        if self.report is not None and report.at <= self.report.at:
            return False
        self.report = report
        self.pace = report.pace
        others = max(0, report.running + report.waiting - self.own_at(report.at))
        self.others_waiting = float(min(others, report.waiting))
        self.others_running = others - self.others_waiting
        return True

    def weight(self, now: float) -> float:
        """Return the weight of the report; 0 without one."""
        if self.report is None:
            return 0.0
        return 0.5 ** (max(0.0, now - self.report.at) / REPORT_HALF_LIFE_S)

    def age_s(self, now: float) -> float:
        """Return the age of the report; infinite without one."""
        return math.inf if self.report is None else max(0.0, now - self.report.at)

    def fullness(self, now: float) -> float:
        """Return which part of its slots is taken for used since it refused a request."""
        if self.refused_at == -math.inf:
            return 0.0
        return 0.5 ** (max(0.0, now - self.refused_at) / REPORT_HALF_LIFE_S)

    def record_refusal(self, now: float) -> None:
        """Record that it refused a request without running it."""
        self.refused_at = now

    def factor(self, now: float) -> float:
        """Return how much longer work takes there than at other endpoints of its pace."""
        if self._deviation <= 0:
            return 1.0
        factor = math.exp(self._faded(now))
        return factor if factor >= MIN_FACTOR else 1.0

    def record_ratio(self, ratio: float, now: float) -> None:
        """Add the ratio of a real time to its estimate.

        :param ratio: positive; the estimate contains the factor of that time.
        """
        limit = math.log(MAX_FACTOR)
        observed = min(max(math.log(ratio * self.factor(now)), -limit), limit)
        before = self._faded(now)
        self._deviation = before + FACTOR_WEIGHT * (observed - before)
        self._observed_at = now

    def _faded(self, now: float) -> float:
        return self._deviation * 0.5 ** (max(0.0, now - self._observed_at) / FACTOR_HALF_LIFE_S)
