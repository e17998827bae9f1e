"""Prediction of the time to first token of an arriving request."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from shallotmux.decisions import DemandMeter
from shallotmux.requests._limits import LONG_WINDOW_S, SHORT_WINDOW_S, PoolDemand
from shallotmux.requests._retries import SMOOTHING

#: Time constant in seconds of the decay of measured times while the pool is idle. Without decay,
#: all requests are refused after a slow period, and no new measurement can show its end.
DECAY_TIME_CONSTANT_S = 5.0


@dataclass(slots=True)
class PoolStatistics:
    """Demand of a pool and moving averages of request times, in seconds.

    :param busy_s: time for which a request occupies an endpoint.
    :param first_token_s: time from dispatch to the first token.
    """

    meter: DemandMeter = field(default_factory=DemandMeter)
    busy_s: float = 0.0
    first_token_s: float = 0.0
    updated_s: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the averages by the age of the last measurement."""
        factor = math.exp(min(0.0, self.updated_s - now) / DECAY_TIME_CONSTANT_S)
        self.busy_s *= factor
        self.first_token_s *= factor
        self.updated_s = now

    def demand(self, now: float) -> PoolDemand:
        """Return the recent demand of the pool."""
        meter = self.meter
        return PoolDemand(meter.window(now, SHORT_WINDOW_S), meter.window(now, LONG_WINDOW_S))

    def update_times(self, busy_s: float, first_token_s: float, now: float) -> None:
        """Update the averages with the times of a request that has ended."""
        self.updated_s = now
        self.busy_s += (busy_s - self.busy_s) * (SMOOTHING if self.busy_s else 1)
        smoothing = SMOOTHING if self.first_token_s else 1
        self.first_token_s += (first_token_s - self.first_token_s) * smoothing


def predict_first_token(
    waiting: int,
    concurrency: float,
    statistics: PoolStatistics,
    prefill_s: float,
    *,
    has_capacity: bool,
) -> float:
    """Return the expected time to the first token in seconds.

    :param waiting: number of requests that wait ahead of this one.
    :param concurrency: streams of the customer that run on this instance concurrently. The pool's
        size does not determine it, because other instances use the same endpoints.
    :param prefill_s: prefill time of the prompt on an idle engine.
    :param has_capacity: whether an endpoint can take the request at once.
    """
    first_token_s = max(statistics.first_token_s, prefill_s)
    if has_capacity and not waiting:
        return first_token_s
    return (waiting + 1) * statistics.busy_s / max(1, concurrency) + first_token_s
