"""Promises between instances about who grants quotas, and the majority that a granter needs."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from dataclasses import dataclass

from shallotmux.quotas._plan import MAX_HOLD_S

#: Time for which an instance supports no other granter. It exceeds the longest hold by more than two intervals
#: between beats, so that a granter goes on when a beat is lost.
PROMISE_S = 1.6

#: Beats of which the time is remembered; answers to earlier ones are too old to count.
MAX_BEATS = 8


@dataclass(frozen=True, slots=True)
class _Promise:
    granter: str
    until: float


class Promises:
    """What this instance has promised, by slot.

    An instance that has just started does not know what it promised before, and waits until that is over.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._promises: dict[int, _Promise] = {}

    def give(self, slot: int, granter: str, now: float) -> bool:
        """Promise to support no other granter; returns whether that is possible."""
        if now < self._started_at + PROMISE_S:
            return False
        promise = self._promises.get(slot)
        if promise is not None and now < promise.until and promise.granter != granter:
            return False
        self._promises[slot] = _Promise(granter, now + PROMISE_S)
        return True

    def release(self, granter: str, now: float) -> None:
        """End the promises to a granter that grants no more, once what it granted has expired."""
        for slot, promise in tuple(self._promises.items()):
            if promise.granter == granter:
                until = min(promise.until, now + MAX_HOLD_S)
                self._promises[slot] = _Promise(granter, until)


class Supporters:
    """Promises that other instances have given to this one.

    Each counts from the time at which the beat was sent that it answers, which is before it was given.
    """

    def __init__(self) -> None:
        self._number = 0
        self._beats: OrderedDict[int, float] = OrderedDict()
        #: Time of the newest beat that an instance has answered, by slot and instance.
        self._answered: defaultdict[int, dict[str, float]] = defaultdict(dict)

    def begin_beat(self, now: float) -> int:
        """Return the number of a new beat."""
        self._number += 1
        self._beats[self._number] = now
        if len(self._beats) > MAX_BEATS:
            self._beats.popitem(last=False)
        return self._number

    def record(self, slot: int, instance: str, number: int) -> None:
        """Record an answer to a beat."""
        sent_at = self._beats.get(number)
        if sent_at is not None:
            answered = self._answered[slot]
            answered[instance] = max(sent_at, answered.get(instance, sent_at))

    def grants_until(self, slot: int, majority: int, now: float) -> float:
        """Return until when this instance may grant."""
        answered = {name: at for name, at in self._answered[slot].items() if now - at < PROMISE_S}
        self._answered[slot] = answered
        if len(answered) < majority:
            return float('-inf')
        needed = sorted(answered.values(), reverse=True)[majority - 1]
        return needed + PROMISE_S - MAX_HOLD_S
