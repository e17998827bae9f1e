"""Learn how fast engines prefill from how long their prefills take."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import combinations

#: Prefill speed of a prefill engine until enough prefills were measured, in tokens per ms.
INITIAL_TOKENS_PER_MS = 50.0

#: Time of a prefill that does not depend on its length, until it is measured: the round trip and one
#: step of the engine.
INITIAL_FIXED_MS = 4.0

#: Bounds on the measured speed of a service, in tokens per ms.
SPEED_LIMITS = (1.0, 5000.0)

#: Shortest prefill that is measured.
MIN_MEASURED_TOKENS = 100

#: Largest backlog of a measured prefill, relative to its own tokens. How the engine mixes the prompts
#: of a longer one is not known.
MAX_RELATIVE_BACKLOG = 0.25

#: Measurements that the speed of a service is fitted to, the fewest for which it is, and the number
#: of new ones after which it is fitted again.
MAX_MEASUREMENTS = 16
MIN_MEASUREMENTS = 10
FIT_INTERVAL = 8

#: Share of the measurements that are faster than the fitted line. It is low, since a prefill takes
#: longer for many reasons, such as other prompts and parts that were not cached.
FASTER_SHARE = 0.3

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
    :param pace: factor on usual times that the engine reported.
    """

    service: str
    engine: str
    tokens: float
    backlog_tokens: float
    duration_ms: float
    at: float
    fetch_ms: float = 0.0
    pace: float = 1.0

    @property
    def queued_tokens(self) -> float:
        """Return the tokens that were prefilled in the measured time."""
        return self.tokens + self.backlog_tokens

    @property
    def prefill_ms(self) -> float:
        """Return the time without the fetching of cached parts, at the usual pace."""
        return max(0.1, (self.duration_ms - self.fetch_ms) / self.pace)

    @property
    def is_usable(self) -> bool:
        """Return whether most of the time was spent on a prompt that is long enough."""
        is_long = self.tokens >= MIN_MEASURED_TOKENS
        return is_long and self.backlog_tokens <= MAX_RELATIVE_BACKLOG * self.tokens


@dataclass(frozen=True, slots=True)
class _Line:
    """Duration of a prefill as a linear function of its tokens."""

    fixed_ms: float = INITIAL_FIXED_MS
    tokens_per_ms: float = INITIAL_TOKENS_PER_MS

    def duration_ms(self, tokens: float) -> float:
        """Return the duration of a prefill."""
        return self.fixed_ms + tokens / self.tokens_per_ms

    def loss(self, points: Sequence[tuple[float, float]]) -> float:
        """Return how badly the line separates the faster from the slower prefills."""
        excesses = (duration_ms - self.duration_ms(tokens) for tokens, duration_ms in points)
        return sum(max(FASTER_SHARE * each, (FASTER_SHARE - 1) * each) for each in excesses)


def _fit_line(points: Sequence[tuple[float, float]]) -> _Line | None:
    """Return the line through two of the points with the lowest loss; None if there is none.

    One of the lines with the lowest loss of a quantile regression runs through two points.
    """
    lines = (_connect(first, second) for first, second in combinations(points, 2))
    return min(
        (line for line in lines if line is not None),
        key=lambda line: line.loss(points),
        default=None,
    )


def _connect(first: tuple[float, float], second: tuple[float, float]) -> _Line | None:
    """Return the line through two points, or None if a prefill cannot behave so."""
    tokens = second[0] - first[0]
    duration_ms = second[1] - first[1]
    if not tokens or duration_ms / tokens <= 0:
        return None
    speed = tokens / duration_ms
    fixed_ms = first[1] - first[0] / speed
    lowest, highest = SPEED_LIMITS
    return _Line(fixed_ms, speed) if fixed_ms >= 0 and lowest <= speed <= highest else None


def _mix_lines(before: _Line, fitted: _Line) -> _Line:
    """Return the line halfway between two, so that one bad fit has less effect."""
    return _Line(
        (before.fixed_ms + fitted.fixed_ms) / 2,
        math.sqrt(before.tokens_per_ms * fitted.tokens_per_ms),
    )


@dataclass(slots=True)
class _ServiceSpeed:
    """Recent prefills of one service, as tokens and duration, and the line fitted to them."""

    points: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_MEASUREMENTS)
    )
    line: _Line = _Line()
    is_known: bool = False
    _new_points: int = 0

    def add(self, tokens: float, duration_ms: float) -> None:
        """Add a prefill, and fit the line again after enough of them."""
        self.points.append((tokens, duration_ms))
        self._new_points += 1
        is_due = not self.is_known or self._new_points >= FIT_INTERVAL
        if len(self.points) < MIN_MEASUREMENTS or not is_due:
            return
        self._new_points = 0
        line = _fit_line(self.points)
        if line is not None:
            self.line = _mix_lines(self.line, line)
            self.is_known = True


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

    _services: dict[str, _ServiceSpeed] = field(default_factory=lambda: defaultdict(_ServiceSpeed))
    _relative: dict[str, _RelativeSpeed] = field(default_factory=dict)

    def record(self, measurement: PrefillMeasurement) -> None:
        """Add a measurement, unless it says little about the speed."""
        if not measurement.is_usable:
            return
        service = self._services[measurement.service]
        tokens, duration_ms = measurement.queued_tokens, measurement.prefill_ms
        service.add(tokens, duration_ms)
        lowest, highest = RELATIVE_SPEED_LIMITS
        ratio = min(max(service.line.duration_ms(tokens) / duration_ms, lowest), highest)
        before = self._logarithm(measurement.engine, measurement.at)
        logarithm = before + ENGINE_WEIGHT * (math.log(ratio) - before)
        self._relative[measurement.engine] = _RelativeSpeed(logarithm, measurement.at)

    def of_service(self, service: str) -> float:
        """Return the speed of a typical prefill engine of a service, in tokens per ms."""
        found = self._services.get(service)
        return found.line.tokens_per_ms if found else INITIAL_TOKENS_PER_MS

    def is_known(self, service: str) -> bool:
        """Return whether the speed of a service was measured."""
        found = self._services.get(service)
        return found is not None and found.is_known

    def of_engine(self, service: str, engine: str, now: float) -> float:
        """Return the speed of an engine when it only prefills, in tokens per ms."""
        speed = self.of_service(service)
        relative = self._relative.get(engine)
        return speed if relative is None else speed * math.exp(relative.at_time(now))

    def forget(self, engine: str) -> None:
        """Drop what is known of an engine that was removed."""
        self._relative.pop(engine, None)

    def _logarithm(self, engine: str, now: float) -> float:
        relative = self._relative.get(engine)
        return 0.0 if relative is None else relative.at_time(now)
