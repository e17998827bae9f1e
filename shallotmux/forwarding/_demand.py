"""Rate of prompt tokens that need prefill, by service."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable

import trio

#: Lengths of the averaging windows; the one with the highest rate counts. The long one spans a burst,
#: so that a single long prompt does not change a decision; the short one shows the start of a burst
#: while there is still time to boot engines for it.
WINDOWS_S = (4.0, 1.5)


class PrefillDemandMeter:
    """Averages prompt tokens by service over a sliding window."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[float, float]]] = defaultdict(deque)

    def record(self, service: str, tokens: float) -> None:
        """Add the tokens of a request that need prefill."""
        self._samples[service].append((trio.current_time(), tokens))

    def request_rates(self) -> dict[str, float]:
        """Return the requests per second of each service."""
        oldest = trio.current_time() - max(WINDOWS_S)
        return {
            service: sum(at >= oldest for at, _ in recorded) / max(WINDOWS_S)
            for service, recorded in self._samples.items()
        }

    def rates(self) -> dict[str, float]:
        """Return the tokens per second of each service."""
        now = trio.current_time()
        for samples in self._samples.values():
            while samples and samples[0][0] < now - max(WINDOWS_S):
                samples.popleft()
        return {
            service: max(_mean_rate(recorded, now, window_s) for window_s in WINDOWS_S)
            for service, recorded in sorted(self._samples.items())
        }


def _mean_rate(samples: Iterable[tuple[float, float]], now: float, window_s: float) -> float:
    return sum(tokens for at, tokens in samples if at >= now - window_s) / window_s
