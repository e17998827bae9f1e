"""Learn how fast engines prefill from how long their prefills take."""

from __future__ import annotations

import math
import statistics
from collections import defaultdict, deque
from dataclasses import dataclass, field

#: Prefill speed of a prefill engine until enough prefills were measured, in tokens per ms.
INITIAL_TOKENS_PER_MS = 50.0

#: Time of a prefill that does not depend on its length: the round trip and one step of the engine.
FIXED_MS = 4.0

#: Shortest prefill that is measured; in shorter ones the fixed time outweighs the prefill.
MIN_MEASURED_TOKENS = 1000

#: Measurements that the speed of a service is the median of, and the fewest for which it is used.
#: The median tolerates prompts whose cached parts were predicted wrongly.
MAX_MEASUREMENTS = 48
MIN_MEASUREMENTS = 5

#: Weight of a new measurement in the speed of one engine relative to its service.
ENGINE_WEIGHT = 0.15

#: Time in which half of the difference of an engine from its service is forgotten, so that one that
#: gets little work because it was slow is tried again.
ENGINE_HALF_LIFE_S = 10.0

#: Bounds on the speed of one engine relative to its service.
RELATIVE_SPEED_LIMITS = (1 / 16, 16.0)


@dataclass(frozen=True, slots=True)
class PrefillMeasurement:
    """A prefill that an engine has completed.

    :param tokens: prompt tokens that needed prefill.
    :param backlog_tokens: tokens that were queued at the engine before it.
    :param duration_ms: time from sending the prompt to the answer.
    :param at: local time of the answer, in seconds.
    :param fetch_ms: part of that time in which cached parts were expected to be fetched.
    """

    service: str
    engine: str
    tokens: float
    backlog_tokens: float
    duration_ms: float
    at: float
    fetch_ms: float = 0.0

    @property
    def tokens_per_ms(self) -> float:
        """Return the measured speed."""
        prefill_ms = max(1.0, self.duration_ms - self.fetch_ms - FIXED_MS)
        return (self.tokens + self.backlog_tokens) / prefill_ms

    @property
    def is_usable(self) -> bool:
        """Return whether the prompt was long, and most of the time was spent on it."""
        return self.tokens >= MIN_MEASURED_TOKENS and self.backlog_tokens <= self.tokens


@dataclass(frozen=True, slots=True)
class _RelativeSpeed:
    """Logarithm of an engine's speed relative to its service, and the time of the measurement."""

    logarithm: float
    at: float

    def at_time(self, now: float) -> float:
        """Return the logarithm that is left at a time."""
        return self.logarithm * 0.5 ** (max(0.0, now - self.at) / ENGINE_HALF_LIFE_S)


@dataclass(slots=True)
class PrefillSpeeds:
    """Prefill speeds of services and of their engines."""

    _measured: dict[str, deque[float]] = field(
        default_factory=lambda: defaultdict(lambda: deque(maxlen=MAX_MEASUREMENTS))
    )
    _relative: dict[str, _RelativeSpeed] = field(default_factory=dict)

    def record(self, measurement: PrefillMeasurement) -> None:
        """Add a measurement, unless it says little about the speed."""
        if not measurement.is_usable:
            return
        speed = measurement.tokens_per_ms
        self._measured[measurement.service].append(speed)
        lowest, highest = RELATIVE_SPEED_LIMITS
        ratio = min(max(speed / self.of_service(measurement.service), lowest), highest)
        before = self._logarithm(measurement.engine, measurement.at)
        logarithm = before + ENGINE_WEIGHT * (math.log(ratio) - before)
        self._relative[measurement.engine] = _RelativeSpeed(logarithm, measurement.at)

    def of_service(self, service: str) -> float:
        """Return the speed of a typical prefill engine of a service, in tokens per ms."""
        measured = self._measured.get(service, ())
        if len(measured) < MIN_MEASUREMENTS:
            return INITIAL_TOKENS_PER_MS
        return statistics.median(measured)

    def is_known(self, service: str) -> bool:
        """Return whether the speed of a service was measured."""
        return len(self._measured.get(service, ())) >= MIN_MEASUREMENTS

    def of_engine(self, service: str, engine: str, now: float) -> float:
        """Return the speed of an engine when it only prefills, in tokens per ms."""
        return self.of_service(service) * math.exp(self._logarithm(engine, now))

    def forget(self, engine: str) -> None:
        """Drop what is known of an engine that was removed."""
        self._relative.pop(engine, None)

    def _logarithm(self, engine: str, now: float) -> float:
        relative = self._relative.get(engine)
        return 0.0 if relative is None else relative.at_time(now)
