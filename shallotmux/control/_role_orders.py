"""Order engines to change their roles while this instance leads."""

from __future__ import annotations

import msgspec
import trio
from eliot import log_message

from shallotmux.control._border import DutyOutcome
from shallotmux.control._duties import LeaderDependencies, look_after_services
from shallotmux.control._role_plan import RoleChange, plan_role_change
from shallotmux.fleet import EngineRole, ListedEndpoint
from shallotmux.routes import Service

#: Time for which an order is given to show in the platform's list, beyond the change itself.
SHOW_S = 3.0

#: Time for which an engine that refused an order is left alone.
REFUSED_S = 10.0


class RoleBalancer:
    """Keeps the roles of the engines near what their number asks for."""

    def __init__(self, tools: LeaderDependencies) -> None:
        self._tools = tools
        self._ordered: dict[str, EngineRole] = {}
        self._settled_at: dict[str, float] = {}

    async def run(self) -> None:
        """Look after all services until cancelled."""
        await look_after_services(self._tools, self._look_after)

    async def _look_after(self, service: Service) -> None:
        if service.engine is None:
            return
        now = trio.current_time()
        engines = [
            self._expected(each, now)
            for each in self._tools.desk.endpoints_of(service.name)
            if not each.is_leaving
        ]
        change = plan_role_change(engines)
        if change is None or self._settled_at.get(change.endpoint.identity, 0) > now:
            return
        settles_in_s = service.engine.role_change_s + SHOW_S
        await self._send(change, now + settles_in_s)

    def _expected(self, engine: ListedEndpoint, now: float) -> ListedEndpoint:
        """Return an engine with the role that it was ordered to take, while that may not show."""
        ordered = self._ordered.get(engine.identity)
        if ordered is None or self._settled_at.get(engine.identity, 0) <= now:
            self._ordered.pop(engine.identity, None)
            return engine
        return msgspec.structs.replace(engine, role=ordered)

    async def _send(self, change: RoleChange, settled_at: float) -> None:
        holder = self._tools.term.holder()
        if holder is None:
            return
        identity = change.endpoint.identity
        outcome = await self._tools.border.change_role(change.endpoint, change.role, holder)
        self._tools.term.note(holder, outcome)
        if outcome in {DutyOutcome.ACCEPTED, DutyOutcome.UNKNOWN}:
            self._ordered[identity] = change.role
            self._settled_at[identity] = settled_at
        else:
            self._settled_at[identity] = trio.current_time() + REFUSED_S
        log_message(
            message_type='shallotmux:role-order',
            endpoint=identity,
            role=change.role.value,
            outcome=outcome.value,
            token=holder.token,
        )
