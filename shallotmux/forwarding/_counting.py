"""Count the requests that began to run, by customer and window of true time."""

from __future__ import annotations

from collections import Counter

from shallotmux.fleet import CustomerCount, TrueClock

#: Windows of which the counts are kept and sent again.
KEPT_WINDOWS = 8


class RequestCounter:
    """Counts of this instance; sent whole each time, so that a lost message loses nothing.

    :param window_s: length of a window; the first one begins with the year 1970.
    """

    def __init__(self, clock: TrueClock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._counts: Counter[tuple[int, str]] = Counter()

    def record_run_started(self, customer: str) -> None:
        """Count a request whose first token or answer came now."""
        window = int(self._clock.now() // self._window_s)
        self._counts[window, customer] += 1

    def counts(self) -> tuple[CustomerCount, ...]:
        """Return the counts of the windows that may still be reported."""
        oldest = int(self._clock.now() // self._window_s) - KEPT_WINDOWS
        for place in tuple(self._counts):
            if place[0] < oldest:
                self._counts.pop(place)
        return tuple(
            CustomerCount(customer, window, requests)
            for (window, customer), requests in sorted(self._counts.items())
        )
