"""Priority of a request at the engine, from its customer's recent use."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

#: Time constant over which use is remembered, in seconds.
MEMORY_S = 20.0

#: Use up to this factor of the customer's share counts as within it.
TOLERANCE = 1.5

#: Engine seconds above the share that are always allowed: a few requests say nothing about a rate.
SLACK_S = 1.0

#: Interval at which the weights of active customers are added up again, in seconds.
REFRESH_S = 1.0


class Priority(IntEnum):
    """Priority in the engine protocol; smaller numbers are processed first."""

    WITHIN_SHARE = 0
    OVER_SHARE = 1
    OVERDUE = 2


@dataclass(slots=True)
class CustomerUse:
    """Recent use of a customer, in engine seconds as of ``time_s``."""

    weight: float
    used_s: float = 0.0
    time_s: float = 0.0

    def at(self, now: float) -> float:
        """Return the use that is remembered at a time."""
        return self.used_s * math.exp((self.time_s - now) / MEMORY_S)


@dataclass(slots=True)
class ShareMeter:
    """Recent use of the customers on one instance.

    The load balancer spreads each customer over the instances, so shares seen by one instance
    stand for the zone's.
    """

    uses: dict[str, CustomerUse] = field(default_factory=dict)
    total: CustomerUse = field(default_factory=lambda: CustomerUse(0))
    refreshed_s: float = -math.inf

    def charge(self, customer: str, weight: float, cost_s: float, now: float) -> None:
        """Add a request's expected cost."""
        use = self.uses.setdefault(customer, CustomerUse(weight))
        use.weight = weight
        for each in (use, self.total):
            each.used_s = each.at(now) + cost_s
            each.time_s = now

    def priority(self, customer: str, now: float, *, overdue: bool) -> Priority:
        """Return the priority of a customer's next request."""
        if overdue:
            return Priority.OVERDUE
        self._refresh(now)
        use = self.uses.get(customer)
        if use is None or not self.total.weight:
            return Priority.WITHIN_SHARE
        entitled_s = self.total.at(now) * use.weight / self.total.weight
        allowed_s = TOLERANCE * entitled_s + SLACK_S
        return Priority.OVER_SHARE if use.at(now) > allowed_s else Priority.WITHIN_SHARE

    def _refresh(self, now: float) -> None:
        """Drop idle customers; the others share their part."""
        if now - self.refreshed_s < REFRESH_S:
            return
        self.refreshed_s = now
        active = {name: use for name, use in self.uses.items() if use.at(now) > SLACK_S / 1000}
        self.uses = active
        self.total.weight = sum(use.weight for use in active.values())
