"""Rate of prompt tokens that need prefill, by service."""

from __future__ import annotations

from collections import defaultdict, deque

import trio

#: Length of the averaging window. It spans a burst, so that a single long prompt does not change a
#: decision.
WINDOW_S = 4.0


class PrefillDemandMeter:
    """Averages prompt tokens by service over a sliding window."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[float, float]]] = defaultdict(deque)

    def record(self, service: str, tokens: float) -> None:
        """Add the tokens of a request that need prefill."""
        self._samples[service].append((trio.current_time(), tokens))

    def rates(self) -> dict[str, float]:
        """Return the tokens per second of each service."""
        oldest = trio.current_time() - WINDOW_S
        for samples in self._samples.values():
            while samples and samples[0][0] < oldest:
                samples.popleft()
        return {
            service: sum(tokens for _, tokens in recorded) / WINDOW_S
            for service, recorded in sorted(self._samples.items())
        }
