"""Utilisation of engines with given roles under a given demand."""

from __future__ import annotations

from dataclasses import dataclass

#: Tolerance of the bisection for the utilisation.
PRECISION = 0.005

#: Upper bound of the utilisation; differences above it do not matter.
MAX_UTILISATION = 4.0


@dataclass(frozen=True, slots=True)
class EngineRates:
    """Rates of an engine, from its load reports.

    :param step_base_s: fixed duration of a decoding step.
    :param step_stream_s: additional duration of a step for each stream.
    :param chunk_tokens: prompt tokens processed in a step alongside decoding streams.
    :param batch: largest number of streams that decode in one step.
    """

    prefill_tokens_per_s: float = 20_000
    step_base_s: float = 0.012
    step_stream_s: float = 0.00025
    chunk_tokens: float = 512
    batch: float = 96


@dataclass(frozen=True, slots=True)
class WorkDemand:
    """Uncached prompt tokens and generated tokens per second."""

    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RoleCounts:
    """Engines by role."""

    prefill: int = 0
    decode: int = 0
    mixed: int = 0

    @property
    def total(self) -> int:
        """Number of engines."""
        return self.prefill + self.decode + self.mixed


def mixed_utilisation(demand: WorkDemand, rates: EngineRates, engines: float) -> float:
    """Return the utilisation of mixed engines.

    The fixed duration of a step is paid once for each prompt chunk or full batch, whichever are
    more. Prompts alone, without streams, need no such steps.
    """
    if engines <= 0:
        return MAX_UTILISATION
    steps = 0.0
    if demand.decode_tokens_per_s:
        steps = max(
            demand.prefill_tokens_per_s / rates.chunk_tokens,
            demand.decode_tokens_per_s / rates.batch,
        )
    busy = demand.prefill_tokens_per_s / rates.prefill_tokens_per_s
    busy += steps * rates.step_base_s + demand.decode_tokens_per_s * rates.step_stream_s
    return busy / engines


def utilisation(counts: RoleCounts, demand: WorkDemand, rates: EngineRates) -> float:
    """Return the lowest utilisation at which the engines can serve a demand.

    Prefill and decode engines take work up to the same utilisation as the mixed ones, which take
    the remainder. Only streams whose prompt ran on a prefill engine move to a decode engine, so
    decode engines can take no more streams than prefill engines pass on.
    """
    low, high = 0.0, MAX_UTILISATION
    while high - low > PRECISION:
        middle = (low + high) / 2
        if _can_serve(counts, demand, rates, middle):
            high = middle
        else:
            low = middle
    return high


def _can_serve(counts: RoleCounts, demand: WorkDemand, rates: EngineRates, share: float) -> bool:
    decode_s = rates.step_stream_s + rates.step_base_s / rates.batch
    offered = demand.prefill_tokens_per_s
    prefill_served = min(offered, share * counts.prefill * rates.prefill_tokens_per_s)
    handed_over = demand.decode_tokens_per_s * (prefill_served / offered if offered else 0.0)
    decoded = min(handed_over, share * counts.decode / decode_s)
    rest = WorkDemand(offered - prefill_served, demand.decode_tokens_per_s - decoded)
    if rest == WorkDemand():
        return True
    return mixed_utilisation(rest, rates, counts.mixed) <= share
