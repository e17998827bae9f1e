"""Scale the endpoints of each service with demand while this instance leads."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import trio
from eliot import log_message

from shallotmux.control._duties import LeaderDependencies, run_control_loop
from shallotmux.control._platform import LISTING_DELAY_S, DutyOutcome, FleetOrder
from shallotmux.control._service_watch import ServiceTracker
from shallotmux.control._sizing import (
    INITIAL_SIZE_FACTOR,
    SizingView,
    ZoneFleet,
    count_fleets,
    count_missing_engines,
    count_needed_engines,
    plan_sizes,
)
from shallotmux.fleet import ListedEndpoint
from shallotmux.routes import FleetBounds, Service

#: Minimum interval between two orders that release endpoints.
RELEASE_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class _SentOrder:
    """Last order for a service, zone and kind of endpoint."""

    count: int
    at: float


class Autoscaler:
    """Orders and releases endpoints so that their number follows demand."""

    def __init__(self, dependencies: LeaderDependencies) -> None:
        self._dependencies = dependencies
        self._trackers: dict[str, ServiceTracker] = {}
        self._sent_orders: dict[tuple[str, str, bool], _SentOrder] = {}
        self._released_at = float('-inf')

    async def run(self) -> None:
        """Scale all services until cancelled."""
        await run_control_loop(self._dependencies, self._update_service)

    async def _update_service(self, service: Service) -> None:
        if (
            service.bounds is None
            or service.engine is None
            or self._dependencies.knowledge.listing is None
        ):
            return
        now = trio.current_time()
        tracker = self._trackers.setdefault(service.name, ServiceTracker(now))
        endpoints = self._dependencies.knowledge.endpoints_of(service.name)
        fleets = _count_active(service.bounds, endpoints)
        if not tracker.is_listing_complete(sum(fleet.total for fleet in fleets.values()), now):
            return
        view = SizingView(
            service.name,
            service.bounds,
            tracker.peak.update(self._needed_engines(service, fleets), now),
            fleets,
            tracker.unavailable_zones(endpoints, now),
        )
        await self._send_due(view, tracker, now)

    async def _send_due(self, view: SizingView, tracker: ServiceTracker, now: float) -> None:
        """Send the orders that are due, until the platform takes no more calls."""
        for order in plan_sizes(view):
            if not self._is_due(order, view.bounds.boot_s, now):
                continue
            if self._is_release(order, view):
                if not self._claim_release(now):
                    continue
                if order.is_cheap:
                    tracker.record_release(order.zone, now)
            if await self._send(order, view.needed, tracker) is DutyOutcome.LIMITED:
                return

    def _needed_engines(self, service: Service, fleets: Mapping[str, ZoneFleet]) -> int:
        demand = self._dependencies.knowledge.demand_of(service.name)
        if demand.tokens_per_s:
            needed = count_needed_engines(demand, service.engine.slots if service.engine else 0)
            present = sum(fleet.total for fleet in fleets.values())
            limits = self._dependencies.knowledge.limits_of(service.name)
            return needed + count_missing_engines(demand, present, limits)
        # Only regular endpoints count, so that cheap ones ordered here do not raise the need again.
        return int(INITIAL_SIZE_FACTOR * sum(fleet.regular for fleet in fleets.values()))

    def _is_release(self, order: FleetOrder, view: SizingView) -> bool:
        fleet = view.fleets[order.zone]
        return order.count < (fleet.cheap if order.is_cheap else fleet.regular)

    def _claim_release(self, now: float) -> bool:
        """Return whether endpoints may be released now, and start the next release interval.

        The KV cache of released engines is lost and must be recomputed on others, so releases are
        spread over time.
        """
        if now - self._released_at < RELEASE_INTERVAL_S:
            return False
        self._released_at = now
        return True

    def _is_due(self, order: FleetOrder, boot_s: float, now: float) -> bool:
        """Return whether an order is new, or is overdue in the platform's list."""
        sent = self._sent_orders.get((order.service, order.zone, order.is_cheap))
        if sent is None or sent.count != order.count:
            return True
        return now - sent.at > boot_s + LISTING_DELAY_S

    async def _send(
        self, order: FleetOrder, needed: int, tracker: ServiceTracker
    ) -> DutyOutcome | None:
        """Send an order and return its outcome; None if this instance may not act any more."""
        holder = self._dependencies.term.holder()
        if holder is None:
            return None
        now = trio.current_time()
        demand = self._dependencies.knowledge.demand_of(order.service)
        outcome = await self._dependencies.platform.order_endpoints(order, holder)
        self._dependencies.term.record_outcome(holder, outcome)
        if outcome not in {DutyOutcome.NOT_SENT, DutyOutcome.LIMITED}:
            key = (order.service, order.zone, order.is_cheap)
            self._sent_orders[key] = _SentOrder(order.count, now)
        if outcome is DutyOutcome.UNAVAILABLE and order.is_cheap:
            tracker.record_unavailable(order.zone, now)
        log_message(
            message_type='shallotmux:fleet-order',
            service=order.service,
            zone=order.zone,
            count=order.count,
            is_cheap=order.is_cheap,
            needed=needed,
            tokens_per_s=round(demand.tokens_per_s),
            prefill_tokens_per_s=round(demand.prefill_tokens_per_s),
            in_flight=demand.in_flight,
            outcome=outcome.value,
            token=holder.token,
        )
        return outcome


def _count_active(bounds: FleetBounds, endpoints: Iterable[ListedEndpoint]) -> dict[str, ZoneFleet]:
    """Return the number of endpoints that are not leaving, by zone."""
    active = ((each.zone, each.is_cheap) for each in endpoints if not each.is_leaving)
    return count_fleets(bounds.zone_prices, active)
