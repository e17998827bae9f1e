"""Schedule the loading of model weights from a rate-limited store."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightLoad:
    """A model to be loaded on an engine.

    :param endpoint: name of the engine.
    :param waiting_s: engine seconds of the requests that wait for the model.
    :param serving: number of engines that already serve the model.
    """

    model: str
    endpoint: str
    waiting_s: float
    serving: int

    @property
    def urgency(self) -> float:
        """Waiting work per engine that serves the model; infinite if there is none."""
        return self.waiting_s / self.serving if self.serving else float('inf')


@dataclass(frozen=True, slots=True)
class ScheduledLoad:
    """A load and the time in seconds at which it may start."""

    load: WeightLoad
    start_s: float
    reason: str


def schedule_loads(
    loads: Sequence[WeightLoad], now: float, interval_s: float, next_free_s: float
) -> tuple[ScheduledLoad, ...]:
    """Order loads by urgency within the store's rate limit.

    :param interval_s: minimum time between two starts.
    :param next_free_s: earliest time at which the store accepts a start, for example after a
        ``Retry-After`` header.
    :returns: all loads by decreasing urgency, then by waiting work and name.
    """
    ordered = sorted(
        loads, key=lambda load: (-load.urgency, -load.waiting_s, load.model, load.endpoint)
    )
    start = max(now, next_free_s)
    return tuple(
        ScheduledLoad(load, start + index * interval_s, f'urgency {load.urgency:.3g}')
        for index, load in enumerate(ordered)
    )
