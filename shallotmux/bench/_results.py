"""Results of the benchmark, their spread and their targets."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

#: Targets from section 1.8 of the design document.
MAX_TOKEN_CPU_US = 35.0
MAX_REQUEST_CPU_MS = 5.0
MAX_ADDED_LATENCY_MS = 5.0
MAX_TAIL_LATENCY_RATIO = 3.0


@dataclass(frozen=True, slots=True)
class Spread:
    """Median, minimum and maximum of a measurement over all repetitions."""

    median: float
    least: float
    greatest: float

    def __str__(self) -> str:
        """Return the text shown in tables."""
        return f'{self.median:.2f} ({self.least:.2f} to {self.greatest:.2f})'


@dataclass(frozen=True, slots=True)
class Latency:
    """Times to first byte in one repetition, in milliseconds.

    :param direct: calls to the engine.
    :param relayed: the same calls through an instance, alternated with the direct ones.
    """

    direct: tuple[float, ...]
    relayed: tuple[float, ...]

    def added_ms(self) -> float:
        """Return the difference of the medians in milliseconds."""
        return statistics.median(self.relayed) - statistics.median(self.direct)

    def tail_ratio(self) -> float:
        """Return the 99th percentile of the relayed calls as a multiple of their median."""
        return percentile(self.relayed, 99) / statistics.median(self.relayed)


@dataclass(frozen=True, slots=True)
class BenchResults:
    """Results of all repetitions.

    :param token_cpu_us: CPU time of the instance per relayed token, in microseconds.
    :param pipe_cpu_us: CPU time per token of a process that only copies the bytes.
    :param request_cpu_ms: CPU time of the instance per request of one token, in milliseconds.
    :param tokens: tokens relayed in each repetition.
    :param idle_cpu_ms_per_s: CPU time of the idle instance per second, in milliseconds; included
        in the cost per token.
    """

    token_cpu_us: tuple[float, ...]
    pipe_cpu_us: tuple[float, ...]
    request_cpu_ms: tuple[float, ...]
    latency: tuple[Latency, ...]
    tokens: int
    idle_cpu_ms_per_s: float = 0.0

    def rows(self) -> tuple[tuple[str, Spread, float], ...]:
        """Return name, spread and target of each measurement."""
        added_latencies_ms = [each.added_ms() for each in self.latency]
        tail_ratios = [each.tail_ratio() for each in self.latency]
        return (
            ('CPU per token (µs)', summarize(self.token_cpu_us), MAX_TOKEN_CPU_US),
            ('CPU per request (ms)', summarize(self.request_cpu_ms), MAX_REQUEST_CPU_MS),
            (
                'first byte over direct call (ms)',
                summarize(added_latencies_ms),
                MAX_ADDED_LATENCY_MS,
            ),
            ('first byte, p99 / median', summarize(tail_ratios), MAX_TAIL_LATENCY_RATIO),
        )

    def meets_targets(self) -> bool:
        """Return whether the median of every measurement meets its target."""
        return all(spread.median <= target for _, spread, target in self.rows())

    def render(self) -> str:
        """Return the results as a Markdown table."""
        direct = summarize([_median_ms(each.direct) for each in self.latency])
        relayed = summarize([_median_ms(each.relayed) for each in self.latency])
        lines = ['| figure | median (least to greatest) | target |', '| --- | --- | --- |']
        lines.extend(f'| {name} | {spread} | {target:g} |' for name, spread, target in self.rows())
        lines.append(
            f'| CPU per token, copying bytes only (µs) | {summarize(self.pipe_cpu_us)} | |'
        )
        lines.append(f'| idle instance, CPU per second (ms) | {self.idle_cpu_ms_per_s:.1f} | |')
        lines.append(f'| first byte, direct (ms) | {direct} | |')
        lines.append(f'| first byte, relayed (ms) | {relayed} | |')
        lines.append(f'\n{len(self.latency)} repetitions, {self.tokens} tokens relayed in each')
        return '\n'.join(lines)


def summarize(values: Sequence[float]) -> Spread:
    """Return the median, minimum and maximum of some values."""
    return Spread(statistics.median(values), min(values), max(values))


def percentile(values: Sequence[float], rank: int) -> float:
    """Return a percentile by the nearest-rank method."""
    ordered = sorted(values)
    rank_position = -(-len(ordered) * rank // 100)
    return ordered[max(rank_position, 1) - 1]


def _median_ms(values: Sequence[float]) -> float:
    return statistics.median(values)
