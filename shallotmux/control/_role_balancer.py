"""Change the roles of engines while this instance leads."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import trio
from eliot import log_message

from shallotmux.control._duties import LeaderDependencies, run_control_loop
from shallotmux.control._platform import LISTING_DELAY_S, DutyOutcome
from shallotmux.control._role_plan import RoleChange, plan_role_change
from shallotmux.fleet import EngineRole, ListedEndpoint
from shallotmux.routes import EngineProfile, Service

#: Role changes in one round of the control loop. Several engines that boot together may all have the
#: same role; more at once would take too many out of service.
MAX_CHANGES_PER_ROUND = 2

#: Time for which an engine gets no order after it refused one, could not be reached, or did not
#: change. Other engines are ordered meanwhile.
REFUSAL_BACKOFF_S = 10.0


@dataclass(frozen=True, slots=True)
class _SentOrder:
    """Order that an engine may be carrying out.

    :param until: local time by which the platform's list must show the role.
    """

    role: EngineRole
    until: float


class RoleBalancer:
    """Keeps the ratio of prefill and decode engines near its target."""

    def __init__(self, dependencies: LeaderDependencies) -> None:
        self._dependencies = dependencies
        self._sent_orders: dict[str, _SentOrder] = {}
        self._passed_over_until: dict[str, float] = {}

    async def run(self) -> None:
        """Balance the roles of all services until cancelled."""
        await run_control_loop(self._dependencies, self._update_service)

    async def _update_service(self, service: Service) -> None:
        if service.engine is None:
            return
        for _ in range(MAX_CHANGES_PER_ROUND):
            if not await self._change_one(service, service.engine):
                return

    async def _change_one(self, service: Service, profile: EngineProfile) -> bool:
        """Order the next role change; returns whether one was accepted."""
        now = trio.current_time()
        engines = [
            self._with_ordered_role(each, now)
            for each in self._dependencies.knowledge.endpoints_of(service.name)
            if not each.is_leaving
        ]
        passed_over = {each for each, until in self._passed_over_until.items() if until > now}
        change = plan_role_change(engines, passed_over | self._sent_orders.keys())
        if change is None:
            return False
        return await self._send(change, now + profile.role_change_s + LISTING_DELAY_S)

    def _with_ordered_role(self, engine: ListedEndpoint, now: float) -> ListedEndpoint:
        """Return an engine with its ordered role while the list may not show the change yet."""
        order = self._sent_orders.get(engine.identity)
        if order is None:
            return engine
        if order.until > now:
            return msgspec.structs.replace(engine, role=order.role)
        self._sent_orders.pop(engine.identity)
        if engine.role is not order.role:
            self._passed_over_until[engine.identity] = now + REFUSAL_BACKOFF_S
        return engine

    async def _send(self, change: RoleChange, listed_by: float) -> bool:
        holder = self._dependencies.term.holder()
        if holder is None:
            return False
        identity = change.endpoint.identity
        outcome = await self._dependencies.platform.change_role(
            change.endpoint, change.role, holder
        )
        self._dependencies.term.record_outcome(holder, outcome)
        if outcome in {DutyOutcome.ACCEPTED, DutyOutcome.UNKNOWN}:
            self._sent_orders[identity] = _SentOrder(change.role, listed_by)
        else:
            self._passed_over_until[identity] = trio.current_time() + REFUSAL_BACKOFF_S
        log_message(
            message_type='shallotmux:role-order',
            endpoint=identity,
            role=change.role.value,
            outcome=outcome.value,
            token=holder.token,
        )
        return outcome is DutyOutcome.ACCEPTED
