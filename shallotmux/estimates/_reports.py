"""A load report of an endpoint, and whether it can be true."""

from __future__ import annotations

from dataclasses import dataclass

#: Most requests, running and waiting together, of a plausible report.
MAX_REQUESTS = 100_000

#: Slowest pace of a plausible report, in percent of the usual time.
MAX_PACE_PERCENT = 10_000

#: Bounds on the pace that is used. A machine that claims to be far faster than usual must not attract
#: all requests.
PACE_LIMITS = (0.25, 16.0)

#: Pace from which an endpoint counts as slowed down.
SLOW_PACE = 1.25


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reported in the head of an answer.

    :param running: requests that it runs, of all instances.
    :param waiting: requests that wait there, of all instances.
    :param slots: requests that it runs at most; 0 if it did not say.
    :param pace_percent: how long work takes there at this moment; 100 as usual, 200 twice as long.
    :param at: local time of the report, in seconds.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int = 100
    at: float = 0.0

    @property
    def is_plausible(self) -> bool:
        """Return whether an endpoint can be in this state."""
        are_counts = min(self.running, self.waiting, self.slots) >= 0
        are_few = self.running + self.waiting <= MAX_REQUESTS and self.slots <= MAX_REQUESTS
        return are_counts and are_few and 1 <= self.pace_percent <= MAX_PACE_PERCENT

    @property
    def pace(self) -> float:
        """Return the factor on usual times, within the bounds that are believed."""
        lowest, highest = PACE_LIMITS
        return min(max(self.pace_percent / 100, lowest), highest)

    @property
    def is_busy(self) -> bool:
        """Return whether other instances should send less work there."""
        is_full = 0 < self.slots <= self.running
        return bool(self.waiting) or is_full or self.pace >= SLOW_PACE
