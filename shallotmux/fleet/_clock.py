"""Time estimate that tolerates steps of an instance's wall clock."""

from __future__ import annotations

import statistics
import time
from collections import OrderedDict
from collections.abc import Callable

#: Number of peers whose estimates are kept.
MAX_PEERS = 16

#: Latest time that an estimate can name, in the year 2286.
MAX_TIME_S = 1e10


def read_boot_time() -> float:
    """Return seconds of a monotonic clock that includes time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrueClock:
    """Estimates the time since 1970 from a monotonic clock and the estimates of peers.

    The wall clock is read once, so a later step has no effect. An earlier step has no effect once
    enough peers are known, as the clock returns the median of all estimates.

    :param wall_clock: returns the wall-clock time in seconds since 1970.
    :param monotonic_clock: returns the seconds of a monotonic clock that includes suspension.
    """

    def __init__(
        self,
        wall_clock: Callable[[], float] = time.time,
        monotonic_clock: Callable[[], float] = read_boot_time,
    ) -> None:
        self._monotonic_clock = monotonic_clock
        self._local_offset = wall_clock() - monotonic_clock()
        self._peer_offsets: OrderedDict[str, float] = OrderedDict()

    def now(self) -> float:
        """Return the estimated time since 1970 in seconds."""
        offsets = (self._local_offset, *self._peer_offsets.values())
        return self._monotonic_clock() + statistics.median_low(offsets)

    def local_estimate(self) -> float:
        """Return the estimate of this instance alone, in seconds since 1970.

        This estimate is sent to peers: if they exchanged their medians, they could drift together.
        """
        return self._monotonic_clock() + self._local_offset

    def record_peer_estimate(self, peer: str, estimate: float) -> None:
        """Record a peer's local estimate; the network delay of a few milliseconds is ignored.

        One that is no time since 1970 is not recorded.
        """
        if not 0 <= estimate <= MAX_TIME_S:
            return
        self._peer_offsets[peer] = estimate - self._monotonic_clock()
        self._peer_offsets.move_to_end(peer)
        if len(self._peer_offsets) > MAX_PEERS:
            self._peer_offsets.popitem(last=False)
