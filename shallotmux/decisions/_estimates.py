"""Estimate the present load of an endpoint from late reports and own dispatches."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from shallotmux.world import Endpoint, EngineRole

#: Time constant with which the share of other instances in a report loses weight, in seconds.
REPORT_MEMORY_S = 2.0

#: Age above which a report says nothing and the load counts as the average of others.
REPORT_LIMIT_S = 10.0

#: Age up to which a report may hold requests back, in seconds; reports arrive each half second.
FRESH_S = 2.0

#: Weight of a new report in the running average of what other instances send to endpoints.
AVERAGE_WEIGHT = 0.05

#: Prefill rate assumed before the first report, in tokens per second.
DEFAULT_PREFILL_RATE = 20_000.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint as it reported it.

    :param queued_prefill_tokens: prompt tokens that wait or are being processed.
    :param running: requests on the endpoint, queued or decoding.
    :param as_of: time of the measurement on the reader's clock, in seconds.
    """

    queued_prefill_tokens: float
    running: float
    as_of: float
    role: EngineRole = EngineRole.MIXED
    prefill_tokens_per_s: float = DEFAULT_PREFILL_RATE


@dataclass(frozen=True, slots=True)
class OwnChange:
    """A change of this instance's own load on an endpoint."""

    time_s: float
    tokens: float
    running: int


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Load expected on an endpoint now.

    :param known_tokens: the part that may hold a request back. Under old reports it leaves out
        the average of others, which would keep requests from idle engines and never fall again.
    """

    queued_tokens: float
    known_tokens: float
    running: float
    prefill_tokens_per_s: float
    fresh: bool = True

    @property
    def wait_s(self) -> float:
        """Seconds until the queued prompts are processed."""
        return self.queued_tokens / self.prefill_tokens_per_s

    @property
    def known_wait_s(self) -> float:
        """Seconds until the prompts that certainly queue are processed."""
        return self.known_tokens / self.prefill_tokens_per_s


@dataclass(slots=True)
class AverageLoad:
    """Running average of the load that other instances put on an endpoint."""

    tokens: float = 0.0
    running: float = 0.0

    def follow(self, tokens: float, running: float) -> None:
        """Include a new report."""
        self.tokens += AVERAGE_WEIGHT * (tokens - self.tokens)
        self.running += AVERAGE_WEIGHT * (running - self.running)


@dataclass(slots=True)
class EndpointState:
    """What an instance knows of one endpoint.

    :param own_tokens: prompt tokens of own requests whose first token is not out yet.
    :param own_running: own requests on the endpoint.
    """

    endpoint: Endpoint
    role: EngineRole = EngineRole.MIXED
    own_tokens: float = 0.0
    own_running: int = 0
    others_tokens: float = 0.0
    others_running: float = 0.0
    as_of: float = -math.inf
    prefill_tokens_per_s: float = DEFAULT_PREFILL_RATE
    changes: deque[OwnChange] = field(default_factory=deque)

    def note(self, now: float, tokens: float, running: int) -> None:
        """Record a change of the own load: a dispatch, a first token or an end."""
        self.own_tokens = max(0.0, self.own_tokens + tokens)
        self.own_running = max(0, self.own_running + running)
        self.changes.append(OwnChange(now, tokens, running))

    def take_report(self, report: LoadReport, average: AverageLoad) -> None:
        """Split a report into the own share at that time and the share of other instances."""
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
        average.follow(self.others_tokens, self.others_running)

    def estimate(self, now: float, average: AverageLoad) -> LoadEstimate:
        """Return the load expected now; the reported share fades into the average."""
        age = now - self.as_of
        trust = 0.0 if age > REPORT_LIMIT_S else math.exp(-max(0.0, age) / REPORT_MEMORY_S)
        known = self.own_tokens + trust * self.others_tokens
        queued = known + (1 - trust) * average.tokens
        fresh = age <= FRESH_S
        return LoadEstimate(
            queued,
            queued if fresh else known,
            self.own_running + trust * self.others_running + (1 - trust) * average.running,
            self.prefill_tokens_per_s,
            fresh,
        )
