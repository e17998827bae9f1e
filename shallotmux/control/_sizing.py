"""How many endpoints of each kind a service needs in each zone, and which order comes next."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from shallotmux.control._border import FleetOrder
from shallotmux.routes import FleetBounds

#: Share of their time for which engines may be busy on average. Bursts of twice the mean, and
#: prompts that come in clumps, then still find a free engine.
BUSY_TARGET = 0.3

#: Fewest engines that read prompts, and that generate answers.
LEAST_READERS = 2
LEAST_GENERATORS = 2

#: Engines that generate for each one that reads. Prompts are much longer than answers, and an
#: engine generates for many requests at once.
GENERATORS_PER_READER = 1 / 3

#: Engines beyond the fewest generators for each further generator. A small fleet needs its engines
#: for reading; a large one can spare one more, so that streams have somewhere to go when two
#: generators are lost within seconds.
ENGINES_PER_GENERATOR = 2.5

#: Regular endpoints that are kept beside enough cheap ones, in the cheapest zone. They go on serving
#: when cheap ones are reclaimed in all zones at once.
KEPT_REGULAR = 1

#: Engines to have before any demand was measured, relative to those that are there.
UNMEASURED_FACTOR = 1.5

#: Time for which a lower demand must last before the fleet shrinks, in seconds.
SHRINK_AFTER_S = 20.0


@dataclass(frozen=True, slots=True)
class ZoneFleet:
    """Endpoints of a service in one zone that are not leaving."""

    regular: int = 0
    cheap: int = 0

    @property
    def total(self) -> int:
        """Return the endpoints of both kinds."""
        return self.regular + self.cheap


@dataclass(frozen=True, slots=True)
class SizingView:
    """What a sizing decision rests on.

    :param needed: engines that the demand needs.
    :param fleets: endpoints by zone, for all zones of the service.
    :param closed: zones in which no cheap endpoints are to be had at the moment.
    """

    service: str
    bounds: FleetBounds
    needed: int
    fleets: Mapping[str, ZoneFleet]
    closed: frozenset[str] = field(default_factory=frozenset)


def count_needed(tokens_per_s: float, read_tokens_per_s: float) -> int:
    """Return the engines that a demand needs, those that read and those that generate.

    :param tokens_per_s: prompt tokens that have to be read in a second.
    :param read_tokens_per_s: prompt tokens that one engine reads in a second.
    """
    readers = max(LEAST_READERS, math.ceil(tokens_per_s / read_tokens_per_s / BUSY_TARGET))
    return readers + max(LEAST_GENERATORS, math.ceil(GENERATORS_PER_READER * readers))


def count_generators(engines: int) -> int:
    """Return how many of some engines should generate; the others read prompts."""
    wanted = math.ceil((engines - LEAST_GENERATORS) / ENGINES_PER_GENERATOR)
    return min(max(LEAST_GENERATORS, wanted), max(1, engines - 1))


def plan_sizes(view: SizingView) -> tuple[FleetOrder, ...]:
    """Return the counts to order now, for each zone and kind that must change.

    Cheap endpoints carry the load as long as the other zones can do so without those of any one
    zone, which may all be reclaimed at once. Endpoints go only when enough others are there.
    """
    target = target_fleets(view)
    return (*_plan_growth(view, target), *_plan_release(view, target))


def target_fleets(view: SizingView) -> dict[str, ZoneFleet]:
    """Return the endpoints to come to in each zone; it does not depend on the regular ones."""
    kept = frozenset(_by_price(view)[:KEPT_REGULAR])
    regular = {zone: int(zone in kept) for zone in view.fleets}
    cheap = _target_cheap(view, regular)
    missing = view.needed - sum(cheap.values()) - sum(regular.values())
    for each in _by_price(view):
        room = view.bounds.max_per_zone - cheap[each] - regular[each]
        shortfall = view.bounds.min_per_zone - cheap[each] - regular[each]
        added = max(0, shortfall, min(missing, room))
        regular[each] += added
        missing -= added
    return {zone: ZoneFleet(regular[zone], cheap[zone]) for zone in view.fleets}


def _target_cheap(view: SizingView, regular: Mapping[str, int]) -> dict[str, int]:
    """Return the cheap endpoints to come to; where none are to be had, those that are there."""
    if not view.bounds.cheap_price:
        return {zone: fleet.cheap for zone, fleet in view.fleets.items()}
    carriers = max(1, len(view.fleets.keys() - view.closed) - 1)
    each = math.ceil(view.needed / carriers)
    counts: dict[str, int] = {}
    for zone, fleet in view.fleets.items():
        room = view.bounds.max_per_zone - regular[zone]
        counts[zone] = fleet.cheap if zone in view.closed else min(each, room)
    return counts


def _plan_growth(view: SizingView, target: Mapping[str, ZoneFleet]) -> list[FleetOrder]:
    """Return the orders for more endpoints; the bound holds for both kinds together."""
    orders: list[FleetOrder] = []
    for zone, fleet in view.fleets.items():
        regular = min(target[zone].regular, view.bounds.max_per_zone - fleet.cheap)
        cheap = min(target[zone].cheap, view.bounds.max_per_zone - max(fleet.regular, regular))
        if regular > fleet.regular:
            orders.append(FleetOrder(view.service, zone, regular, is_cheap=False))
        if cheap > fleet.cheap:
            orders.append(FleetOrder(view.service, zone, cheap, is_cheap=True))
    return orders


def _plan_release(view: SizingView, target: Mapping[str, ZoneFleet]) -> list[FleetOrder]:
    """Return the orders for fewer endpoints, as far as enough others are there.

    A full zone in which regular endpoints keep cheap ones out gives one of them up first.
    """
    present = sum(fleet.total for fleet in view.fleets.values())
    wanted = min(view.needed, sum(fleet.total for fleet in target.values()))
    spare = present - wanted
    orders: list[FleetOrder] = []
    for zone in reversed(_by_price(view)):
        fleet, goal = view.fleets[zone], target[zone]
        is_blocked = fleet.total >= view.bounds.max_per_zone and fleet.cheap < goal.cheap
        for is_cheap, count, kept in (
            (False, fleet.regular, goal.regular),
            (True, fleet.cheap, goal.cheap),
        ):
            allowed = max(spare, int(is_blocked and not orders and not is_cheap))
            released = max(0, min(count - kept, allowed))
            if released:
                spare -= released
                orders.append(FleetOrder(view.service, zone, count - released, is_cheap))
    return orders


def _by_price(view: SizingView) -> list[str]:
    """Return the zones, the cheapest first."""
    prices = view.bounds.zone_prices
    return sorted(view.fleets, key=lambda zone: (prices.get(zone, 1.0), zone))


class DemandPeak:
    """Follows a demand upwards at once, and downwards only after it stayed low."""

    def __init__(self) -> None:
        self._samples: list[tuple[float, int]] = []

    def note(self, needed: int, now: float) -> int:
        """Return the highest need of the last while."""
        self._samples = [each for each in self._samples if now - each[0] < SHRINK_AFTER_S]
        self._samples.append((now, needed))
        return max(each for _, each in self._samples)


def count_fleets(zones: Iterable[str], present: Iterable[tuple[str, bool]]) -> dict[str, ZoneFleet]:
    """Return the endpoints by zone.

    :param present: zone of each endpoint that stays, and whether it is cheap.
    """
    counted = Counter(present)
    named = set(zones) | {zone for zone, _ in counted}
    return {
        zone: ZoneFleet(counted[zone, False], counted[zone, True])  # noqa: FBT003
        for zone in sorted(named)
    }
