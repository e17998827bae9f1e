"""True time on instances whose wall clock may step."""

from __future__ import annotations

import statistics
import time
from collections import OrderedDict
from collections.abc import Callable

#: Peers whose estimates are kept.
MAX_PEERS = 16


def read_boot_time() -> float:
    """Return seconds of a steady clock that counts suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TrueClock:
    """Estimates the time since 1970 from the steady clock and the estimates of peers.

    The wall clock is read once: a step after that has no effect, and one before it is outvoted by
    the peers, as the median of all estimates counts.

    :param wall: reads the wall clock in seconds since 1970.
    :param steady: reads a steady clock that counts suspensions.
    """

    def __init__(
        self,
        wall: Callable[[], float] = time.time,
        steady: Callable[[], float] = read_boot_time,
    ) -> None:
        self._steady = steady
        self._own_offset = wall() - steady()
        self._peer_offsets: OrderedDict[str, float] = OrderedDict()

    def now(self) -> float:
        """Return the estimated time since 1970 in seconds."""
        offsets = (self._own_offset, *self._peer_offsets.values())
        return self._steady() + statistics.median_low(offsets)

    def own(self) -> float:
        """Return the estimate of this instance alone, which peers are told.

        Peers that told each other their medians could drift together.
        """
        return self._steady() + self._own_offset

    def note_peer(self, peer: str, estimate: float) -> None:
        """Take note of a peer's own estimate; the way it took is a few milliseconds."""
        self._peer_offsets[peer] = estimate - self._steady()
        self._peer_offsets.move_to_end(peer)
        if len(self._peer_offsets) > MAX_PEERS:
            self._peer_offsets.popitem(last=False)
