"""Buckets of the customers for whom one instance is the granter."""

from __future__ import annotations

import math
from collections.abc import Mapping

from shallotmux.quotas._bucket import CustomerBucket
from shallotmux.quotas._election import Election, choose_slot
from shallotmux.quotas._messages import QuotaAsk, QuotaGrant, QuotaReturn, shorten
from shallotmux.quotas._plan import QuotaPlan

#: Largest amount in a message that is believed.
MAX_AMOUNT = 1e13

#: Senders of returns whose last number is remembered.
MAX_RETURNERS = 2048


class Granter:
    """Answers asks while this instance is the granter of a customer's slot.

    :param identity: name and incarnation of this instance.
    """

    def __init__(self, identity: str, election: Election) -> None:
        self._identity = identity
        self._election = election
        self._plans: Mapping[str, QuotaPlan] = {}
        self.buckets: dict[str, CustomerBucket] = {}
        #: Time at which this instance had become the granter when a bucket was last used, by customer.
        self._since: dict[str, float] = {}
        self._returned: dict[str, int] = {}

    def apply_plans(self, plans: Mapping[str, QuotaPlan]) -> None:
        """Apply the quotas of a document."""
        self._plans = plans
        self.buckets = {name: each for name, each in self.buckets.items() if name in plans}
        self._since = {name: since for name, since in self._since.items() if name in plans}

    def answer(self, ask: QuotaAsk, now: float) -> QuotaGrant:
        """Return the answer to an ask."""
        bucket = self._find_bucket(ask.customer, now)
        if bucket is None or not _is_valid(ask):
            return QuotaGrant(self._identity, ask.sender, ask.number, 0, False)
        answer = bucket.ask((ask.sender, ask.number), ask.amount, ask.extra, ask.refused, now)
        return QuotaGrant(
            self._identity,
            ask.sender,
            ask.number,
            shorten(answer.granted),
            True,
            shorten(answer.wait_s),
            shorten(answer.line_s),
        )

    def take_back(self, returned: QuotaReturn, now: float) -> None:
        """Process unused amounts; a message that comes twice counts once."""
        if returned.granter != self._identity:
            return
        if returned.number <= self._returned.get(returned.sender, 0):
            return
        if len(self._returned) > MAX_RETURNERS:
            # A grant of before the return that is forgotten is no longer outstanding.
            self._returned.pop(next(iter(self._returned)))
        self._returned.pop(returned.sender, None)
        self._returned[returned.sender] = returned.number
        for part in returned.parts:
            bucket = self._find_bucket(part.customer, now)
            if bucket is not None:
                bucket.give_back((returned.sender, part.number), part.amount, now)

    def _find_bucket(self, customer: str, now: float) -> CustomerBucket | None:
        plan = self._plans.get(customer)
        slot = choose_slot(customer)
        if plan is None or not self._election.may_grant(slot, now):
            return None
        since = self._election.granter_since(slot)
        bucket = self.buckets.get(customer)
        if bucket is None:
            # It fills from then on, also for a customer that is idle at first.
            bucket = CustomerBucket(plan, since)
            self.buckets[customer] = bucket
        elif self._since.get(customer) != since:
            # Another instance may have granted meanwhile.
            bucket.restart(since)
        self._since[customer] = since
        if bucket.plan != plan:
            bucket.apply_plan(plan, now)
        return bucket


def _is_valid(ask: QuotaAsk) -> bool:
    amounts = (ask.amount, ask.extra, ask.refused)
    return all(math.isfinite(each) and 0 <= each <= MAX_AMOUNT for each in amounts)
