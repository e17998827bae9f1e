"""Leave out endpoints that are about to change."""

from __future__ import annotations

from shallotmux.forwarding._state import EndpointState
from shallotmux.plannedchanges import HeldPlans, PlanPhase


def prefer_unplanned(
    available: list[EndpointState], plans: HeldPlans, now: float
) -> list[EndpointState]:
    """Return the endpoints without those under a plan, if others can answer.

    Otherwise, announced ones are added, as their orders have not been sent. A prefill engine under a
    plan is left out as well, since the engines that answer can also prefill.

    :param available: endpoints of one service that are neither avoided nor out of reach.
    """
    if plans.is_empty:
        return available
    phases = {each.identity: _find_phase(each, plans, now) for each in available}
    free = [each for each in available if phases[each.identity] is None]
    if any(each.may_answer for each in free):
        return free
    return [each for each in available if phases[each.identity] is not PlanPhase.ORDERED]


def _find_phase(state: EndpointState, plans: HeldPlans, now: float) -> PlanPhase | None:
    return plans.find_phase(state.identity, state.start_number, state.listed.role.value, now)
