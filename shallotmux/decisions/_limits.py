"""Rate limits: token buckets, per-instance shares of zone-wide limits, exceptions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from shallotmux.world import Contract, PolicyException

#: Capacity of a bucket, in seconds of its rate.
BURST_S = 2.0

#: Fraction of a zone-wide limit that is split evenly, so that an idle instance can serve at once.
EVEN_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class TokenBucket:
    """A token bucket that counts requests or language-model tokens.

    :param rate: units per second; 0 means no limit.
    :param level: units left at ``updated_s``; negative after a charge for actual use.
    """

    rate: float
    level: float = 0.0
    updated_s: float = 0.0

    def refill(self, now: float) -> TokenBucket:
        """Return the bucket at a later time."""
        gained = self.rate * max(0.0, now - self.updated_s)
        return replace(self, level=min(self.rate * BURST_S, self.level + gained), updated_s=now)

    def charge(self, amount: float) -> TokenBucket:
        """Return the bucket after a charge; actual usage may exceed what was expected."""
        return replace(self, level=self.level - amount)

    def with_rate(self, rate: float, now: float) -> TokenBucket:
        """Return the bucket with a new rate, refilled at the old rate until ``now``."""
        return replace(self.refill(now), rate=rate)


@dataclass(frozen=True, slots=True)
class CustomerBuckets:
    """Buckets of one customer on one instance."""

    requests: TokenBucket
    tokens: TokenBucket


@dataclass(frozen=True, slots=True)
class LimitDecision:
    """Whether a request is within its customer's limits.

    :param retry_after_s: seconds until the request would be allowed, or 0.
    :param buckets: the customer's buckets after the decision.
    """

    allowed: bool
    retry_after_s: float
    buckets: CustomerBuckets
    reason: str


def full_buckets(contract: Contract, now: float) -> CustomerBuckets:
    """Return full buckets for a contract."""
    rates = (contract.requests_per_s, contract.tokens_per_s)
    requests, tokens = (TokenBucket(rate, rate * BURST_S, now) for rate in rates)
    return CustomerBuckets(requests, tokens)


def check_limits(buckets: CustomerBuckets, tokens: float, now: float) -> LimitDecision:
    """Decide on a request that is expected to use ``tokens`` tokens.

    A request larger than the capacity of a bucket is allowed when the bucket is full. The level
    then becomes negative, which delays later requests.
    """
    requests_now, tokens_now = buckets.requests.refill(now), buckets.tokens.refill(now)
    wait_s = max(_wait_s(requests_now, 1), _wait_s(tokens_now, tokens))
    if wait_s > 0:
        kept = CustomerBuckets(requests_now, tokens_now)
        return LimitDecision(False, wait_s, kept, 'over the rate limit')
    charged = CustomerBuckets(requests_now.charge(1), tokens_now.charge(tokens))
    return LimitDecision(True, 0, charged, 'within the limits')


def _wait_s(bucket: TokenBucket, amount: float) -> float:
    if not bucket.rate:
        return 0
    return max(0, (min(amount, bucket.rate * BURST_S) - bucket.level) / bucket.rate)


def split_limit(limit: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Split a zone-wide limit over instances by their demand.

    A fixed fraction is split evenly, the rest in proportion to the demand.

    :param demands: recent demand by instance, in the unit of the limit.
    :returns: shares that add up to the limit.
    """
    if not demands:
        return {}
    even = limit * EVEN_SHARE / len(demands)
    total = sum(demands.values())
    rest = limit * (1 - EVEN_SHARE)
    if not total:
        return {name: limit / len(demands) for name in demands}
    return {name: even + rest * demand / total for name, demand in demands.items()}


def apply_exceptions(
    contract: Contract, customer: str, exceptions: Iterable[PolicyException]
) -> Contract:
    """Return a contract with the exceptions that name its customer.

    Only exceptions for the weight and the rates of a contract apply; others are ignored.
    """
    known = {'weight', 'requests_per_s', 'tokens_per_s'}
    changes = {
        each.setting: each.amount
        for each in exceptions
        if each.subject == f'customer/{customer}' and each.setting in known
    }
    for setting, amount in changes.items():
        contract = replace(contract, **{setting: amount})  # type: ignore[arg-type]
    return contract
