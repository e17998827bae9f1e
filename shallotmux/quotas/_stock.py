"""Granted amounts of one customer that one instance holds."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field

from shallotmux.quotas._plan import QuotaPlan

#: Interval between two rounds, in which advances are asked for and unused amounts given back.
ROUND_S = 0.1

#: Use that is asked for ahead, in seconds of the recent use; less where amounts expire earlier.
ADVANCE_S = 0.2
ADVANCE_USABLE_SHARE = 0.6

#: Requests within the advance from which on it is worth asking ahead. With fewer, it would mostly expire.
MIN_ADVANCE_REQUESTS = 2.0

#: Weight of the newest round in the recent use and in the size of a request.
NEWEST_WEIGHT = 0.2


@dataclass(frozen=True, slots=True)
class GrantedPart:
    """A part of a grant.

    :param granter: identity of the instance that granted it.
    :param number: number of the ask.
    :param asked_at: time at which the ask was sent, from which the age counts.
    """

    granter: str
    number: int
    asked_at: float
    amount: float


@dataclass(slots=True)
class CustomerStock:
    """Granted amounts of one customer, the oldest first, and its recent use."""

    plan: QuotaPlan
    _parts: list[GrantedPart] = field(default_factory=list)
    #: What is to be given back with the next round.
    _unused: list[GrantedPart] = field(default_factory=list)
    _used_in_round: float = 0.0
    _requests_in_round: int = 0
    _use_per_s: float = 0.0
    _request_size: float = 0.0

    def amount(self, now: float) -> float:
        """Return what can be charged now."""
        self._drop_expired(now)
        return sum(each.amount for each in self._parts)

    def add(self, part: GrantedPart, now: float) -> None:
        """Add an amount; one that cannot be charged any more goes back."""
        if not part.amount > 0:
            return
        if now < part.asked_at + self.plan.usable_s:
            insort(self._parts, part, key=lambda each: each.asked_at)
        else:
            self._unused.append(part)

    def take(self, amount: float, now: float) -> tuple[GrantedPart, ...] | None:
        """Take an amount as a whole; None if there is less."""
        if self.amount(now) < amount:
            return None
        taken: list[GrantedPart] = []
        missing = amount
        while missing > 0 and self._parts:
            part = self._parts.pop(0)
            used = min(part.amount, missing)
            missing -= used
            taken.append(_resize(part, used))
            if part.amount > used:
                self._parts.insert(0, _resize(part, part.amount - used))
        return tuple(taken)

    def record_use(self, amount: float) -> None:
        """Count a request that was charged."""
        self._used_in_round += amount
        self._requests_in_round += 1

    def count_advance(self, now: float) -> float:
        """Return how much to ask for beside what a request needs."""
        advance_s = min(ADVANCE_S, ADVANCE_USABLE_SHARE * self.plan.usable_s)
        wanted = self._use_per_s * advance_s
        if wanted < MIN_ADVANCE_REQUESTS * self._request_size:
            return 0.0
        return max(0.0, wanted - self.amount(now))

    def end_round(self, elapsed_s: float, now: float) -> tuple[GrantedPart, ...]:
        """Update the recent use; returns what is to be given back."""
        use_per_s = self._used_in_round / max(elapsed_s, ROUND_S / 2)
        self._use_per_s += NEWEST_WEIGHT * (use_per_s - self._use_per_s)
        if self._requests_in_round:
            size = self._used_in_round / self._requests_in_round
            self._request_size += NEWEST_WEIGHT * (size - self._request_size)
        self._used_in_round = 0.0
        self._requests_in_round = 0
        self._drop_expired(now + ROUND_S)
        unused = tuple(each for each in self._unused if now < each.asked_at + self.plan.hold_s)
        self._unused.clear()
        return unused

    def _drop_expired(self, now: float) -> None:
        oldest = now - self.plan.usable_s
        while self._parts and self._parts[0].asked_at <= oldest:
            self._unused.append(self._parts.pop(0))


def _resize(part: GrantedPart, amount: float) -> GrantedPart:
    return GrantedPart(part.granter, part.number, part.asked_at, amount)
