"""Carry out role and fleet decisions in a run, and the failures that a shape asks for."""

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
from shallotmux.measure._entry import LANGUAGE
from shallotmux.measure._runs import EngineSlot
from shallotmux.measure._simulation import LIST_LAG_S, Simulation
from shallotmux.world import EngineRole

#: Intervals of the decisions, in seconds.
ROLE_INTERVAL_S = 2.0
FLEET_INTERVAL_S = 5.0

#: Windows of the measured demand, in seconds.
SHORT_WINDOW_S = 20.0
LONG_WINDOW_S = 90.0

#: Least time between the exclusion of an engine and a change of it (leaving-drained).
DRAIN_S = 2.0

#: Boot time of an ordered engine, and notice before a reclaim, in seconds.
BOOT_S = 60.0
NOTICE_S = 5.0

#: Time after a reclaim for which the zone has no cheap endpoints, in seconds.
RECLAIM_PAUSE_S = 300.0

#: Restart after a crash, and time of the change in which an engine crashes, in seconds.
RESTART_S = 20.0
CRASH_AT_S = 200.0


@dataclass(slots=True)
class Steering:
    """Sends the orders that the decisions ask for and keeps what they need to remember."""

    world: Simulation
    controller_state: RoleControllerState = field(default_factory=RoleControllerState)
    demand: deque[DemandSample] = field(default_factory=lambda: deque(maxlen=200))
    unavailable: set[str] = field(default_factory=set)
    last_release_s: float = -1_000.0
    role_changes: int = 0
    crashed: bool = False
    ordered: int = 0
    released: int = 0

    def start(self) -> None:
        """Start the loops and failures of the run."""
        if self.world.variant.steer_roles:
            self.world.every(ROLE_INTERVAL_S, self.steer_roles)
        if self.world.variant.steer_fleet:
            self.world.every(FLEET_INTERVAL_S, self.steer_fleet)
        if self.world.shape.reclaim_at_s:
            self.world.schedule(self.world.shape.reclaim_at_s, self.reclaim_zone)
        if self.world.shape.crash_in_change:
            self.world.schedule(CRASH_AT_S, self.order_and_crash)

    def steer_roles(self) -> None:
        """Take one decision on roles."""
        now = self.world.now()
        snapshot = RoleSnapshot(
            now,
            tuple(
                EngineStatus(slot.endpoint.name, slot.engine.role, len(slot.engine.jobs()))
                for slot in self.world.serving(LANGUAGE)
                if not slot.leaving and (slot.engine.available or slot.changing)
            ),
            self.world.meter.window(now, SHORT_WINDOW_S),
            self.world.meter.window(now, LONG_WINDOW_S),
        )
        decision = decide_role(snapshot, self.controller_state, self.world.variant.roles)
        self.controller_state = decision.controller_state
        if decision.order is not None:
            self.change_role(self.world.slots[decision.order.endpoint], decision.order)

    def change_role(self, slot: EngineSlot, order: RoleOrder) -> None:
        """Drain an engine and change its role; a repeated order has no further effect."""
        if slot.changing:
            return
        slot.changing = True
        self.world.exclude(slot, 0)

        def change() -> None:
            slot.planned = True
            self.role_changes += 1
            slot.engine.change_role(order.role)
            self._crash_in_change(slot)
            self._when_back(slot)

        self._when_drained(slot, change)

    def steer_fleet(self) -> None:
        """Take one decision on the fleet."""
        now = self.world.now()
        busy = mixed_utilisation(
            self.world.meter.window(now, FLEET_INTERVAL_S * 2), EngineRates(), 1
        )
        self.demand.append(DemandSample(now, busy))
        slots = self.world.serving(LANGUAGE)
        snapshot = FleetSnapshot(
            now,
            self.world.deployment.zones,
            tuple(
                FleetEndpoint(
                    slot.endpoint.name,
                    slot.endpoint.zone,
                    slot.endpoint.cheap,
                    slot.leaving,
                    len(slot.engine.jobs()),
                )
                for slot in slots
            ),
            tuple(self.demand),
            self.world.deployment.language_workers,
            self.world.deployment.defaults,
            frozenset(self.unavailable),
            self.last_release_s,
        )
        decision = decide_fleet(snapshot, self.world.variant.spend)
        for order in decision.orders:
            self.ordered += 1
            self.world.add_engine(LANGUAGE, order.zone, cheap=order.cheap, boot_s=BOOT_S)
        if decision.release:
            self.last_release_s = now
            self.release(self.world.slots[decision.release])

    def release(self, slot: EngineSlot) -> None:
        """Drain an engine and give it back."""
        slot.leaving = True
        slot.planned = True
        self.released += 1
        self.world.exclude(slot, 0)
        self._when_drained(slot, lambda: self._leave(slot))

    def reclaim_zone(self) -> None:
        """Give notice to all cheap engines of the zone that has the most of them."""
        cheap = [
            slot for slot in self.world.slots.values() if slot.endpoint.cheap and slot.gone_s < 0
        ]
        zones = [slot.endpoint.zone for slot in cheap]
        if not zones:
            return
        zone = max(sorted(set(zones)), key=zones.count)
        self.unavailable.add(zone)
        self.world.schedule(RECLAIM_PAUSE_S, lambda: self.unavailable.discard(zone))
        for slot in cheap:
            if slot.endpoint.zone == zone:
                self._give_notice(slot)

    def order_and_crash(self) -> None:
        """Order a role change of the first engine, which crashes in its middle.

        The order is the same for all variants, since few of them change roles by themselves. The
        controller, where it runs, has to settle the order.
        """
        slot = self.world.serving(LANGUAGE)[0]
        order = RoleOrder(slot.endpoint.name, EngineRole.PREFILL, self.world.now())
        self.controller_state = replace(self.controller_state, pending=order)
        self.change_role(slot, order)

    def _give_notice(self, slot: EngineSlot) -> None:
        slot.leaving = True
        self.world.exclude(slot, LIST_LAG_S)
        self.world.schedule(NOTICE_S, lambda: self._leave(slot))

    def _leave(self, slot: EngineSlot) -> None:
        slot.engine.remove()
        slot.gone_s = self.world.now()

    def _crash_in_change(self, slot: EngineSlot) -> None:
        """Crash once, in the middle of the first change; the engine keeps its old role."""
        if not self.world.shape.crash_in_change or self.crashed:
            return
        self.crashed = True
        half = slot.engine.costs.role_change_s / 2
        self.world.schedule(half, lambda: slot.engine.crash(RESTART_S))

    def _when_drained(self, slot: EngineSlot, action: Callable[[], None]) -> None:
        def check() -> None:
            if slot.engine.jobs():
                self.world.schedule(0.5, check)
            else:
                action()

        self.world.schedule(DRAIN_S, check)

    def _when_back(self, slot: EngineSlot) -> None:
        def check() -> None:
            if slot.engine.available:
                slot.changing = False
                slot.planned = False
                self.world.include(slot)
            elif slot.gone_s < 0:
                self.world.schedule(0.5, check)

        self.world.schedule(0.5, check)
