"""Compute the number of endpoints of each kind that a service needs in each zone."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from shallotmux.control._platform import FleetOrder
from shallotmux.fleet import ServiceDemand
from shallotmux.placement import INITIAL_TOKENS_PER_MS
from shallotmux.routes import FleetBounds

#: Target for the mean utilisation of engines. It leaves room for bursts of twice the mean rate and
#: for prompts that arrive together.
TARGET_UTILISATION = 0.3

#: Prefill speed of one engine until entry instances have measured it, in prompt tokens per second.
INITIAL_PREFILL_TOKENS_PER_S = 1000 * INITIAL_TOKENS_PER_MS

#: Target for the share of the engines' slots that are in use. The rest takes up bursts.
TARGET_OCCUPANCY = 0.5

#: Minimum number of engines of each role.
MIN_PREFILL_ENGINES = 2
MIN_DECODE_ENGINES = 2

#: Ratio of decode to prefill engines. Prompts are much longer than answers, and a decode engine
#: serves many requests at once.
DECODE_ENGINES_PER_PREFILL_ENGINE = 1 / 3

#: Engines beyond :data:`MIN_DECODE_ENGINES` for each further decode engine. A small fleet needs its
#: engines for prefill; a large one can spare more for decode, so that streams can be resumed when
#: two decode engines are lost within seconds.
ENGINES_PER_DECODE_ENGINE = 2.5

#: Regular endpoints that are kept although there are enough cheap ones, one in each of the cheapest
#: zones. They keep serving when cheap endpoints are reclaimed in all zones at once.
MIN_REGULAR_ENDPOINTS = 1

#: Engines that a request usually reaches: one for prefill and one that generates.
SENDS_PER_REQUEST = 2

#: Target number of engines before any demand is measured, relative to the regular endpoints.
INITIAL_SIZE_FACTOR = 1.5

#: Time for which demand must stay lower before the fleet is scaled down.
SCALE_DOWN_DELAY_S = 20.0


@dataclass(frozen=True, slots=True)
class ZoneFleet:
    """Numbers of endpoints of a service in one zone, without leaving ones."""

    regular: int = 0
    cheap: int = 0

    @property
    def total(self) -> int:
        """Return the number of endpoints of both kinds."""
        return self.regular + self.cheap


@dataclass(frozen=True, slots=True)
class SizingView:
    """Input of a sizing decision.

    :param needed: number of engines that the demand needs.
    :param fleets: numbers of endpoints by zone, for all zones of the service.
    :param unavailable: zones in which the platform has no cheap endpoints at the moment.
    """

    service: str
    bounds: FleetBounds
    needed: int
    fleets: Mapping[str, ZoneFleet]
    unavailable: frozenset[str] = field(default_factory=frozenset)

    @property
    def ordered_zones(self) -> frozenset[str]:
        """Return the zones in which endpoints may be ordered: those that the bounds name, if any.

        The platform may list endpoints in other zones until all of them are released.
        """
        return frozenset(self.bounds.zone_prices or self.fleets)

    def min_in(self, zone: str) -> int:
        """Return the minimum number of endpoints in a zone."""
        return self.bounds.min_per_zone if zone in self.ordered_zones else 0


@dataclass(frozen=True, slots=True)
class FleetDemand:
    """Demand for a service at all entry instances.

    :param tokens_per_s: prompt tokens per second that need prefill.
    :param prefill_tokens_per_s: prefill speed of one engine.
    :param in_flight: requests that engines work on.
    :param requests_per_s: requests per second.
    """

    tokens_per_s: float = 0.0
    prefill_tokens_per_s: float = INITIAL_PREFILL_TOKENS_PER_S
    in_flight: int = 0
    requests_per_s: float = 0.0


def sum_demands(demands: Iterable[ServiceDemand]) -> FleetDemand:
    """Return the sum of the demands at several instances.

    The speed is the mean of those measured, weighted with the tokens that they were measured on.
    """
    reported = tuple(demands)
    measured = [each for each in reported if each.prefill_tokens_per_s and each.tokens_per_s]
    weight = sum(each.tokens_per_s for each in measured)
    speed = INITIAL_PREFILL_TOKENS_PER_S
    if weight:
        total = sum(each.tokens_per_s * each.prefill_tokens_per_s for each in measured)
        speed = total / weight
    return FleetDemand(
        sum(each.tokens_per_s for each in reported),
        speed,
        sum(each.in_flight for each in reported),
        sum(each.requests_per_s for each in reported),
    )


def count_missing_engines(demand: FleetDemand, engines: int, limits: Iterable[float]) -> int:
    """Return how many engines are missing since some take fewer requests than the others.

    :param engines: number of engines, those with a limit included.
    :param limits: limits in requests per second that engines have named.
    """
    usual = SENDS_PER_REQUEST * demand.requests_per_s / max(1, engines)
    return math.ceil(sum(max(0.0, 1 - limit / usual) for limit in limits) if usual else 0)


def count_needed_engines(demand: FleetDemand, slots: int) -> int:
    """Return the number of engines of both roles that a demand needs.

    :param slots: requests that an engine runs at the same time; 0 if that is not known.
    """
    load = demand.tokens_per_s / demand.prefill_tokens_per_s
    prefill_engines = max(MIN_PREFILL_ENGINES, math.ceil(load / TARGET_UTILISATION))
    decode_engines = math.ceil(DECODE_ENGINES_PER_PREFILL_ENGINE * prefill_engines)
    occupied = demand.in_flight / slots / TARGET_OCCUPANCY if slots else 0.0
    by_prefill = prefill_engines + max(MIN_DECODE_ENGINES, decode_engines)
    return max(by_prefill, math.ceil(occupied))


def count_decode_engines(engines: int) -> int:
    """Return how many of a number of engines should run decode; the others run prefill."""
    target = math.ceil((engines - MIN_DECODE_ENGINES) / ENGINES_PER_DECODE_ENGINE)
    return min(max(MIN_DECODE_ENGINES, target), max(1, engines - 1))


def plan_sizes(view: SizingView) -> tuple[FleetOrder, ...]:
    """Return the orders to send now, one for each zone and kind whose number must change.

    Cheap endpoints serve the load, with enough of them that the loss of all in one zone, which may
    be reclaimed at once, leaves enough in the other zones. Endpoints are released only when enough
    others are present.
    """
    target = target_fleets(view)
    return (*_plan_scale_up(view, target), *_plan_scale_down(view, target))


def target_fleets(view: SizingView) -> dict[str, ZoneFleet]:
    """Return the target numbers by zone; they do not depend on the present regular endpoints."""
    zones = [each for each in _zones_by_price(view) if each in view.ordered_zones]
    base_zones = zones[:MIN_REGULAR_ENDPOINTS]
    regular = {zone: int(zone in base_zones) for zone in view.fleets}
    cheap = _target_cheap(view, regular)
    missing = view.needed - sum(cheap.values()) - sum(regular.values())
    for each in zones:
        room = view.bounds.max_per_zone - cheap[each] - regular[each]
        shortfall = view.bounds.min_per_zone - cheap[each] - regular[each]
        added = max(0, shortfall, min(missing, room))
        regular[each] += added
        missing -= added
    return {zone: ZoneFleet(regular[zone], cheap[zone]) for zone in view.fleets}


def _target_cheap(view: SizingView, regular: Mapping[str, int]) -> dict[str, int]:
    """Return the target number of cheap endpoints by zone; the present one where unavailable."""
    if not view.bounds.cheap_price:
        return {zone: fleet.cheap for zone, fleet in view.fleets.items()}
    zones = view.ordered_zones & view.fleets.keys()
    surviving_zones = max(1, len(zones - view.unavailable) - 1)
    per_zone = math.ceil(view.needed / surviving_zones)
    counts: dict[str, int] = {}
    for zone, fleet in view.fleets.items():
        room = max(0, view.bounds.max_per_zone - regular[zone]) if zone in zones else 0
        counts[zone] = fleet.cheap if zone in view.unavailable else min(per_zone, room)
    return counts


def _plan_scale_up(view: SizingView, target: Mapping[str, ZoneFleet]) -> list[FleetOrder]:
    """Return the orders for more endpoints; the maximum applies to both kinds together."""
    orders: list[FleetOrder] = []
    for zone, fleet in view.fleets.items():
        regular = min(target[zone].regular, view.bounds.max_per_zone - fleet.cheap)
        cheap = min(target[zone].cheap, view.bounds.max_per_zone - max(fleet.regular, regular))
        if regular > fleet.regular:
            orders.append(FleetOrder(view.service, zone, regular, is_cheap=False))
        if cheap > fleet.cheap:
            orders.append(FleetOrder(view.service, zone, cheap, is_cheap=True))
    return orders


def _plan_scale_down(view: SizingView, target: Mapping[str, ZoneFleet]) -> list[FleetOrder]:
    """Return the orders for fewer endpoints, as far as enough others are present.

    Each zone keeps the minimum that is present, as ordered ones may be refused. Where a zone is full
    and regular endpoints leave no room for cheap ones, one regular endpoint is released even if none
    can be spared.
    """
    present = sum(fleet.total for fleet in view.fleets.values())
    required = min(view.needed, sum(fleet.total for fleet in target.values()))
    spare = present - required
    orders: list[FleetOrder] = []
    for zone in reversed(_zones_by_price(view)):
        fleet, goal = view.fleets[zone], target[zone]
        is_blocked = fleet.total >= view.bounds.max_per_zone and fleet.cheap < goal.cheap
        releasable = fleet.total - view.min_in(zone)
        for is_cheap, count, target_count in (
            (False, fleet.regular, goal.regular),
            (True, fleet.cheap, goal.cheap),
        ):
            allowed = max(spare, int(is_blocked and not orders and not is_cheap))
            released = max(0, min(count - target_count, allowed, releasable))
            if released:
                spare -= released
                releasable -= released
                orders.append(FleetOrder(view.service, zone, count - released, is_cheap))
    return orders


def _zones_by_price(view: SizingView) -> list[str]:
    """Return the zones by ascending price."""
    prices = view.bounds.zone_prices
    return sorted(view.fleets, key=lambda zone: (prices.get(zone, 1.0), zone))


class DemandPeak:
    """Maximum of recent demand, so that scaling down waits until demand stays low."""

    def __init__(self) -> None:
        self._samples: list[tuple[float, int]] = []

    def update(self, needed: int, now: float) -> int:
        """Add a sample and return the highest one within the scale-down delay."""
        self._samples = [each for each in self._samples if now - each[0] < SCALE_DOWN_DELAY_S]
        self._samples.append((now, needed))
        return max(each for _, each in self._samples)


def count_fleets(zones: Iterable[str], present: Iterable[tuple[str, bool]]) -> dict[str, ZoneFleet]:
    """Return the numbers of endpoints by zone.

    :param zones: zones to include even if they have no endpoints.
    :param present: zone of each endpoint that is not leaving, and whether it is cheap.
    """
    counted = Counter(present)
    named = set(zones) | {zone for zone, _ in counted}
    return {
        zone: ZoneFleet(counted[zone, False], counted[zone, True])  # noqa: FBT003
        for zone in sorted(named)
    }
