"""Detect that the machine was suspended."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

import trio

#: Increase of the suspended time that counts as a suspension. Reading two clocks one after the other
#: differs by less.
MIN_SUSPENSION_S = 0.02


def read_suspended_time() -> float:
    """Return the seconds since boot in which the machine was suspended.

    The monotonic clock, by which leases are measured, does not count that time.
    """
    monotonic = time.clock_gettime(time.CLOCK_MONOTONIC)
    return time.clock_gettime(time.CLOCK_BOOTTIME) - monotonic


class SuspensionMonitor:
    """Remembers when a suspension of the machine was last noticed.

    :param read: returns the seconds in which the machine was suspended so far.
    """

    def __init__(self, read: Callable[[], float] = read_suspended_time) -> None:
        self._read = read
        self._suspended_s = read()
        self._noticed_at = -math.inf

    def noticed_at(self) -> float:
        """Return the local time at which the last suspension was noticed; minus infinity if none.

        What was confirmed before that time may have expired during the suspension.
        """
        suspended_s = self._read()
        if suspended_s - self._suspended_s > MIN_SUSPENSION_S:
            self._suspended_s = suspended_s
            self._noticed_at = trio.current_time()
        return self._noticed_at
