"""Predict the time to the first token of a request that arrives."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from shallotmux.decisions import DemandMeter
from shallotmux.requests._limits import LONG_WINDOW_S, SHORT_WINDOW_S, PoolDemand
from shallotmux.requests._retries import SMOOTHING

#: Time constant in seconds with which measured times fade while no request ends. Without it, a
#: slow spell refuses all requests, and then nothing can show that it is over.
FADE_S = 5.0


@dataclass(slots=True)
class PoolFigures:
    """Demand of a pool, and moving averages of times on an endpoint in seconds."""

    meter: DemandMeter = field(default_factory=DemandMeter)
    busy_s: float = 0.0
    first_token_s: float = 0.0
    updated_s: float = 0.0

    def fade(self, now: float) -> None:
        """Trust the measured times less the older they are."""
        kept = math.exp(min(0.0, self.updated_s - now) / FADE_S)
        self.busy_s *= kept
        self.first_token_s *= kept
        self.updated_s = now

    def demand(self, now: float) -> PoolDemand:
        """Return the recent demand."""
        meter = self.meter
        return PoolDemand(meter.window(now, SHORT_WINDOW_S), meter.window(now, LONG_WINDOW_S))

    def follow(self, busy_s: float, first_token_s: float, now: float) -> None:
        """Include the times of a request that has ended."""
        self.updated_s = now
        self.busy_s += (busy_s - self.busy_s) * (SMOOTHING if self.busy_s else 1)
        smoothing = SMOOTHING if self.first_token_s else 1
        self.first_token_s += (first_token_s - self.first_token_s) * smoothing


def predict_first_token(
    waiting: int, served: float, figures: PoolFigures, prefill_s: float, *, has_room: bool
) -> float:
    """Return the expected time to the first token in seconds.

    :param waiting: requests that wait ahead of this one.
    :param served: streams of the customer that this instance gets to run at a time. Other
        instances use the same endpoints, so the pool's size says little about it.
    :param prefill_s: time for the prompt on an idle engine.
    """
    first_token_s = max(figures.first_token_s, prefill_s)
    if has_room and not waiting:
        return first_token_s
    return (waiting + 1) * figures.busy_s / max(1, served) + first_token_s
