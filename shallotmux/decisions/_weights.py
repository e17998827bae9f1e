"""Schedule loads from the rate-limited weight store."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightLoad:
    """A model that an engine waits for.

    :param waiting_s: engine seconds of requests that wait for the model.
    :param serving: engines that serve the model already.
    """

    model: str
    endpoint: str
    waiting_s: float
    serving: int

    @property
    def urgency(self) -> float:
        """Waiting work for each engine that could do it; without any engine it is unbounded."""
        return self.waiting_s / self.serving if self.serving else float('inf')


@dataclass(frozen=True, slots=True)
class ScheduledLoad:
    """A load and the time it may start, in seconds."""

    load: WeightLoad
    start_s: float
    reason: str


def schedule_loads(
    loads: Sequence[WeightLoad], now: float, interval_s: float, next_free_s: float
) -> tuple[ScheduledLoad, ...]:
    """Order loads by urgency within the store's rate limit.

    :param interval_s: least time between two starts.
    :param next_free_s: first time the store accepts a start, for example from ``Retry-After``.
    :returns: all loads, the most urgent first; equal urgency is ordered by waiting work and name.
    """
    ordered = sorted(
        loads, key=lambda load: (-load.urgency, -load.waiting_s, load.model, load.endpoint)
    )
    start = max(now, next_free_s)
    return tuple(
        ScheduledLoad(load, start + place * interval_s, f'urgency {load.urgency:.3g}')
        for place, load in enumerate(ordered)
    )
