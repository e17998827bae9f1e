"""Change engine roles as the ratio of prefill to decode work changes."""

from __future__ import annotations

from dataclasses import replace

import trio

from shallotmux.authority import ChangeRole
from shallotmux.controllers._demand import DemandTracker
from shallotmux.controllers._dependencies import ControllerDependencies
from shallotmux.decisions import (
    EngineRates,
    EngineStatus,
    RoleControllerState,
    RoleDecision,
    RoleOrder,
    RolePolicy,
    RoleSnapshot,
    decide_role,
)
from shallotmux.orders import Term
from shallotmux.world import Endpoint, EndpointPool, EngineRole

#: Interval between two decisions, in seconds.
DECISION_INTERVAL_S = 2.0


class RoleController:
    """Changes the roles of the engines of each pool, one change at a time."""

    def __init__(
        self, dependencies: ControllerDependencies, policy: RolePolicy | None = None
    ) -> None:
        self._dependencies = dependencies
        self._policy = policy or RolePolicy()
        self._demand = DemandTracker()
        self._controller_states: dict[str, RoleControllerState] = {}

    async def run(self, term: Term) -> None:
        """Decide at intervals until cancelled at the end of the term."""
        # A new leader does not know the time of the last change, so it waits a full dwell time.
        self._controller_states.clear()
        started_s = trio.current_time()
        while True:
            now = trio.current_time()
            self._demand.observe(self._dependencies.authority.read().usage, now)
            for pool, engines in self._dependencies.engine_pools():
                controller_state = self._controller_states.setdefault(
                    pool.name, RoleControllerState(started_s)
                )
                await self._decide(term, pool, engines, controller_state)
            await trio.sleep(DECISION_INTERVAL_S)

    async def _decide(
        self,
        term: Term,
        pool: EndpointPool,
        engines: list[Endpoint],
        controller_state: RoleControllerState,
    ) -> None:
        snapshot = self._snapshot(pool, engines)
        controller_state = self._apply_order_outcome(controller_state, snapshot.now)
        decision = decide_role(snapshot, controller_state, self._policy)
        self._controller_states[pool.name] = decision.controller_state
        order = decision.order
        if order is None or self._dependencies.authority.read().intents.is_changing(order.endpoint):
            return
        self._record(pool, decision, order)
        chosen = next(each for each in engines if each.name == order.endpoint)
        opened = await self._dependencies.commit_order(
            term, chosen.name, ChangeRole(order.role), checks_fencing=chosen.checks_fencing
        )
        if not opened:
            until_s = snapshot.now + self._policy.refusal_backoff_s
            self._controller_states[pool.name] = decision.controller_state.with_refusal(
                chosen.name, until_s
            )

    def _apply_order_outcome(
        self, controller_state: RoleControllerState, now: float
    ) -> RoleControllerState:
        """Return the controller state after the outcome of the pending order, if there is one."""
        if controller_state.pending is None:
            return controller_state
        target = self._dependencies.authority.read().intents.target(
            controller_state.pending.endpoint
        )
        if target.intent is not None:
            # The dispatcher itself retries an open order.
            return replace(controller_state, pending=replace(controller_state.pending, sent_s=now))
        if target.last_outcome == 'refused':
            return controller_state.with_refusal(
                controller_state.pending.endpoint, now + self._policy.refusal_backoff_s
            )
        return controller_state

    def _snapshot(self, pool: EndpointPool, engines: list[Endpoint]) -> RoleSnapshot:
        now = trio.current_time()
        usage = self._dependencies.authority.read().usage
        demand = self._demand.total(usage, pool.name, now)
        received_reports = [
            (each, self._dependencies.loads.received_reports.get(each.name)) for each in engines
        ]
        reports = [(each.name, load.report) for each, load in received_reports if load is not None]
        statuses = tuple(
            EngineStatus(
                name,
                EngineRole(report.role),
                report.queued_prefill_tokens / max(1.0, report.prefill_tokens_per_s),
            )
            for name, report in reports
        )
        rates = EngineRates()
        if reports:
            mean = sum(report.prefill_tokens_per_s for _, report in reports) / len(reports)
            rates = EngineRates(prefill_tokens_per_s=max(1.0, mean))
        return RoleSnapshot(now, statuses, demand.short, demand.long, rates)

    def _record(self, pool: EndpointPool, decision: RoleDecision, order: RoleOrder) -> None:
        self._dependencies.record(
            'role',
            order.endpoint,
            str(order.role),
            f'{pool.name}: {decision.reason}',
            dict(decision.figures),
        )
