"""Rate limits of customers on one instance, and the demand by which the zone divides them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from shallotmux.decisions import CustomerBuckets, WorkDemand, check_limits, full_buckets
from shallotmux.world import Contract

#: Time constant in seconds of the exponential decay of demand.
DEMAND_TIME_CONSTANT_S = 20.0

#: Requests per second below which a customer's demand is dropped.
MIN_REQUESTS_PER_S = 1e-3

#: Minimum share of a limit, since a rate of 0 means no limit.
MIN_SHARE = 1e-3

#: Windows in seconds over which demand is measured, for the planning of roles and fleet size.
SHORT_WINDOW_S = 20.0
LONG_WINDOW_S = 90.0


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Demand of a pool in the short and the long window."""

    short: WorkDemand
    long: WorkDemand


@dataclass(frozen=True, slots=True)
class CustomerDemand:
    """Demand of a customer on an instance, refused requests included."""

    requests_per_s: float
    tokens_per_s: float


@dataclass(frozen=True, slots=True)
class InstanceDemand:
    """Demand seen by one instance; the leader adds up those of all instances."""

    pools: dict[str, PoolDemand]
    customers: dict[str, CustomerDemand]


@dataclass(slots=True)
class RecentDemand:
    """Exponentially decaying counts of requests and tokens as of ``time_s``."""

    requests: float = 0.0
    tokens: float = 0.0
    time_s: float = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Count a request."""
        factor = self._decay_factor(now)
        self.requests = self.requests * factor + 1
        self.tokens = self.tokens * factor + tokens
        self.time_s = now

    def rates(self, now: float) -> CustomerDemand:
        """Return the mean rates at a time."""
        factor = self._decay_factor(now) / DEMAND_TIME_CONSTANT_S
        return CustomerDemand(self.requests * factor, self.tokens * factor)

    def _decay_factor(self, now: float) -> float:
        return math.exp((self.time_s - now) / DEMAND_TIME_CONSTANT_S)


@dataclass(slots=True)
class Limits:
    """Token buckets of customers.

    :param shares: fraction of each customer's limits that this instance may use; 1 by default.
    """

    shares: dict[str, float] = field(default_factory=dict)
    buckets: dict[str, CustomerBuckets] = field(default_factory=dict)
    demands: dict[str, RecentDemand] = field(default_factory=dict)

    def check(self, customer: str, contract: Contract, tokens: float, now: float) -> float:
        """Count a request and check it against the customer's limits.

        :param tokens: tokens that the request is expected to use.
        :returns: 0 if it is allowed, otherwise the seconds after which it would be.
        """
        self.demands.setdefault(customer, RecentDemand()).add(tokens, now)
        if not contract.requests_per_s and not contract.tokens_per_s:
            self.buckets.pop(customer, None)
            return 0.0
        decision = check_limits(self._buckets(customer, contract, now), tokens, now)
        self.buckets[customer] = decision.buckets
        return decision.retry_after_s

    def correct(self, customer: str, tokens: float) -> None:
        """Charge the difference between the actual and the expected tokens."""
        known = self.buckets.get(customer)
        if known is not None:
            self.buckets[customer] = replace(known, tokens=known.tokens.charge(tokens))

    def demand(self, now: float) -> dict[str, CustomerDemand]:
        """Return the recent demand by customer, and drop idle customers."""
        rates = {name: each.rates(now) for name, each in self.demands.items()}
        active = {
            name: each for name, each in rates.items() if each.requests_per_s > MIN_REQUESTS_PER_S
        }
        self.demands = {name: self.demands[name] for name in active}
        return active

    def _buckets(self, customer: str, contract: Contract, now: float) -> CustomerBuckets:
        share = max(MIN_SHARE, self.shares.get(customer, 1.0))
        rates = (contract.requests_per_s * share, contract.tokens_per_s * share)
        known = self.buckets.get(customer)
        if known is None:
            scaled = replace(contract, requests_per_s=rates[0], tokens_per_s=rates[1])
            return full_buckets(scaled, now)
        return CustomerBuckets(
            known.requests.with_rate(rates[0], now), known.tokens.with_rate(rates[1], now)
        )
