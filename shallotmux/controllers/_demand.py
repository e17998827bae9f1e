"""Sum the demand that the instances of a zone have recorded."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotmux.authority import PoolDemand, UsageState
from shallotmux.decisions import WorkDemand

#: Age of an instance's last batch beyond which its demand counts as nothing.
AGE_LIMIT_S = 5.0


@dataclass(frozen=True, slots=True)
class ZoneDemand:
    """Demand for one pool over all instances.

    :param short: mean of the last seconds.
    :param long: mean of the last minutes.
    """

    short: WorkDemand = field(default_factory=WorkDemand)
    long: WorkDemand = field(default_factory=WorkDemand)


@dataclass(slots=True)
class DemandTable:
    """Follows the batches of the instances, to leave out those that no longer send any."""

    _seen: dict[str, tuple[int, float]] = field(default_factory=dict)

    def observe(self, usage: UsageState, now: float) -> None:
        """Note which instances have recorded a batch since the last look."""
        for source, batch in usage.batches.items():
            if self._seen.get(source, (0, 0.0))[0] != batch:
                self._seen[source] = (batch, now)
        for source in self._seen.keys() - usage.batches.keys():
            self._seen.pop(source)

    def total(self, usage: UsageState, pool: str, now: float) -> ZoneDemand:
        """Return the demand for a pool summed over the instances."""
        recent = [
            demand
            for source, demands in usage.demand.items()
            for demand in demands
            if demand.pool == pool and now - self._seen.get(source, (0, 0.0))[1] <= AGE_LIMIT_S
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
