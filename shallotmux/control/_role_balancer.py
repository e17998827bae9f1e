"""Change the roles of engines while this instance leads, announcing each change first."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

import msgspec
import trio
from eliot import log_message

from shallotmux.control._duties import CONTROL_LOOP_S, LeaderDependencies, run_control_loop
from shallotmux.control._platform import LISTING_DELAY_S, DutyHolder, DutyOutcome
from shallotmux.control._role_plan import count_wanted_changes, plan_role_change
from shallotmux.fleet import ListedEndpoint
from shallotmux.plannedchanges import (
    MAX_PLANS_PER_SERVICE,
    ORDER_DELAY_S,
    Plan,
    PlanBook,
    PlanPhase,
    PlanState,
    keeps_role_in_use,
)
from shallotmux.routes import EngineProfile, Service

#: Role changes that are announced in one round of the control loop. Several engines that boot
#: together may all have the same role; more at once would take too many out of service.
MAX_CHANGES_PER_ROUND = MAX_PLANS_PER_SERVICE

#: Time for which an engine gets no order after it refused one, could not be reached, or did not
#: change, or after its plan was withdrawn. Other engines are ordered meanwhile.
REFUSAL_BACKOFF_S = 10.0

#: Time for which a service gets no plan after one was withdrawn, so that a target that wavers does not
#: take engines out of service in turn.
WITHDRAWAL_PAUSE_S = 3.0

#: Longest time between two looks at the plans.
CHECK_INTERVAL_S = 0.25

#: What the outcome of a call means to its plan; all others are refusals.
_ANSWERS = {DutyOutcome.ACCEPTED: PlanState.ACCEPTED, DutyOutcome.UNKNOWN: PlanState.UNKNOWN}


class RoleBalancer:
    """Keeps the ratio of prefill and decode engines near its target.

    :param book: plans, which are published elsewhere.
    """

    def __init__(self, dependencies: LeaderDependencies, book: PlanBook | None = None) -> None:
        self._dependencies = dependencies
        self._book = book or PlanBook()
        self._book.on_step.append(self._record_step)
        self._passed_over_until: dict[str, float] = {}
        self._paused_until: defaultdict[str, float] = defaultdict(float)

    async def run(self) -> None:
        """Balance the roles of all services until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_control_loop, self._dependencies, self._update_service)
            nursery.start_soon(self._order_repeatedly)

    async def _update_service(self, service: Service) -> None:
        """Withdraw and announce changes of a service."""
        holder = self._dependencies.term.holder()
        if service.engine is None or holder is None:
            return
        now = trio.current_time()
        self._book.begin_term(holder.token, now)
        listed = self._dependencies.knowledge.endpoints_of(service.name)
        self._book.observe(service.name, listed, now)
        engines = [each for each in listed if not each.is_leaving]
        self._withdraw_unwanted(service.name, engines, now)
        for _ in range(MAX_CHANGES_PER_ROUND):
            if not self._announce_next(service.name, engines, now):
                return

    def _withdraw_unwanted(
        self, service: str, engines: Sequence[ListedEndpoint], now: float
    ) -> None:
        """Withdraw announced changes that would not be planned any more, the newest first."""
        ordered = [each for each in self._book.live(service) if each.is_ordered]
        wanted = count_wanted_changes(
            _with_planned_roles(engines, ordered),
            {each.identity for each in ordered},
            MAX_CHANGES_PER_ROUND,
        )
        for plan in self._book.live(service):
            if plan.is_ordered:
                continue
            wanted[plan.role] -= 1
            if wanted[plan.role] < 0:
                self._book.withdraw(plan, 'not wanted any more', now)

    def _announce_next(self, service: str, engines: Sequence[ListedEndpoint], now: float) -> bool:
        """Announce the next role change; returns whether there was one."""
        if now < self._paused_until[service] or not self._book.has_room(service):
            return False
        former = self._find_former_changes(now)
        plans = self._book.live(service)
        self._passed_over_until = {
            each: until for each, until in self._passed_over_until.items() if until > now
        }
        passed_over = former | self._passed_over_until.keys() | {each.identity for each in plans}
        change = plan_role_change(_with_planned_roles(engines, plans), passed_over)
        if change is None or not keeps_role_in_use(engines, plans, change.endpoint):
            return False
        if former and not change.is_urgent:
            # Plans of a former leader are not in the book, so that the limits on changes at a time would
            # not count them.
            return False
        delay_s = 0.0 if change.is_urgent else ORDER_DELAY_S
        self._book.announce(change.endpoint, change.role, change.why, now, delay_s)
        return True

    def _find_former_changes(self, now: float) -> set[str]:
        """Return the engines of all services that may be changing by an order of a former leader.

        A plan of this term, for whichever service, would end theirs on all instances.
        """
        held = self._dependencies.knowledge.plans
        listing = self._dependencies.knowledge.listing
        ordered = {
            each.identity
            for each in held.report(now)
            if each.term < self._book.term and each.phase == PlanPhase.ORDERED.value
        }
        return {
            each.identity
            for each in (listing.endpoints if listing else ())
            if each.identity in ordered
            and held.find_phase(each.identity, each.start_number, each.role.value, now) is not None
        }

    async def _order_repeatedly(self) -> None:
        """Send each order at its time."""
        while True:
            now = trio.current_time()
            due_at = self._book.next_due()
            wait_s = CHECK_INTERVAL_S if due_at is None else due_at - now
            await trio.sleep(max(0.0, min(wait_s, CHECK_INTERVAL_S)))
            self._book.expire(trio.current_time())
            for plan in self._book.due(trio.current_time()):
                await self._order(plan)

    async def _order(self, plan: Plan) -> None:
        """Send the order of a plan if it still may be sent; otherwise withdraw the plan."""
        now = trio.current_time()
        self._book.expire(now)
        listed = self._dependencies.knowledge.endpoints_of(plan.service)
        self._book.observe(plan.service, listed, now)
        if plan.state is not PlanState.ANNOUNCED or plan.due_at > now:
            return
        holder = self._dependencies.term.holder()
        profile = self._find_profile(plan.service)
        endpoint = next(each for each in listed if each.identity == plan.identity)
        others = [each for each in self._book.live(plan.service) if each is not plan]
        if holder is None or holder.token != plan.term:
            self._book.withdraw(plan, 'the term of the announcement has ended', now)
        elif profile is None:
            self._book.withdraw(plan, 'the service has no engines any more', now)
        elif keeps_role_in_use(listed, others, endpoint):
            await self._send(plan, endpoint, profile, holder)
        else:
            self._book.withdraw(plan, 'no other engine works in its role', now)

    async def _send(
        self, plan: Plan, endpoint: ListedEndpoint, profile: EngineProfile, holder: DutyHolder
    ) -> None:
        now = trio.current_time()
        listed_by = now + profile.role_change_s + LISTING_DELAY_S
        self._book.mark_sent(plan, now, profile.role_change_s, listed_by)
        outcome = await self._dependencies.platform.change_role(endpoint, plan.role, holder)
        now = trio.current_time()
        self._dependencies.term.record_outcome(holder, outcome)
        if outcome is not DutyOutcome.ACCEPTED:
            self._book.defer(plan.service, now + CONTROL_LOOP_S)
        answer = _ANSWERS.get(outcome, PlanState.REFUSED)
        self._book.record_answer(plan, answer, outcome.value, now)
        log_message(
            message_type='shallotmux:role-order',
            endpoint=plan.identity,
            role=plan.role.value,
            outcome=outcome.value,
            token=holder.token,
        )

    def _find_profile(self, service: str) -> EngineProfile | None:
        table = self._dependencies.table()
        services = table.document.services if table else ()
        return next((each.engine for each in services if each.name == service), None)

    def _record_step(self, plan: Plan, reason: str) -> None:
        """Log a step of a plan, and pass its engine over if the change did not come about."""
        now = trio.current_time()
        if not plan.is_live and plan.state is not PlanState.DONE:
            self._passed_over_until[plan.identity] = now + REFUSAL_BACKOFF_S
        if plan.state is PlanState.WITHDRAWN:
            self._paused_until[plan.service] = now + WITHDRAWAL_PAUSE_S
        log_message(
            message_type='shallotmux:planned-change',
            service=plan.service,
            endpoint=plan.identity,
            start=f'{plan.start:08x}',
            role=plan.role.value,
            state=plan.state.value,
            reason=reason,
            why=plan.why,
            term=plan.term,
            number=plan.number,
            age_s=round(now - plan.announced_at, 3),
        )


def _with_planned_roles(
    engines: Sequence[ListedEndpoint], plans: Sequence[Plan]
) -> list[ListedEndpoint]:
    """Return the engines with the roles that they are about to have."""
    roles = {plan.identity: plan.role for plan in plans}
    return [
        msgspec.structs.replace(each, role=roles.get(each.identity, each.role)) for each in engines
    ]
