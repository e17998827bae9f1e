"""What one instance may use of a customer's quota while it reaches no granter."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from shallotmux.quotas._plan import QuotaPlan

#: Part of the isolated amount that is divided. The rest is for instances that count fewer than there are.
DIVIDED_SHARE = 0.9

#: Part of it that all instances get alike. The rest goes by lot, as a large request exceeds such a share.
EVEN_SHARE = 0.5

#: Smallest lot, in large requests.
LOT_REQUESTS = 2


@dataclass(frozen=True, slots=True)
class IsolatedShares:
    """Amounts that one instance may use in a window.

    :param even: share that each instance has.
    :param lot: further amount; 0 on most instances.
    """

    even: float
    lot: float


def divide_isolated(plan: QuotaPlan, instances: int, rank: int | None) -> IsolatedShares:
    """Return the shares of one instance.

    :param instances: number of instances that may use one.
    :param rank: place of the instance in the ranking of the customer; None if it gets no lot.
    """
    divided = DIVIDED_SHARE * plan.isolated
    for_lots = (1 - EVEN_SHARE) * divided
    lots = max(1, min(instances, int(for_lots / (LOT_REQUESTS * plan.large))))
    has_lot = rank is not None and rank < lots
    return IsolatedShares(EVEN_SHARE * divided / instances, for_lots / lots if has_lot else 0.0)


@dataclass(slots=True)
class _UsedShare:
    uses: deque[tuple[float, float]] = field(default_factory=deque)

    def take(self, amount: float, share: float, now: float, window_s: float) -> bool:
        while self.uses and self.uses[0][0] <= now - window_s:
            self.uses.popleft()
        if sum(used for _, used in self.uses) + amount > share:
            return False
        self.uses.append((now, amount))
        return True

    def give_back(self, amount: float, at: float) -> bool:
        if (at, amount) not in self.uses:
            return False
        self.uses.remove((at, amount))
        return True


class IsolatedUse:
    """What an instance used of the shares of one customer within the last window.

    :param started_at: time at which the process started. What it used before is not known.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._even = _UsedShare()
        self._lot = _UsedShare()

    def take(self, amount: float, shares: IsolatedShares, plan: QuotaPlan, now: float) -> bool:
        """Use an amount; returns whether the share allows it."""
        # A request may be sent for a time after it was charged.
        window_s = plan.window_s + plan.charge_s
        if now < self._started_at + window_s:
            return False
        return self._even.take(amount, shares.even, now, window_s) or self._lot.take(
            amount, shares.lot, now, window_s
        )

    def give_back(self, amount: float, at: float) -> None:
        """Take back the amount of a request that did not run."""
        if not self._even.give_back(amount, at):
            self._lot.give_back(amount, at)
