"""Priority of a request at the engine, from its customer's recent usage."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum

#: Time constant of the exponential decay of recorded usage, in seconds.
USAGE_DECAY_S = 20.0

#: Usage up to this factor of the customer's share counts as within the share.
TOLERANCE = 1.5

#: Engine seconds always allowed above the share, since a few requests do not show a rate.
SLACK_S = 1.0

#: Interval at which the weights of active customers are summed again, in seconds.
REFRESH_S = 1.0


class Priority(IntEnum):
    """Priority in the engine protocol; smaller numbers are processed first."""

    WITHIN_SHARE = 0
    OVER_SHARE = 1
    OVERDUE = 2


@dataclass(slots=True)
class CustomerUsage:
    """Recent usage of a customer, in engine seconds as of ``time_s``."""

    weight: float
    used_s: float = 0.0
    time_s: float = 0.0

    def decayed_to(self, now: float) -> float:
        """Return the usage decayed to a time."""
        return self.used_s * math.exp((self.time_s - now) / USAGE_DECAY_S)


@dataclass(slots=True)
class ShareMeter:
    """Recent usage of the customers on one instance.

    The load balancer spreads each customer over the instances, so the shares on one instance
    approximate those in the zone.
    """

    usages: dict[str, CustomerUsage] = field(default_factory=dict)
    total: CustomerUsage = field(default_factory=lambda: CustomerUsage(0))
    refreshed_s: float = -math.inf

    def charge(self, customer: str, weight: float, cost_s: float, now: float) -> None:
        """Add the expected cost of a request, in engine seconds."""
        usage = self.usages.setdefault(customer, CustomerUsage(weight))
        usage.weight = weight
        for each in (usage, self.total):
            each.used_s = each.decayed_to(now) + cost_s
            each.time_s = now

    def priority(self, customer: str, now: float, *, overdue: bool) -> Priority:
        """Return the priority of a customer's next request."""
        if overdue:
            return Priority.OVERDUE
        self._refresh(now)
        usage = self.usages.get(customer)
        if usage is None or not self.total.weight:
            return Priority.WITHIN_SHARE
        entitled_s = self.total.decayed_to(now) * usage.weight / self.total.weight
        allowed_s = TOLERANCE * entitled_s + SLACK_S
        return Priority.OVER_SHARE if usage.decayed_to(now) > allowed_s else Priority.WITHIN_SHARE

    def _refresh(self, now: float) -> None:
        """Remove idle customers, so that the active ones share their entitlement."""
        if now - self.refreshed_s < REFRESH_S:
            return
        self.refreshed_s = now
        active = {
            name: usage
            for name, usage in self.usages.items()
            if usage.decayed_to(now) > SLACK_S / 1000
        }
        self.usages = active
        self.total.weight = sum(usage.weight for usage in active.values())
