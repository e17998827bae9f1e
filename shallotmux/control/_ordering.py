"""Order endpoints while this instance leads."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import trio
from eliot import log_message

from shallotmux.control._border import DutyOutcome, FleetOrder, PlatformBorder
from shallotmux.control._duties import LeaderTerm, look_after_services
from shallotmux.control._knowledge import KnowledgeDesk
from shallotmux.control._sizing import (
    UNMEASURED_FACTOR,
    DemandPeak,
    SizingView,
    ZoneFleet,
    count_fleets,
    count_needed,
    plan_sizes,
)
from shallotmux.routes import RouteTable, Service

#: Time for which an order is given to show in the platform's list, beyond the start of endpoints.
SHOW_S = 3.0

#: Time for which a zone counts as dry after the platform had no cheap endpoints there.
DRY_S = 2.5

#: Time between two orders by which endpoints go.
RELEASE_PAUSE_S = 1.0

#: Time after an order for fewer cheap endpoints for which leaving ones in that zone are those of the
#: order and not reclaimed ones.
RELEASE_SHOWS_S = 15.0

#: Time for which a leader waits for a service's endpoints to show in the list. An order before that
#: would take away those that are not listed yet.
FIRST_LISTED_S = 5.0

#: Prompt tokens that an engine reads in a second, while nothing was measured.
READ_TOKENS_PER_S = 50_000.0


@dataclass(frozen=True, slots=True)
class _Sent:
    """The last order for a zone and kind."""

    count: int
    at: float


class OrderingDuty:
    """Keeps the number of endpoints near what the demand needs.

    :param table: returns the look-ups of the document in force, None before the first one.
    """

    def __init__(
        self,
        desk: KnowledgeDesk,
        border: PlatformBorder,
        term: LeaderTerm,
        table: Callable[[], RouteTable | None],
    ) -> None:
        self._desk = desk
        self._border = border
        self._term = term
        self._table = table
        self._peaks: dict[str, DemandPeak] = defaultdict(DemandPeak)
        self._sent: dict[tuple[str, str, bool], _Sent] = {}
        self._dry_until: dict[str, float] = {}
        self._released_at = float('-inf')
        self._cheap_released_at: dict[str, float] = {}
        self._watched_since: dict[str, float] = {}
        self._first_counts: dict[str, int] = {}

    async def run(self) -> None:
        """Look after all services until cancelled."""
        await look_after_services(self._term, self._table, self._look_after)

    async def _look_after(self, service: Service) -> None:
        if service.bounds is None or service.engine is None or self._desk.listing is None:
            return
        now = trio.current_time()
        if not self._is_known(service, now):
            return
        view = SizingView(
            service.name,
            service.bounds,
            self._peaks[service.name].note(self._need(service), now),
            self._fleets(service),
            self._dry_zones(service.name, now),
        )
        for order in plan_sizes(view):
            if self._is_release(order, view):
                if not self._may_release(now):
                    continue
                if order.is_cheap:
                    self._cheap_released_at[order.zone] = now
            if self._is_due(order, service.bounds.boot_s, now):
                await self._send(order, view.needed)

    def _is_known(self, service: Service, now: float) -> bool:
        """Return whether the list shows the service's endpoints, or would if it had any.

        A first list that still grows does not count.
        """
        watched_since = self._watched_since.setdefault(service.name, now)
        if now - watched_since > FIRST_LISTED_S:
            return True
        count = sum(fleet.total for fleet in self._fleets(service).values())
        if count and count == self._first_counts.get(service.name):
            self._watched_since[service.name] = float('-inf')
            return True
        self._first_counts[service.name] = count
        return False

    def _dry_zones(self, service: str, now: float) -> frozenset[str]:
        """Return the zones in which no cheap endpoints are to be had.

        Where some are being reclaimed, there will be none for a while.
        """
        listing = self._desk.listing
        reclaimed = {
            each.zone
            for each in (listing.endpoints if listing else ())
            if each.service == service
            and each.is_cheap
            and each.is_leaving
            and now - self._cheap_released_at.get(each.zone, float('-inf')) > RELEASE_SHOWS_S
        }
        closed = {zone for zone, until in self._dry_until.items() if until > now}
        return frozenset(reclaimed | closed)

    def _need(self, service: Service) -> int:
        tokens_per_s = self._desk.demand_of(service.name)
        if tokens_per_s:
            return count_needed(tokens_per_s, READ_TOKENS_PER_S)
        # Only regular endpoints, so that what was ordered does not raise the need again.
        present = sum(fleet.regular for fleet in self._fleets(service).values())
        return int(UNMEASURED_FACTOR * present)

    def _fleets(self, service: Service) -> dict[str, ZoneFleet]:
        listing = self._desk.listing
        endpoints = listing.endpoints if listing else ()
        zones = service.bounds.zone_prices if service.bounds else {}
        return count_fleets(
            zones,
            (
                (each.zone, each.is_cheap)
                for each in endpoints
                if each.service == service.name and not each.is_leaving
            ),
        )

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

    async def _send(self, order: FleetOrder, needed: int) -> None:
        holder = self._term.holder()
        if holder is None:
            return
        now = trio.current_time()
        self._sent[order.service, order.zone, order.is_cheap] = _Sent(order.count, now)
        outcome = await self._border.order_endpoints(order, holder)
        self._term.note(holder, outcome)
        if outcome is DutyOutcome.UNAVAILABLE and order.is_cheap:
            self._dry_until[order.zone] = now + DRY_S
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
