"""State of the plans at the leader."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from shallotmux.plannedchanges._messages import (
    ANNOUNCED_TTL_S,
    ChangeKind,
    PlannedChange,
    PlanPhase,
)

if TYPE_CHECKING:
    from shallotmux.fleet import EngineRole, ListedEndpoint

#: Time from the announcement to the order: two polls of an entry instance (0.4 s each), a call between
#: control instances (0.5 s at most), and network delay.
ORDER_DELAY_S = 1.5

#: Time after the announcement from which the order is not sent any more, since the copies of the
#: announcement end at :data:`ANNOUNCED_TTL_S`.
ORDER_WITHIN_S = ANNOUNCED_TTL_S - 0.2

#: Time after a change in which the platform's list shows it.
LISTED_WITHIN_S = 0.8

#: Plans of a service at a time.
MAX_PLANS_PER_SERVICE = 2


class PlanState(enum.Enum):
    """State of a plan at the leader."""

    ANNOUNCED = 'announced'
    #: The order is on its way.
    SENT = 'sent'
    ACCEPTED = 'accepted'
    #: There was no answer, so that the engine may be changing.
    UNKNOWN = 'unknown'
    DONE = 'done'
    REFUSED = 'refused'
    #: The list did not show the change in time, or the order was not sent in time.
    LAPSED = 'lapsed'
    WITHDRAWN = 'withdrawn'


#: States in which the engine may be changing.
ORDERED_STATES = frozenset((PlanState.SENT, PlanState.ACCEPTED, PlanState.UNKNOWN))
LIVE_STATES = ORDERED_STATES | {PlanState.ANNOUNCED}
_PHASES = {
    PlanState.ANNOUNCED: PlanPhase.ANNOUNCED,
    **dict.fromkeys(ORDERED_STATES, PlanPhase.ORDERED),
    PlanState.REFUSED: PlanPhase.WITHDRAWN,
    PlanState.WITHDRAWN: PlanPhase.WITHDRAWN,
}


@dataclass(slots=True, eq=False)
class Plan:
    """A planned role change.

    :param why: why the balancer wants it.
    :param due_at: local time at which the order is sent.
    :param phase_at: local time at which the published phase began.
    :param until: local time at which copies of the published phase end.
    :param listed_by: local time until which the engine may be changing, once the order was sent.
    """

    service: str
    identity: str
    start: int
    role: EngineRole
    former_role: EngineRole
    term: int
    number: int
    why: str
    announced_at: float
    due_at: float
    phase_at: float
    until: float
    listed_by: float = 0.0
    state: PlanState = PlanState.ANNOUNCED

    @property
    def is_live(self) -> bool:
        """Return whether the plan has not ended."""
        return self.state in LIVE_STATES

    @property
    def is_ordered(self) -> bool:
        """Return whether the order was sent, and the engine may be changing."""
        return self.state in ORDERED_STATES


class PlanBook:
    """Plans of this instance while it leads. Times are local ones that the caller passes in."""

    def __init__(self) -> None:
        #: Called with each plan after it has entered a state, and the reason.
        self.on_step: list[Callable[[Plan, str], None]] = []
        self.term = 0
        self._number = 0
        self._plans: list[Plan] = []

    def begin_term(self, term: int, now: float) -> None:
        """End the plans of former terms. Their copies expire."""
        if term == self.term:
            return
        for plan in self.live():
            self._enter(plan, PlanState.LAPSED, 'its term has ended', now)
        self._plans.clear()
        self.term = term
        self._number = 0

    def live(self, service: str | None = None) -> list[Plan]:
        """Return the plans that have not ended, of one service or of all, the oldest first."""
        return [plan for plan in self._plans if plan.is_live and service in {None, plan.service}]

    def has_room(self, service: str) -> bool:
        """Return whether another engine of a service may change."""
        return len(self.live(service)) < MAX_PLANS_PER_SERVICE

    def announce(
        self,
        endpoint: ListedEndpoint,
        role: EngineRole,
        why: str,
        now: float,
        delay_s: float = ORDER_DELAY_S,
    ) -> Plan:
        """Add a plan in the present term.

        :param delay_s: time until its order is sent.
        """
        self._number += 1
        plan = Plan(
            endpoint.service,
            endpoint.identity,
            endpoint.start_number,
            role,
            endpoint.role,
            self.term,
            self._number,
            why,
            announced_at=now,
            due_at=now + delay_s,
            phase_at=now,
            until=now + ANNOUNCED_TTL_S,
        )
        self._plans.append(plan)
        self._enter(plan, PlanState.ANNOUNCED, why, now)
        return plan

    def due(self, now: float) -> list[Plan]:
        """Return the plans whose order is to be sent now."""
        return [each for each in self._plans if _is_announced(each) and each.due_at <= now]

    def next_due(self) -> float | None:
        """Return the local time of the next order, or None."""
        return min((each.due_at for each in self._plans if _is_announced(each)), default=None)

    def defer(self, service: str, due_at: float) -> None:
        """Send no order for a service before a local time."""
        for plan in self.live(service):
            plan.due_at = max(plan.due_at, due_at)

    def mark_sent(self, plan: Plan, now: float, change_s: float, listed_by: float) -> None:
        """Record that the order is about to be sent.

        :param change_s: time that the change takes.
        :param listed_by: local time until which the engine may be changing.
        """
        plan.phase_at = now
        plan.until = now + change_s + LISTED_WITHIN_S
        plan.listed_by = listed_by
        self._enter(plan, PlanState.SENT, 'due', now)

    def record_answer(self, plan: Plan, state: PlanState, reason: str, now: float) -> None:
        """Record the answer to the order, unless the plan has ended meanwhile."""
        if plan.state is PlanState.SENT:
            self._enter(plan, state, reason, now)

    def withdraw(self, plan: Plan, reason: str, now: float) -> None:
        """Cancel a plan."""
        if plan.is_live:
            self._enter(plan, PlanState.WITHDRAWN, reason, now)

    def observe(self, service: str, endpoints: Iterable[ListedEndpoint], now: float) -> None:
        """Compare the plans of a service with its listed endpoints."""
        listed = {each.identity: each for each in endpoints}
        for plan in self.live(service):
            state, reason = _assess(plan, listed.get(plan.identity))
            if state is not plan.state:
                self._enter(plan, state, reason, now)

    def expire(self, now: float) -> None:
        """End the plans whose time has passed, and forget what nobody holds a copy of."""
        for plan in self.live():
            if plan.is_ordered:
                if now >= plan.listed_by:
                    self._enter(plan, PlanState.LAPSED, 'the list does not show the change', now)
            elif now >= plan.announced_at + ORDER_WITHIN_S:
                self._enter(plan, PlanState.LAPSED, 'the order was not sent in time', now)
        self._plans = [each for each in self._plans if each.is_live or now < each.until]

    def report(self, now: float) -> tuple[PlannedChange, ...]:
        """Return what other instances are told, the newest plan of each engine."""
        newest = {plan.identity: plan for plan in self._plans}
        return tuple(
            PlannedChange(
                plan.identity,
                plan.start,
                ChangeKind.ROLE.value,
                plan.role.value,
                plan.term,
                _PHASES[plan.state].value,
                plan.until - now,
                plan.number,
                now - plan.phase_at,
            )
            for plan in newest.values()
            if plan.state in _PHASES and now < plan.until
        )

    def _enter(self, plan: Plan, state: PlanState, reason: str, now: float) -> None:
        plan.state = state
        if _PHASES.get(state) is PlanPhase.WITHDRAWN:
            plan.phase_at = now
        for notify in self.on_step:
            notify(plan, reason)


def keeps_role_in_use(
    endpoints: Iterable[ListedEndpoint], plans: Iterable[Plan], endpoint: ListedEndpoint
) -> bool:
    """Return whether another engine works in the role of one that is to change.

    :param endpoints: listed endpoints of the service.
    :param plans: live plans of the service; their engines do not count.
    """
    planned = {each.identity for each in plans}
    return any(
        each.role is endpoint.role
        and not each.is_leaving
        and each.identity != endpoint.identity
        and each.identity not in planned
        for each in endpoints
    )


def _is_announced(plan: Plan) -> bool:
    return plan.state is PlanState.ANNOUNCED


def _assess(plan: Plan, listed: ListedEndpoint | None) -> tuple[PlanState, str]:
    """Return the state of a live plan by the listed entry of its engine, and the reason."""
    if listed is None:
        # An engine that an order was sent to may be missing in one list and be back in the next one.
        gone = plan.state if plan.is_ordered else PlanState.WITHDRAWN
        return gone, 'the engine is not listed any more'
    if listed.start_number != plan.start:
        return PlanState.WITHDRAWN, 'the engine has restarted'
    if listed.role is plan.role:
        done = PlanState.DONE if plan.is_ordered else PlanState.WITHDRAWN
        return done, 'the list shows the role'
    if listed.is_leaving and not plan.is_ordered:
        return PlanState.WITHDRAWN, 'the engine leaves'
    return plan.state, ''
