"""Bucket of one customer at its granter."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from shallotmux.quotas._plan import QuotaPlan

#: Part of the capacity above which more is granted than the request at hand needs. Below it, an advance could
#: lie idle while another instance is refused.
ADVANCE_ABOVE = 0.5

#: Longest time that a refused caller is told to wait.
MAX_LINE_S = 4.0

#: Refused asks per second for one customer that a granter lets instances send. They wait longer the more of them
#: it has refused within :data:`REFUSED_TTL_S`. At six times the quota, each refused request was an ask otherwise.
MAX_REFUSED_PER_S = 100.0
REFUSED_TTL_S = 1.0


@dataclass(frozen=True, slots=True)
class BucketAnswer:
    """Answer to an ask.

    :param granted: amount granted; 0 if it is refused.
    :param wait_s: time until the bucket has room.
    :param line_s: time until it has had room for all that was refused.
    """

    granted: float
    wait_s: float = 0.0
    line_s: float = 0.0


@dataclass(slots=True)
class _Grant:
    at: float
    amount: float


class CustomerBucket:
    """Grants a customer's quota.

    The level and what was granted within the last hold together never exceed the capacity and the rate
    within a hold; docs/design/quotas.md explains why this bounds the use in each window.
    """

    def __init__(self, plan: QuotaPlan, now: float) -> None:
        self.plan = plan
        self.level = plan.first_level
        self._filled_at = now
        self._outstanding = 0.0
        #: Grants of the last hold by instance and number of the ask, in order of time.
        self._grants: OrderedDict[tuple[str, int], _Grant] = OrderedDict()
        #: Time until which the rate is taken up by what was refused.
        self._line_end = now
        #: Time of the last refusal by instance.
        self._refused_at: dict[str, float] = {}
        self._counted_at = now
        self.total_granted = 0.0

    def apply_plan(self, plan: QuotaPlan, now: float) -> None:
        """Apply a changed quota."""
        self._refill(now)
        self.plan = plan
        self.level = max(-plan.debt, min(self.level, plan.capacity))
        room = plan.capacity + plan.most_outstanding - self.level
        if self._outstanding > room:
            # What was granted under the former quota must not hold up the lower one. It expires before that
            # one has to be kept.
            for grant in self._grants.values():
                grant.amount *= room / self._outstanding
            self._outstanding = room
        self._line_end = now

    def restart(self, now: float) -> None:
        """Begin anew as granter; what was granted before is still outstanding."""
        self._refill(now)
        self.level = min(self.level, self.plan.first_level)

    def ask(
        self, key: tuple[str, int], amount: float, extra: float, refused: float, now: float
    ) -> BucketAnswer:
        """Answer an ask; a repeated one is answered alike.

        :param key: instance and number of the ask.
        :param amount: amount that a request needs; granted as a whole or not at all.
        :param extra: amount for further requests.
        :param refused: amount of further requests that the instance refused meanwhile.
        """
        self._refill(now)
        known = self._grants.get(key)
        if known is not None:
            return BucketAnswer(known.amount)
        if amount and not (self.level > 0 and self.level >= amount - self.plan.debt):
            return self._refuse(key[0], amount, refused, now)
        granted = amount
        if self.level - amount - extra >= ADVANCE_ABOVE * self.plan.capacity:
            granted += extra
        if granted:
            self._grants[key] = _Grant(now, granted)
            self._outstanding += granted
            self.level -= granted
            self.total_granted += granted
        self._queue(refused, now)
        return BucketAnswer(granted)

    def give_back(self, key: tuple[str, int], amount: float, now: float) -> None:
        """Take back a part of a grant that is not used; it counts until the hold has passed."""
        self._refill(now)
        grant = self._grants.get(key)
        if grant is None or not amount > 0:
            return
        returned = min(amount, grant.amount)
        grant.amount -= returned
        self._outstanding -= returned
        self.total_granted -= returned
        self.level = min(self.level + returned, self._most_level())

    def _refuse(self, instance: str, amount: float, refused: float, now: float) -> BucketAnswer:
        missing = max(-self.level, amount - self.plan.debt - self.level)
        wait_s = max(
            missing / self.plan.rate, self._count_refused(instance, now) / MAX_REFUSED_PER_S
        )
        self._line_end = max(self._line_end, now + min(wait_s, MAX_LINE_S))
        self._queue(amount + refused, now)
        return BucketAnswer(0, min(wait_s, MAX_LINE_S), self._line_end - now)

    def _count_refused(self, instance: str, now: float) -> int:
        """Return how many instances were refused of late."""
        self._refused_at[instance] = now
        if now - self._counted_at >= REFUSED_TTL_S:
            self._counted_at = now
            oldest = now - REFUSED_TTL_S
            self._refused_at = {key: at for key, at in self._refused_at.items() if at > oldest}
        return len(self._refused_at)

    def _queue(self, refused: float, now: float) -> None:
        line_end = max(self._line_end, now) + refused / self.plan.rate
        self._line_end = min(line_end, now + MAX_LINE_S)

    def _refill(self, now: float) -> None:
        while self._grants:
            key, grant = next(iter(self._grants.items()))
            if now - grant.at < self.plan.hold_s:
                break
            self._grants.pop(key)
            self._outstanding -= grant.amount
        if not self._grants:
            # Sums of floats would drift.
            self._outstanding = 0.0
        added = self.plan.rate * max(0.0, now - self._filled_at)
        self._filled_at = max(self._filled_at, now)
        self.level = min(self.level + added, self._most_level())

    def _most_level(self) -> float:
        plan = self.plan
        return min(plan.capacity, plan.capacity + plan.most_outstanding - self._outstanding)
