"""Rate limits of customers on one instance, and the demand by which the zone splits them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from shallotmux.decisions import CustomerBuckets, WorkDemand, check_limits, full_buckets
from shallotmux.world import Contract

#: Time constant over which demand is remembered, in seconds.
DEMAND_MEMORY_S = 20.0

#: Requests per second below which a customer's demand is forgotten.
LEAST_DEMAND = 1e-3

#: Least share of a limit, since a rate of 0 means no limit.
LEAST_SHARE = 1e-3

#: Windows in seconds over which the demand for roles and fleet is measured.
SHORT_WINDOW_S = 20.0
LONG_WINDOW_S = 90.0


@dataclass(frozen=True, slots=True)
class PoolDemand:
    """Demand of a pool in the short and the long window."""

    short: WorkDemand
    long: WorkDemand


@dataclass(frozen=True, slots=True)
class CustomerDemand:
    """What a customer asks of an instance, with what its limits refuse."""

    requests_per_s: float
    tokens_per_s: float


@dataclass(frozen=True, slots=True)
class InstanceDemand:
    """Demand seen by one instance; the leader adds up those of all instances."""

    pools: dict[str, PoolDemand]
    customers: dict[str, CustomerDemand]


@dataclass(slots=True)
class RecentDemand:
    """Requests and tokens asked for, fading with time."""

    requests: float = 0.0
    tokens: float = 0.0
    time_s: float = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Count a request."""
        kept = self._kept(now)
        self.requests = self.requests * kept + 1
        self.tokens = self.tokens * kept + tokens
        self.time_s = now

    def rates(self, now: float) -> CustomerDemand:
        """Return the mean rates."""
        kept = self._kept(now) / DEMAND_MEMORY_S
        return CustomerDemand(self.requests * kept, self.tokens * kept)

    def _kept(self, now: float) -> float:
        return math.exp((self.time_s - now) / DEMAND_MEMORY_S)


@dataclass(slots=True)
class Limits:
    """Token buckets of the customers.

    :param shares: part of each customer's limit that this instance may use; 1 when not given.
    """

    shares: dict[str, float] = field(default_factory=dict)
    buckets: dict[str, CustomerBuckets] = field(default_factory=dict)
    demands: dict[str, RecentDemand] = field(default_factory=dict)

    def check(self, customer: str, contract: Contract, tokens: float, now: float) -> float:
        """Count a request, and return the seconds after which it would be allowed, or 0.

        :param tokens: tokens that the request is expected to use.
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
        """Return the recent demand of customers and forget the idle ones."""
        rates = {name: each.rates(now) for name, each in self.demands.items()}
        active = {name: each for name, each in rates.items() if each.requests_per_s > LEAST_DEMAND}
        self.demands = {name: self.demands[name] for name in active}
        return active

    def _buckets(self, customer: str, contract: Contract, now: float) -> CustomerBuckets:
        share = max(LEAST_SHARE, self.shares.get(customer, 1.0))
        rates = (contract.requests_per_s * share, contract.tokens_per_s * share)
        known = self.buckets.get(customer)
        if known is None:
            scaled = replace(contract, requests_per_s=rates[0], tokens_per_s=rates[1])
            return full_buckets(scaled, now)
        return CustomerBuckets(
            known.requests.with_rate(rates[0], now), known.tokens.with_rate(rates[1], now)
        )
