"""Sum the demand that the instances of a zone record."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotmux.authority import PoolDemand, UsageState
from shallotmux.decisions import WorkDemand

#: Age in seconds of an instance's last batch above which its demand is left out.
MAX_BATCH_AGE_S = 5.0


@dataclass(frozen=True, slots=True)
class ZoneDemand:
    """Demand for one pool, summed over all instances.

    :param short: mean over the short window.
    :param long: mean over the long window.
    """

    short: WorkDemand = field(default_factory=WorkDemand)
    long: WorkDemand = field(default_factory=WorkDemand)


@dataclass(slots=True)
class DemandTracker:
    """Tracks the batches of the instances, to leave out instances that stopped sending any."""

    _last_batches: dict[str, tuple[int, float]] = field(default_factory=dict)

    def observe(self, usage: UsageState, now: float) -> None:
        """Record which instances have sent a batch since the last call."""
        for source, batch in usage.batches.items():
            if self._last_batches.get(source, (0, 0.0))[0] != batch:
                self._last_batches[source] = (batch, now)
        for source in self._last_batches.keys() - usage.batches.keys():
            self._last_batches.pop(source)

    def total(self, usage: UsageState, pool: str, now: float) -> ZoneDemand:
        """Return the demand for a pool, summed over the instances."""
        recent = [
            demand
            for source, demands in usage.demand.items()
            for demand in demands
            if demand.pool == pool
            and now - self._last_batches.get(source, (0, 0.0))[1] <= MAX_BATCH_AGE_S
        ]
        return ZoneDemand(_sum_short(recent), _sum_long(recent))


def _sum_short(demands: list[PoolDemand]) -> WorkDemand:
    return WorkDemand(
        sum(each.short_prefill_tokens_per_s for each in demands),
        sum(each.short_decode_tokens_per_s for each in demands),
    )


def _sum_long(demands: list[PoolDemand]) -> WorkDemand:
    return WorkDemand(
        sum(each.long_prefill_tokens_per_s for each in demands),
        sum(each.long_decode_tokens_per_s for each in demands),
    )
