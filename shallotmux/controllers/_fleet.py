"""Scale each pool by ordering and releasing endpoints."""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field

import trio

from shallotmux.authority import OrderEndpoints, ReleaseEndpoint
from shallotmux.controllers._demand import DemandTracker
from shallotmux.controllers._dependencies import ControllerDependencies
from shallotmux.decisions import (
    DemandSample,
    EngineRates,
    FleetDecision,
    FleetEndpoint,
    FleetPolicy,
    FleetSnapshot,
    RoleCounts,
    decide_fleet,
    utilisation,
)
from shallotmux.orders import Term
from shallotmux.world import Defaults, Endpoint, EndpointPool

#: Interval between two decisions, in seconds.
DECISION_INTERVAL_S = 5.0

#: Demand samples kept for each pool; they cover ten minutes.
MAX_SAMPLES = 120


@dataclass(slots=True)
class PoolHistory:
    """Demand samples and time of the last release of a pool."""

    samples: deque[DemandSample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    last_release_s: float = -math.inf


class FleetController:
    """Orders and releases endpoints of each pool through the platform.

    Only endpoints that were ordered are released, never those that an operator lists in a pool.

    :param limit: largest number of endpoints in a pool.
    """

    def __init__(
        self, dependencies: ControllerDependencies, limit: int, policy: FleetPolicy | None = None
    ) -> None:
        self._dependencies = dependencies
        self._limit = limit
        self._policy = policy or FleetPolicy()
        self._demand = DemandTracker()
        self._history_by_pool: dict[str, PoolHistory] = {}

    async def run(self, term: Term) -> None:
        """Decide at intervals until cancelled at the end of the term."""
        self._history_by_pool.clear()
        while True:
            usage = self._dependencies.authority.read().usage
            self._demand.observe(usage, trio.current_time())
            for pool, engines in self._dependencies.engine_pools():
                await self._decide(term, pool, engines)
            await trio.sleep(DECISION_INTERVAL_S)

    async def _decide(self, term: Term, pool: EndpointPool, engines: list[Endpoint]) -> None:
        history = self._history_by_pool.setdefault(pool.name, PoolHistory())
        snapshot = self._snapshot(pool, engines, history)
        decision = decide_fleet(snapshot, self._policy)
        if not decision.orders and not decision.release:
            return
        self._record(pool, decision)
        if decision.release:
            await self._release(term, decision.release, history)
        counts = Counter(order.cheap for order in decision.orders)
        # The platform takes one order at a time; the next decision covers the rest.
        for cheap, count in counts.items():
            content = OrderEndpoints(pool.name, count, cheap)
            if await self._commit_order(term, content):
                return

    async def _release(self, term: Term, name: str, history: PoolHistory) -> None:
        if name not in self._dependencies.authority.read().inventory.listed:
            return
        if await self._commit_order(term, ReleaseEndpoint(name)):
            history.last_release_s = trio.current_time()

    async def _commit_order(self, term: Term, content: OrderEndpoints | ReleaseEndpoint) -> bool:
        target = f'platform/{self._dependencies.zone}'
        return await self._dependencies.commit_order(term, target, content, checks_fencing=False)

    def _snapshot(
        self, pool: EndpointPool, engines: list[Endpoint], history: PoolHistory
    ) -> FleetSnapshot:
        state = self._dependencies.authority.read()
        now = trio.current_time()
        demand = self._demand.total(state.usage, pool.name, now)
        busy = utilisation(RoleCounts(mixed=1), demand.short, EngineRates())
        history.samples.append(DemandSample(now, busy))
        fleet = tuple(
            FleetEndpoint(
                each.name,
                each.zone,
                each.cheap,
                leaving=state.inventory.is_leaving(each.name)
                or state.intents.is_changing(each.name),
            )
            for each in engines
        )
        return FleetSnapshot(
            now=now,
            zones=(self._dependencies.zone,),
            endpoints=fleet,
            demand=tuple(history.samples),
            limit=self._limit,
            defaults=self._defaults(),
            last_release_s=history.last_release_s,
        )

    def _defaults(self) -> Defaults:
        stored = self._dependencies.authority.read().configuration.objects.get(
            ('defaults', 'fleet')
        )
        return stored.item if stored and isinstance(stored.item, Defaults) else Defaults()

    def _record(self, pool: EndpointPool, decision: FleetDecision) -> None:
        outcome = f'order {len(decision.orders)}' if decision.orders else decision.release
        self._dependencies.record(
            'spend', pool.name, outcome, decision.reason, dict(decision.figures)
        )
