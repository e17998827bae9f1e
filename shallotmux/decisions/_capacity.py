"""How busy engines with given roles are under a demand."""

from __future__ import annotations

from dataclasses import dataclass

#: Precision of the utilisation.
PRECISION = 0.005

#: Utilisation above which no further difference matters.
HIGHEST = 4.0


@dataclass(frozen=True, slots=True)
class EngineRates:
    """Rates of an engine, from its load reports.

    :param chunk_tokens: prompt tokens processed in a step beside decoding streams.
    :param batch: streams that decode together at most.
    """

    prefill_tokens_per_s: float = 20_000
    step_base_s: float = 0.012
    step_stream_s: float = 0.00025
    chunk_tokens: float = 512
    batch: float = 96


@dataclass(frozen=True, slots=True)
class WorkDemand:
    """Uncached prompt tokens and generated tokens for each second."""

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
    """Return the busy share of mixed engines.

    A step costs its base once: as many steps are needed as chunks of prompts, or as full batches,
    whichever is more. Without streams, prompts need no such steps.
    """
    if engines <= 0:
        return HIGHEST
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
    """Return the smallest busy share at which the engines carry a demand.

    Engines with a role of their own take work up to the same share as the mixed ones, which take
    the rest. Only streams whose prompt was processed by a prefill engine move to another engine,
    so decode engines help no further than prefill engines feed them.
    """
    low, high = 0.0, HIGHEST
    while high - low > PRECISION:
        middle = (low + high) / 2
        if _carries(counts, demand, rates, middle):
            high = middle
        else:
            low = middle
    return high


def _carries(counts: RoleCounts, demand: WorkDemand, rates: EngineRates, share: float) -> bool:
    decode_s = rates.step_stream_s + rates.step_base_s / rates.batch
    offered = demand.prefill_tokens_per_s
    prefill_served = min(offered, share * counts.prefill * rates.prefill_tokens_per_s)
    handed = demand.decode_tokens_per_s * (prefill_served / offered if offered else 0.0)
    decoded = min(handed, share * counts.decode / decode_s)
    rest = WorkDemand(offered - prefill_served, demand.decode_tokens_per_s - decoded)
    if rest == WorkDemand():
        return True
    return mixed_utilisation(rest, rates, counts.mixed) <= share
