"""Order endpoints while this instance leads."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import trio
from eliot import log_message

from shallotmux.control._border import DutyOutcome, FleetOrder
from shallotmux.control._duties import LeaderDependencies, look_after_services
from shallotmux.control._service_watch import ServiceWatch
from shallotmux.control._sizing import (
    UNMEASURED_FACTOR,
    SizingView,
    ZoneFleet,
    count_fleets,
    count_needed,
    plan_sizes,
)
from shallotmux.fleet import ListedEndpoint
from shallotmux.routes import FleetBounds, Service

#: Time for which an order is given to show in the platform's list, beyond the start of endpoints.
SHOW_S = 3.0

#: Time between two orders by which endpoints go.
RELEASE_PAUSE_S = 1.0

#: Prompt tokens that an engine reads in a second, while nothing was measured.
READ_TOKENS_PER_S = 50_000.0


@dataclass(frozen=True, slots=True)
class _Sent:
    """The last order for a zone and kind."""

    count: int
    at: float


class Autoscaler:
    """Keeps the number of endpoints near what the demand needs."""

    def __init__(self, tools: LeaderDependencies) -> None:
        self._tools = tools
        self._watches: dict[str, ServiceWatch] = {}
        self._sent: dict[tuple[str, str, bool], _Sent] = {}
        self._released_at = float('-inf')

    async def run(self) -> None:
        """Look after all services until cancelled."""
        await look_after_services(self._tools, self._look_after)

    async def _look_after(self, service: Service) -> None:
        if service.bounds is None or service.engine is None or self._tools.desk.listing is None:
            return
        now = trio.current_time()
        watch = self._watches.setdefault(service.name, ServiceWatch(now))
        endpoints = self._tools.desk.endpoints_of(service.name)
        fleets = _count_staying(service.bounds, endpoints)
        if not watch.is_listed(sum(fleet.total for fleet in fleets.values()), now):
            return
        view = SizingView(
            service.name,
            service.bounds,
            watch.peak.note(self._need(service, fleets), now),
            fleets,
            watch.closed_zones(endpoints, now),
        )
        for order in plan_sizes(view):
            if self._is_release(order, view):
                if not self._may_release(now):
                    continue
                if order.is_cheap:
                    watch.note_release(order.zone, now)
            if self._is_due(order, service.bounds.boot_s, now):
                await self._send(order, view.needed, watch)

    def _need(self, service: Service, fleets: Mapping[str, ZoneFleet]) -> int:
        tokens_per_s = self._tools.desk.demand_of(service.name)
        if tokens_per_s:
            return count_needed(tokens_per_s, READ_TOKENS_PER_S)
        # Only regular endpoints, so that what was ordered does not raise the need again.
        return int(UNMEASURED_FACTOR * sum(fleet.regular for fleet in fleets.values()))

    def _is_release(self, order: FleetOrder, view: SizingView) -> bool:
        fleet = view.fleets[order.zone]
        return order.count < (fleet.cheap if order.is_cheap else fleet.regular)

    def _may_release(self, now: float) -> bool:
        """Return whether endpoints may go; what they held has to be read again elsewhere."""
        if now - self._released_at < RELEASE_PAUSE_S:
            return False
        self._released_at = now
        return True

    def _is_due(self, order: FleetOrder, boot_s: float, now: float) -> bool:
        """Return whether an order is new, or was not carried out in time."""
        sent = self._sent.get((order.service, order.zone, order.is_cheap))
        if sent is None or sent.count != order.count:
            return True
        return now - sent.at > boot_s + SHOW_S

    async def _send(self, order: FleetOrder, needed: int, watch: ServiceWatch) -> None:
        holder = self._tools.term.holder()
        if holder is None:
            return
        now = trio.current_time()
        self._sent[order.service, order.zone, order.is_cheap] = _Sent(order.count, now)
        outcome = await self._tools.border.order_endpoints(order, holder)
        self._tools.term.note(holder, outcome)
        if outcome is DutyOutcome.UNAVAILABLE and order.is_cheap:
            watch.note_unavailable(order.zone, now)
        log_message(
            message_type='shallotmux:fleet-order',
            service=order.service,
            zone=order.zone,
            count=order.count,
            is_cheap=order.is_cheap,
            needed=needed,
            outcome=outcome.value,
            token=holder.token,
        )


def _count_staying(
    bounds: FleetBounds, endpoints: Iterable[ListedEndpoint]
) -> dict[str, ZoneFleet]:
    """Return the endpoints that are not leaving, by zone."""
    staying = ((each.zone, each.is_cheap) for each in endpoints if not each.is_leaving)
    return count_fleets(bounds.zone_prices, staying)
