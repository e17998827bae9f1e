"""Learn how real times follow from estimated ones."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import median

#: Newest pairs that a correction is fitted to.
MAX_PAIRS = 24

#: Pairs from which the fixed part is a median. Below, it is the smallest of the differences, limited
#: and weighted by their number, so that a single request that a fault delayed has little effect.
MIN_PAIRS = 3
UNSURE_FIXED_MS = 100.0

#: Pairs from which the factor is fitted. It is drawn towards 1 until there are :data:`MAX_PAIRS`. The
#: outer thirds have three pairs then; the median of two is their mean, which one slow answer raises.
MIN_SLOPE_PAIRS = 9

#: Bounds on the factor.
FACTOR_LIMITS = (0.25, 4.0)

#: Smallest difference between the shorter and the longer estimates for which a factor is fitted, and
#: the same relative to the longer ones. Among equal estimates only the real times differ.
MIN_SPREAD_MS = 10.0
MIN_SPREAD = 0.25

#: Bounds on a time that is learned from, in ms.
TIME_LIMITS_MS = (0.1, 60_000.0)

#: Time of plain work until one was seen.
INITIAL_WORK_MS = 50.0

#: Newest real times of plain work that are kept.
MAX_WORK_TIMES = 24


def limit_time_ms(time_ms: float) -> float:
    """Return a time within the bounds of those that are learned from."""
    lowest, highest = TIME_LIMITS_MS
    return min(max(time_ms, lowest), highest)


@dataclass(slots=True)
class TimeCorrection:
    """Real time as a linear function of the estimated one: a fixed part and a factor.

    The line is Tukey's resistant line: medians bound the effect of any single pair.
    """

    fixed_ms: float = 0.0
    factor: float = 1.0
    _pairs: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MAX_PAIRS))

    @property
    def is_known(self) -> bool:
        """Return whether enough pairs were seen to tell an endpoint from its service."""
        return len(self._pairs) >= MIN_SLOPE_PAIRS

    def apply(self, base_ms: float) -> float:
        """Return the corrected time."""
        return self.fixed_ms + self.factor * base_ms

    def record(self, base_ms: float, real_ms: float) -> None:
        """Add a pair, and fit the line."""
        self._pairs.append((limit_time_ms(base_ms), limit_time_ms(real_ms)))
        count = len(self._pairs)
        if count < MIN_PAIRS:
            excess_ms = min(real - base for base, real in self._pairs)
            self.fixed_ms = min(max(0.0, excess_ms), UNSURE_FIXED_MS) * count / (count + 1)
            return
        self.factor = _fit_factor(sorted(self._pairs)) if count >= MIN_SLOPE_PAIRS else 1.0
        self.fixed_ms = median(real - self.factor * base for base, real in self._pairs)
        if self.fixed_ms < 0:
            # Work takes no negative time; a line through the origin fits then.
            self.fixed_ms = 0.0
            self.factor = _limit_factor(median(real / base for base, real in self._pairs))


def _fit_factor(pairs: Sequence[tuple[float, float]]) -> float:
    """Return the slope between the medians of the outer thirds, drawn towards 1 if pairs are few."""
    third = len(pairs) // 3
    shorter, longer = pairs[:third], pairs[-third:]
    base_ms = median(base for base, _ in longer)
    run_ms = base_ms - median(base for base, _ in shorter)
    if run_ms < max(MIN_SPREAD_MS, MIN_SPREAD * base_ms):
        return 1.0
    rise_ms = median(real for _, real in longer) - median(real for _, real in shorter)
    return _limit_factor(rise_ms / run_ms) ** (len(pairs) / MAX_PAIRS)


def _limit_factor(factor: float) -> float:
    lowest, highest = FACTOR_LIMITS
    return min(max(factor, lowest), highest)


@dataclass(slots=True)
class WorkTime:
    """Time of one plain request at an endpoint of usual pace, without a wait."""

    usual_ms: float = INITIAL_WORK_MS
    _times: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_WORK_TIMES))

    @property
    def is_known(self) -> bool:
        """Return whether enough times were seen to tell an endpoint from its service."""
        return len(self._times) >= MIN_SLOPE_PAIRS

    def record(self, units: float, real_ms: float) -> None:
        """Add a real time.

        :param units: the estimate as a multiple of the usual time.
        """
        if units <= 0 or not math.isfinite(units):
            return
        self._times.append(limit_time_ms(real_ms) / units)
        count = len(self._times)
        self.usual_ms = min(self._times) if count < MIN_PAIRS else median(self._times)
