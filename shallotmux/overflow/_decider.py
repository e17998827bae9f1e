"""Decide the shares of a zone at intervals, from what instances report."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from eliot import log_message

from shallotmux.overflow._messages import OverflowShare, ServiceUse
from shallotmux.overflow._plan import MAX_AGE_S, MAX_STEP, ZoneLoad, plan_overflow

#: Time after which the report of an instance does not count any more; live ones report every 1.2 s.
REPORT_TTL_S = MAX_AGE_S

#: Decisions after a start whose steps are not bounded. Instances come back to a restarted decider after
#: 2.5 s, and its shares would else begin at 0 again.
FREE_DECISIONS = 3

#: Part of the instances of a zone that reach no endpoint of a service, from which it is cut off.
CUT_OFF_PART = 0.5

#: Weight of a new demand in the mean that decides. At 20 requests/s, those of 4 s vary by 11%.
DEMAND_WEIGHT = 0.3

#: Largest number in a report, far beyond the whole fleet's.
MAX_USE = 1e9

#: Decimal places of shares and figures in messages and log lines.
DIGITS = 3


@dataclass(frozen=True, slots=True)
class InstanceUse:
    """Report of one entry instance.

    :param cut_off: services of which it reaches no endpoint.
    :param received_at: local time of the report.
    """

    zone: str
    uses: tuple[ServiceUse, ...]
    cut_off: tuple[str, ...]
    received_at: float


def _ignore(_: OverflowShare) -> None:
    """Record nothing."""


class OverflowDecider:
    """Decides the shares of all zones, of which those of the own zone count.

    It reads no clock and knows no network.

    :param zone: zone for which it decides.
    :param price: milliseconds that sending one kilobyte to another zone must save.
    """

    def __init__(self, zone: str, price: float) -> None:
        self.zone = zone
        self._price = price
        self._reports: dict[str, InstanceUse] = {}
        self._shares: tuple[OverflowShare, ...] = ()
        self._decisions = 0
        #: Mean demand by service and zone.
        self._demands: dict[tuple[str, str], float] = {}
        #: Shares of the own zone, for the answers to polls.
        self.own_shares: tuple[OverflowShare, ...] = ()
        #: Called with each share of the own zone that has changed.
        self.on_change: Callable[[OverflowShare], None] = _ignore

    def record(self, sender: str, report: InstanceUse) -> None:
        """Keep the newest report of an entry instance, if its numbers can be calculated with."""
        if all(_is_plausible(each) for each in report.uses):
            self._reports[sender] = report

    def decide(
        self, capacities: Mapping[tuple[str, str], float], list_age_s: float, now: float
    ) -> None:
        """Decide anew.

        :param capacities: slots by service and zone, of services in more than one zone.
        :param list_age_s: age of the list of endpoints that they follow from.
        """
        self._reports = {
            sender: each
            for sender, each in self._reports.items()
            if now - each.received_at <= REPORT_TTL_S
        }
        loads = self._smooth(self._sum_loads(capacities, list_age_s, now))
        self._decisions += 1
        max_step = 1.0 if self._decisions <= FREE_DECISIONS else MAX_STEP
        self._shares = plan_overflow(loads, self._price, self._shares, max_step)
        own = tuple(each for each in self._shares if each.from_zone == self.zone)
        self._announce(own, loads)
        self.own_shares = own

    def _sum_loads(
        self, capacities: Mapping[tuple[str, str], float], list_age_s: float, now: float
    ) -> list[ZoneLoad]:
        reports: dict[str, list[InstanceUse]] = defaultdict(list)
        for each in self._reports.values():
            reports[each.zone].append(each)
        usual = _mean_uses(self._reports.values())
        # A zone may have demand and no endpoint.
        services = {service for service, _ in capacities}
        without = {(service, zone): 0.0 for service in services for zone in reports if zone}
        slots_of = {**without, **capacities}
        return [
            _sum_load(
                service, zone, slots, reports[zone], usual.get(service), max(0.0, list_age_s), now
            )
            for (service, zone), slots in sorted(slots_of.items())
        ]

    def _smooth(self, loads: Iterable[ZoneLoad]) -> list[ZoneLoad]:
        """Return loads with the mean of recent demands, without those of zones that were lost."""
        demands: dict[tuple[str, str], float] = {}
        smoothed: list[ZoneLoad] = []
        for load in loads:
            if load.is_usable:
                known = self._demands.get((load.service, load.zone), load.demand)
                demand = known + DEMAND_WEIGHT * (load.demand - known)
                demands[load.service, load.zone] = demand
                smoothed.append(replace(load, demand=demand))
            else:
                smoothed.append(load)
        self._demands = demands
        return smoothed

    def _announce(self, own: Iterable[OverflowShare], loads: Iterable[ZoneLoad]) -> None:
        """Log each share of the own zone that is another one than before, with its figures."""
        before = _shares_to(self.own_shares, self.zone)
        after = _shares_to(own, self.zone)
        figures = {(each.service, each.zone): each for each in loads}
        for service, to_zone in sorted(before.keys() | after.keys()):
            share = after.get((service, to_zone), 0.0)
            if share == before.get((service, to_zone), 0.0):
                continue
            self.on_change(OverflowShare(service, self.zone, to_zone, share))
            log_message(
                message_type='shallotmux:overflow-share',
                service=service,
                from_zone=self.zone,
                to_zone=to_zone,
                share=round(share, DIGITS),
                source=_describe(figures.get((service, self.zone))),
                target=_describe(figures.get((service, to_zone))),
                price=self._price,
            )


def _sum_load(
    service: str,
    zone: str,
    slots: float,
    reports: list[InstanceUse],
    usual: ServiceUse | None,
    list_age_s: float,
    now: float,
) -> ZoneLoad:
    """Return the load of a service in a zone.

    :param usual: use by all instances; None if none reported any.
    """
    youngest = max((each.received_at for each in reports), default=-math.inf)
    cut_off = sum(service in each.cut_off for each in reports)
    uses = [use for each in reports for use in each.uses if use.service == service]
    service_ms = usual.service_ms if usual else 0.0
    # An instance that has had no answer yet assumes the usual time.
    demand = sum(each.work or each.requests_per_s * service_ms / 1000 for each in uses)
    return ZoneLoad(
        zone,
        service,
        demand,
        slots,
        service_ms,
        usual.kilobytes if usual else 0.0,
        max(list_age_s, now - youngest),
        bool(reports) and cut_off > CUT_OFF_PART * len(reports),
    )


def _mean_uses(reports: Iterable[InstanceUse]) -> dict[str, ServiceUse]:
    """Return the use of each service by all instances, weighted with their requests."""
    requests: dict[str, float] = defaultdict(float)
    totals: dict[str, tuple[float, float]] = defaultdict(lambda: (0.0, 0.0))
    for report in reports:
        for use in report.uses:
            if use.service_ms:
                time_ms, size = totals[use.service]
                requests[use.service] += use.requests_per_s
                totals[use.service] = (
                    time_ms + use.requests_per_s * use.service_ms,
                    size + use.requests_per_s * use.kilobytes,
                )
    return {
        service: ServiceUse(service, rate, totals[service][0] / rate, totals[service][1] / rate)
        for service, rate in requests.items()
        if rate
    }


def _shares_to(shares: Iterable[OverflowShare], zone: str) -> dict[tuple[str, str], float]:
    """Return the shares that are sent to other zones than a zone."""
    return {(each.service, each.to_zone): each.share for each in shares if each.to_zone != zone}


def _describe(load: ZoneLoad | None) -> dict[str, float] | None:
    if load is None:
        return None
    figures = {
        'demand': load.demand,
        'capacity': load.capacity,
        'expected_ms': load.time_ms(),
        'kilobytes': load.kilobytes,
        'age_s': load.age_s,
    }
    return {name: round(value, DIGITS) for name, value in figures.items() if math.isfinite(value)}


def _is_plausible(use: ServiceUse) -> bool:
    numbers = (use.requests_per_s, use.service_ms, use.kilobytes)
    return all(0 <= each <= MAX_USE for each in numbers)
