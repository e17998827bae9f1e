"""Figures of the benchmark, their spread and their targets."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

#: Targets of the design page, section 1.8.
MAX_TOKEN_CPU_US = 35.0
MAX_REQUEST_CPU_MS = 5.0
MAX_ADDED_MS = 5.0
MAX_TAIL_RATIO = 3.0


@dataclass(frozen=True, slots=True)
class Spread:
    """Median of a figure over repetitions, with the least and the greatest."""

    median: float
    least: float
    greatest: float

    def __str__(self) -> str:
        """Return the figure as it is shown in tables."""
        return f'{self.median:.2f} ({self.least:.2f} to {self.greatest:.2f})'


@dataclass(frozen=True, slots=True)
class Latency:
    """Times to the first byte of one repetition, in milliseconds.

    :param direct: calls to the engine.
    :param relayed: the same calls through an instance, alternating with the direct ones.
    """

    direct: tuple[float, ...]
    relayed: tuple[float, ...]

    def added_ms(self) -> float:
        """Return the difference of the medians."""
        return statistics.median(self.relayed) - statistics.median(self.direct)

    def tail_ratio(self) -> float:
        """Return the 99th percentile of the relayed calls as a multiple of their median."""
        return percentile(self.relayed, 99) / statistics.median(self.relayed)


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of all repetitions.

    :param token_cpu_us: CPU time of the instance per relayed token, in microseconds.
    :param pipe_cpu_us: the same for a process that only copies the bytes.
    :param request_cpu_ms: CPU time of the instance per request of one token, in milliseconds.
    :param tokens: tokens relayed in each repetition.
    :param background_ms: CPU time of the idle instance per second, in milliseconds; part of the
        cost per token above.
    """

    token_cpu_us: tuple[float, ...]
    pipe_cpu_us: tuple[float, ...]
    request_cpu_ms: tuple[float, ...]
    latency: tuple[Latency, ...]
    tokens: int
    background_ms: float = 0.0

    def rows(self) -> tuple[tuple[str, Spread, float], ...]:
        """Return name, spread and target of each figure."""
        added = [each.added_ms() for each in self.latency]
        tails = [each.tail_ratio() for each in self.latency]
        return (
            ('CPU per token (µs)', spread_of(self.token_cpu_us), MAX_TOKEN_CPU_US),
            ('CPU per request (ms)', spread_of(self.request_cpu_ms), MAX_REQUEST_CPU_MS),
            ('first byte over direct call (ms)', spread_of(added), MAX_ADDED_MS),
            ('first byte, p99 / median', spread_of(tails), MAX_TAIL_RATIO),
        )

    def meets_targets(self) -> bool:
        """Tell whether the median of every figure is within its target."""
        return all(spread.median <= target for _, spread, target in self.rows())

    def render(self) -> str:
        """Return a Markdown table."""
        direct = spread_of([_median_ms(each.direct) for each in self.latency])
        relayed = spread_of([_median_ms(each.relayed) for each in self.latency])
        lines = ['| figure | median (least to greatest) | target |', '| --- | --- | --- |']
        lines.extend(f'| {name} | {spread} | {target:g} |' for name, spread, target in self.rows())
        lines.append(
            f'| CPU per token, copying bytes only (µs) | {spread_of(self.pipe_cpu_us)} | |'
        )
        lines.append(f'| idle instance, CPU per second (ms) | {self.background_ms:.1f} | |')
        lines.append(f'| first byte, direct (ms) | {direct} | |')
        lines.append(f'| first byte, relayed (ms) | {relayed} | |')
        lines.append(f'\n{len(self.latency)} repetitions, {self.tokens} tokens relayed in each')
        return '\n'.join(lines)


def spread_of(figures: Sequence[float]) -> Spread:
    """Return the median, least and greatest of some figures."""
    return Spread(statistics.median(figures), min(figures), max(figures))


def percentile(figures: Sequence[float], rank: int) -> float:
    """Return a percentile by the nearest rank."""
    ordered = sorted(figures)
    place = -(-len(ordered) * rank // 100)
    return ordered[max(place, 1) - 1]


def _median_ms(figures: Sequence[float]) -> float:
    return statistics.median(figures)
