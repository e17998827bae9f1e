"""Prompt tokens that had to be read lately."""

from __future__ import annotations

from collections import defaultdict, deque

import trio

from shallotmux.fleet import ServiceDemand

#: Time over which the demand is averaged, in seconds. It spans a burst, so that a single long
#: prompt moves no decision.
WINDOW_S = 4.0


class DemandMeter:
    """Adds up prompt tokens by service over a sliding window."""

    def __init__(self) -> None:
        self._noted: dict[str, deque[tuple[float, float]]] = defaultdict(deque)

    def note(self, service: str, tokens: float) -> None:
        """Count the tokens of a request that have to be read."""
        self._noted[service].append((trio.current_time(), tokens))

    def rates(self) -> tuple[ServiceDemand, ...]:
        """Return the tokens per second of each service."""
        oldest = trio.current_time() - WINDOW_S
        for times in self._noted.values():
            while times and times[0][0] < oldest:
                times.popleft()
        return tuple(
            ServiceDemand(service, sum(tokens for _, tokens in noted) / WINDOW_S)
            for service, noted in sorted(self._noted.items())
        )
