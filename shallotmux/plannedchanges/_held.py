"""Copies of the leader's plans on the other instances, each with a time to live."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

import msgspec

from shallotmux.plannedchanges._messages import (
    ANNOUNCED_TTL_S,
    ChangeKind,
    PlannedChange,
    PlanPhase,
)

#: Longest time of a phase that is believed. Role changes take seconds.
MAX_PHASE_S = 30.0

#: Time after its end for which a plan stays known in full. Refusals are put down to it meanwhile.
REMEMBERED_S = 10.0

#: Plans that are held. A leader has two for each service.
MAX_HELD = 64

#: Time after an order within which a refusal of the endpoint is put down to it.
REFUSAL_WINDOW_S = 6.0

#: Phases in the order in which a plan goes through them.
_RANKS = {PlanPhase.ANNOUNCED: 0, PlanPhase.ORDERED: 1, PlanPhase.WITHDRAWN: 2}
_PHASES = {each.value: each for each in PlanPhase}
_KINDS = frozenset(each.value for each in ChangeKind)


@dataclass(slots=True)
class _Held:
    """A plan that was received.

    :param until: local time at which the phase ends.
    :param began_at: local time at which it began at the leader.
    """

    change: PlannedChange
    phase: PlanPhase
    until: float
    began_at: float

    @property
    def order(self) -> tuple[int, int]:
        """Return what grows with each newer phase or plan of the endpoint in a term."""
        return self.change.number, _RANKS[self.phase]


class HeldPlans:
    """Plans by endpoint, as the newest leader that this instance heard of has sent them.

    Times are local ones that the caller passes in.
    """

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}
        self._term = 0
        #: Highest number of a plan of the term that ended long ago. Those up to it have ended as well.
        self._last_forgotten = 0

    @property
    def is_empty(self) -> bool:
        """Return whether no plan is held, not even one that has ended a moment ago."""
        return not self._held

    def merge(self, changes: Iterable[PlannedChange], counted_from: float) -> None:
        """Merge received plans; what is older than the present copies is ignored.

        :param counted_from: local time from which the remaining times count. A message may have been
            delayed, so it is not after the time at which it was sent where that is known.
        """
        self._forget_ended(counted_from)
        for change in changes:
            received = _read(change, counted_from)
            if received is not None:
                self._merge_one(received)

    def find_phase(self, identity: str, start: int, role: str, now: float) -> PlanPhase | None:
        """Return the phase in which an endpoint should get no new work; None if it takes work.

        :param start: number of the listed start; a plan for another one is void.
        :param role: listed role. The plan ends when the list shows the new one.
        """
        held = self._held.get(identity)
        if held is None or now >= held.until or held.phase is PlanPhase.WITHDRAWN:
            return None
        if held.change.start != start or held.change.role == role:
            return None
        return held.phase

    def record_role(self, identity: str, role: str, now: float) -> None:
        """End the plan of an endpoint for good if the list shows its new role."""
        held = self._held.get(identity)
        if held is not None and held.change.role == role:
            held.until = min(held.until, now)

    def blamed_phase(self, identity: str, start: int, now: float) -> PlanPhase | None:
        """Return the phase of the plan to which a refusal of an endpoint is put down, or None."""
        held = self._held.get(identity)
        if held is None or held.change.start != start:
            return None
        match held.phase:
            case PlanPhase.ORDERED if now - held.began_at <= REFUSAL_WINDOW_S:
                return PlanPhase.ORDERED
            case PlanPhase.ANNOUNCED if now < held.until:
                return PlanPhase.ANNOUNCED
        return None

    def report(self, now: float) -> tuple[PlannedChange, ...]:
        """Return the plans whose phase has not ended, with the time that remains."""
        return tuple(
            msgspec.structs.replace(
                held.change, remaining_s=held.until - now, age_s=max(0.0, now - held.began_at)
            )
            for held in self._held.values()
            if now < held.until
        )

    def _merge_one(self, received: _Held) -> None:
        change = received.change
        if change.term < self._term:
            return
        if change.term > self._term:
            # The former leader sends no further order, and its announcements are void.
            self._term = change.term
            self._last_forgotten = 0
            self._held.clear()
        present = self._held.get(change.identity)
        if present is None:
            if change.number > self._last_forgotten and len(self._held) < MAX_HELD:
                self._held[change.identity] = received
            return
        if received.order == present.order and change.start == present.change.start:
            present.until = min(present.until, received.until)
        elif received.order > present.order:
            self._held[change.identity] = received

    def _forget_ended(self, now: float) -> None:
        ended = [each for each, held in self._held.items() if now > held.until + REMEMBERED_S]
        for identity in ended:
            forgotten = self._held.pop(identity).change
            self._last_forgotten = max(self._last_forgotten, forgotten.number)


def _read(change: PlannedChange, counted_from: float) -> _Held | None:
    """Return a received plan; None if it cannot be used, such as one of a later build."""
    phase = _PHASES.get(change.phase)
    if phase is None or change.kind not in _KINDS:
        return None
    # Written so that it is false for NaN as well.
    if not (0 <= change.remaining_s < inf and 0 <= change.age_s < inf):
        return None
    longest_s = ANNOUNCED_TTL_S if phase is PlanPhase.ANNOUNCED else MAX_PHASE_S
    until = counted_from + min(change.remaining_s, longest_s)
    return _Held(change, phase, until, counted_from - change.age_s)
