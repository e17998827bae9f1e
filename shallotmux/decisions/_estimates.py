"""Estimate the current load of an endpoint from delayed reports and local dispatches."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from shallotmux.world import Endpoint, EngineRole

#: Time constant, in seconds, with which the load of other instances in a report loses weight.
REPORT_DECAY_S = 2.0

#: Age, in seconds, above which a report is ignored in favour of the average load of others.
REPORT_MAX_AGE_S = 10.0

#: Age, in seconds, up to which a report may delay requests; reports arrive every 0.5 s.
FRESH_REPORT_S = 2.0

#: Smoothing factor of a new report in the average load that other instances put on endpoints.
AVERAGE_WEIGHT = 0.05

#: Prefill rate, in tokens per second, assumed before the first report.
DEFAULT_PREFILL_RATE = 20_000.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reported.

    :param queued_prefill_tokens: prompt tokens queued or being processed.
    :param running: requests on the endpoint, queued or decoding.
    :param as_of: time of the measurement in seconds, on the clock of this instance.
    """

    queued_prefill_tokens: float
    running: float
    as_of: float
    role: EngineRole = EngineRole.MIXED
    prefill_tokens_per_s: float = DEFAULT_PREFILL_RATE


@dataclass(frozen=True, slots=True)
class LoadChange:
    """A change of the load that this instance puts on an endpoint."""

    time_s: float
    tokens: float
    running: int


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Load expected on an endpoint now.

    :param queued_tokens: prompt tokens expected to be queued.
    :param known_tokens: the part of them that may delay a request. Under stale reports it omits
        the average load of others, which would keep requests from idle engines indefinitely.
    :param running: requests expected to be queued or decoding.
    :param fresh: whether the last report is recent enough to delay requests.
    """

    queued_tokens: float
    known_tokens: float
    running: float
    prefill_tokens_per_s: float
    fresh: bool = True

    @property
    def wait_s(self) -> float:
        """Seconds until the queued prompts are expected to be processed."""
        return self.queued_tokens / self.prefill_tokens_per_s

    @property
    def known_wait_s(self) -> float:
        """Seconds until the prompts known to be queued are processed."""
        return self.known_tokens / self.prefill_tokens_per_s


@dataclass(slots=True)
class AverageLoad:
    """Exponential moving average of the load that other instances put on an endpoint."""

    tokens: float = 0.0
    running: float = 0.0

    def update(self, tokens: float, running: float) -> None:
        """Add the load of other instances from a new report."""
        self.tokens += AVERAGE_WEIGHT * (tokens - self.tokens)
        self.running += AVERAGE_WEIGHT * (running - self.running)


@dataclass(slots=True)
class EndpointState:
    """What an instance knows about one endpoint.

    :param own_tokens: prompt tokens of this instance's requests that await their first token.
    :param own_running: requests of this instance on the endpoint.
    :param others_tokens: queued prompt tokens of other instances in the last report.
    :param others_running: requests of other instances in the last report.
    :param as_of: time of the last report in seconds.
    :param changes: changes of this instance's load since the last report.
    """

    endpoint: Endpoint
    role: EngineRole = EngineRole.MIXED
    own_tokens: float = 0.0
    own_running: int = 0
    others_tokens: float = 0.0
    others_running: float = 0.0
    as_of: float = -math.inf
    prefill_tokens_per_s: float = DEFAULT_PREFILL_RATE
    changes: deque[LoadChange] = field(default_factory=deque)

    def record_change(self, now: float, tokens: float, running: int) -> None:
        """Record a change of this instance's load: a dispatch, a first token or an end."""
        self.own_tokens = max(0.0, self.own_tokens + tokens)
        self.own_running = max(0, self.own_running + running)
        self.changes.append(LoadChange(now, tokens, running))

    def apply_report(self, report: LoadReport, average: AverageLoad) -> None:
        """Split a report into the load of this instance at that time and the load of others."""
        if report.as_of <= self.as_of:
            return
        while self.changes and self.changes[0].time_s <= report.as_of:
            self.changes.popleft()
        since_tokens = sum(change.tokens for change in self.changes)
        since_running = sum(change.running for change in self.changes)
        own_tokens = max(0.0, self.own_tokens - since_tokens)
        own_running = max(0, self.own_running - since_running)
        self.others_tokens = max(0.0, report.queued_prefill_tokens - own_tokens)
        self.others_running = max(0.0, report.running - own_running)
        self.as_of = report.as_of
        self.prefill_tokens_per_s = report.prefill_tokens_per_s
        average.update(self.others_tokens, self.others_running)

    def estimate(self, now: float, average: AverageLoad) -> LoadEstimate:
        """Return the load expected now; an ageing report gives way to the average load."""
        age = now - self.as_of
        report_weight = 0.0 if age > REPORT_MAX_AGE_S else math.exp(-max(0.0, age) / REPORT_DECAY_S)
        known = self.own_tokens + report_weight * self.others_tokens
        queued = known + (1 - report_weight) * average.tokens
        fresh = age <= FRESH_REPORT_S
        return LoadEstimate(
            queued,
            queued if fresh else known,
            self.own_running
            + report_weight * self.others_running
            + (1 - report_weight) * average.running,
            self.prefill_tokens_per_s,
            fresh,
        )
