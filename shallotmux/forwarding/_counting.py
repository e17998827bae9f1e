"""Count the requests that started to run, by customer and time window."""

from __future__ import annotations

from collections import Counter

from shallotmux.fleet import CustomerCount, TrueClock

#: Number of past windows whose counts are kept and reported again.
RETAINED_WINDOWS = 8


class RequestCounter:
    """Request counts of this instance.

    Each report holds the totals of all kept windows, so a lost message loses no counts.

    :param clock: clock that agrees across instances.
    :param window_s: length of a window; windows are aligned to the Unix epoch.
    """

    def __init__(self, clock: TrueClock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._counts: Counter[tuple[int, str]] = Counter()

    def record_run_started(self, customer: str) -> None:
        """Count a request whose first token or answer has just arrived."""
        window = int(self._clock.now() // self._window_s)
        self._counts[window, customer] += 1

    def counts(self) -> tuple[CustomerCount, ...]:
        """Return the counts of the kept windows, and drop older ones."""
        oldest = int(self._clock.now() // self._window_s) - RETAINED_WINDOWS
        for key in tuple(self._counts):
            if key[0] < oldest:
                self._counts.pop(key)
        return tuple(
            CustomerCount(customer, window, requests)
            for (window, customer), requests in sorted(self._counts.items())
        )
