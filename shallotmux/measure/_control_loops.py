"""Control loops for roles and the fleet in a run, and the failures of the trace shape."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from shallotmux.decisions import (
    DemandSample,
    EngineRates,
    EngineStatus,
    FleetEndpoint,
    FleetSnapshot,
    RoleControllerState,
    RoleOrder,
    RoleSnapshot,
    decide_fleet,
    decide_role,
    mixed_utilisation,
)
from shallotmux.measure._entry import LANGUAGE_POOL
from shallotmux.measure._runs import SimulatedEngine
from shallotmux.measure._simulation import LIST_DELAY_S, Simulation
from shallotmux.world import EngineRole

#: Intervals of the role and fleet decisions, in seconds.
ROLE_INTERVAL_S = 2.0
FLEET_INTERVAL_S = 5.0

#: Windows over which demand is averaged for role decisions, in seconds.
SHORT_WINDOW_S = 20.0
LONG_WINDOW_S = 90.0

#: Minimum time between the exclusion of an engine and its change or removal, in seconds
#: (invariant leaving-drained).
MIN_DRAIN_S = 2.0

#: Boot time of an ordered engine, and notice period of a reclaim, in seconds.
BOOT_DELAY_S = 60.0
NOTICE_S = 5.0

#: Time after a reclaim during which the zone offers no cheap endpoints, in seconds.
CHEAP_UNAVAILABLE_S = 300.0

#: Duration of a restart, and time at which the role change with the crash is ordered, in seconds.
RESTART_DELAY_S = 20.0
CRASH_AT_S = 200.0


@dataclass(slots=True)
class ControlLoops:
    """Runs the decisions periodically, carries out their orders and keeps their state."""

    simulation: Simulation
    controller_state: RoleControllerState = field(default_factory=RoleControllerState)
    demand: deque[DemandSample] = field(default_factory=lambda: deque(maxlen=200))
    unavailable: set[str] = field(default_factory=set)
    last_release_s: float = -1_000.0
    role_changes: int = 0
    has_crashed: bool = False
    ordered: int = 0
    released: int = 0

    def start(self) -> None:
        """Schedule the control loops and the failures of the run."""
        if self.simulation.variant.runs_role_controller:
            self.simulation.every(ROLE_INTERVAL_S, self.control_roles)
        if self.simulation.variant.runs_fleet_planner:
            self.simulation.every(FLEET_INTERVAL_S, self.plan_fleet)
        if self.simulation.shape.reclaim_at_s:
            self.simulation.schedule(self.simulation.shape.reclaim_at_s, self.reclaim_zone)
        if self.simulation.shape.crash_in_change:
            self.simulation.schedule(CRASH_AT_S, self.order_and_crash)

    def control_roles(self) -> None:
        """Make one role decision and carry it out."""
        now = self.simulation.now()
        snapshot = RoleSnapshot(
            now,
            tuple(
                EngineStatus(engine.endpoint.name, engine.model.role, len(engine.model.jobs()))
                for engine in self.simulation.engines_of(LANGUAGE_POOL)
                if not engine.leaving and (engine.model.available or engine.role_change_pending)
            ),
            self.simulation.meter.window(now, SHORT_WINDOW_S),
            self.simulation.meter.window(now, LONG_WINDOW_S),
        )
        decision = decide_role(snapshot, self.controller_state, self.simulation.variant.roles)
        self.controller_state = decision.controller_state
        if decision.order is not None:
            self.change_role(self.simulation.engines[decision.order.endpoint], decision.order)

    def change_role(self, engine: SimulatedEngine, order: RoleOrder) -> None:
        """Drain an engine and change its role; does nothing while a change is pending."""
        if engine.role_change_pending:
            return
        engine.role_change_pending = True
        self.simulation.exclude(engine, 0)

        def change() -> None:
            engine.outage_planned = True
            self.role_changes += 1
            engine.model.change_role(order.role)
            self._crash_in_change(engine)
            self._reinclude_when_available(engine)

        self._when_drained(engine, change)

    def plan_fleet(self) -> None:
        """Make one fleet decision and carry it out."""
        now = self.simulation.now()
        utilisation = mixed_utilisation(
            self.simulation.meter.window(now, FLEET_INTERVAL_S * 2), EngineRates(), 1
        )
        self.demand.append(DemandSample(now, utilisation))
        engines = self.simulation.engines_of(LANGUAGE_POOL)
        snapshot = FleetSnapshot(
            now,
            self.simulation.deployment.zones,
            tuple(
                FleetEndpoint(
                    engine.endpoint.name,
                    engine.endpoint.zone,
                    engine.endpoint.cheap,
                    engine.leaving,
                    len(engine.model.jobs()),
                )
                for engine in engines
            ),
            tuple(self.demand),
            self.simulation.deployment.language_workers,
            self.simulation.deployment.defaults,
            frozenset(self.unavailable),
            self.last_release_s,
        )
        decision = decide_fleet(snapshot, self.simulation.variant.fleet)
        for order in decision.orders:
            self.ordered += 1
            self.simulation.add_engine(
                LANGUAGE_POOL, order.zone, cheap=order.cheap, boot_s=BOOT_DELAY_S
            )
        if decision.release:
            self.last_release_s = now
            self.release(self.simulation.engines[decision.release])

    def release(self, engine: SimulatedEngine) -> None:
        """Drain an engine and remove it."""
        engine.leaving = True
        engine.outage_planned = True
        self.released += 1
        self.simulation.exclude(engine, 0)
        self._when_drained(engine, lambda: self._remove(engine))

    def reclaim_zone(self) -> None:
        """Reclaim all cheap engines of the zone that has the most of them."""
        cheap_engines = [
            engine
            for engine in self.simulation.engines.values()
            if engine.endpoint.cheap and engine.removed_at_s < 0
        ]
        zones = [engine.endpoint.zone for engine in cheap_engines]
        if not zones:
            return
        zone = max(sorted(set(zones)), key=zones.count)
        self.unavailable.add(zone)
        self.simulation.schedule(CHEAP_UNAVAILABLE_S, lambda: self.unavailable.discard(zone))
        for engine in cheap_engines:
            if engine.endpoint.zone == zone:
                self._give_notice(engine)

    def order_and_crash(self) -> None:
        """Order a role change of the first engine, which crashes halfway through the change.

        All variants get the same order, since few of them change roles on their own. The role
        controller, where it runs, has to resolve the pending order.
        """
        engine = self.simulation.engines_of(LANGUAGE_POOL)[0]
        order = RoleOrder(engine.endpoint.name, EngineRole.PREFILL, self.simulation.now())
        self.controller_state = replace(self.controller_state, pending=order)
        self.change_role(engine, order)

    def _give_notice(self, engine: SimulatedEngine) -> None:
        engine.leaving = True
        self.simulation.exclude(engine, LIST_DELAY_S)
        self.simulation.schedule(NOTICE_S, lambda: self._remove(engine))

    def _remove(self, engine: SimulatedEngine) -> None:
        engine.model.remove()
        engine.removed_at_s = self.simulation.now()

    def _crash_in_change(self, engine: SimulatedEngine) -> None:
        """Crash halfway through the first role change; the engine keeps its previous role."""
        if not self.simulation.shape.crash_in_change or self.has_crashed:
            return
        self.has_crashed = True
        delay_s = engine.model.costs.role_change_s / 2
        self.simulation.schedule(delay_s, lambda: engine.model.crash(RESTART_DELAY_S))

    def _when_drained(self, engine: SimulatedEngine, action: Callable[[], None]) -> None:
        def check() -> None:
            if engine.model.jobs():
                self.simulation.schedule(0.5, check)
            else:
                action()

        self.simulation.schedule(MIN_DRAIN_S, check)

    def _reinclude_when_available(self, engine: SimulatedEngine) -> None:
        def check() -> None:
            if engine.model.available:
                engine.role_change_pending = False
                engine.outage_planned = False
                self.simulation.include(engine)
            elif engine.removed_at_s < 0:
                self.simulation.schedule(0.5, check)

        self.simulation.schedule(0.5, check)
