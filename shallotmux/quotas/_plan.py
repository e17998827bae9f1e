"""Divide what a customer may use among the parts of the system."""

from __future__ import annotations

from dataclasses import dataclass

from shallotmux.routes import CustomerQuota, QuotaUnit

#: Smallest reserve, in parts of what a quota allows in a window. Without one, nothing can be granted ahead.
MIN_RESERVE = 0.05

#: Longest time for which granted amounts count as outstanding, and its share of the reserve.
MAX_HOLD_S = 0.5
HOLD_SHARE = 0.4

#: Shares of the reserve by which a bucket may exceed the burst, and fall below 0.
CAPACITY_SHARE = 0.05
DEBT_SHARE = 0.1
MAX_DEBT_SHARE = 0.4

#: Amount of a large request; the debt allows one where the reserve does.
LARGE_TOKENS = 20_000.0
LARGE_REQUESTS = 1.0

#: Part of a hold for which a granted amount can be charged, from the sending of the ask.
USABLE_SHARE = 0.5

#: Part of a hold, from the sending of the ask, after which a charged request is not sent any more. The rest is
#: for its way to the endpoint.
SENDING_SHARE = 0.85


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """Bound on the use of a customer in each window, over all instances.

    It is (rate x window + burst) x (1 + overage) + slack.

    :param window_s: length of the window.
    :param slack_tokens: applies to quotas that count tokens.
    """

    window_s: float = 8.0
    overage: float = 0.1
    slack_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaPlan:
    """Parts of a quota; docs/design/quotas.md derives them.

    :param rate: amount that is granted per second.
    :param capacity: amount that a bucket can hold.
    :param debt: amount by which it may fall below 0.
    :param hold_s: time after which a granted amount was used, or never will be.
    :param isolated: amount that all instances together use in a window without a granter.
    :param large: amount of a large request.
    """

    rate: float
    capacity: float
    debt: float
    hold_s: float
    isolated: float
    large: float
    window_s: float

    @property
    def most_outstanding(self) -> float:
        """Return how much may be outstanding beyond the capacity."""
        return self.rate * self.hold_s

    @property
    def first_level(self) -> float:
        """Return the level of the bucket of a new granter.

        The debt of the former one is forgotten, and what it would have granted within a hold, too.
        """
        return -max(0.0, self.debt - self.most_outstanding)

    @property
    def usable_s(self) -> float:
        """Return for how long a granted amount can be charged."""
        return USABLE_SHARE * self.hold_s

    @property
    def sending_s(self) -> float:
        """Return for how long after the ask a request may be sent."""
        return SENDING_SHARE * self.hold_s

    @property
    def charge_s(self) -> float:
        """Return for how long a request may be sent after it was charged to the isolated share."""
        return self.sending_s - self.usable_s


def plan_quota(quota: CustomerQuota, terms: QuotaTerms) -> QuotaPlan:
    """Return the parts of a quota, whose sum is at most the bound."""
    is_tokens = quota.unit is QuotaUnit.TOKENS
    allowed = quota.rate_per_s * terms.window_s + quota.burst
    bound = allowed * (1 + terms.overage) + (terms.slack_tokens if is_tokens else 0.0)
    # The rate and the burst are lowered if the bound leaves too small a reserve.
    scale = min(1.0, bound / (allowed * (1 + MIN_RESERVE)))
    rate, burst = quota.rate_per_s * scale, quota.burst * scale
    reserve = bound - allowed * scale
    hold_s = min(MAX_HOLD_S, HOLD_SHARE * reserve / rate)
    large = LARGE_TOKENS if is_tokens else LARGE_REQUESTS
    debt = min(MAX_DEBT_SHARE * reserve, max(large, min(DEBT_SHARE * reserve, rate * hold_s)))
    beyond_burst = CAPACITY_SHARE * reserve
    isolated = max(0.0, reserve - beyond_burst - debt - rate * hold_s)
    return QuotaPlan(rate, burst + beyond_burst, debt, hold_s, isolated, large, terms.window_s)
