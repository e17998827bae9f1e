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
    :param dry: zones in which no cheap endpoints are to be had at the moment.
    """

    service: str
    bounds: FleetBounds
    needed: int
    fleets: Mapping[str, ZoneFleet]
    dry: frozenset[str] = field(default_factory=frozenset)


def count_needed(tokens_per_s: float, read_tokens_per_s: float) -> int:
    """Return the engines that a demand needs, those that read and those that generate.

    :param tokens_per_s: prompt tokens that have to be read in a second.
    :param read_tokens_per_s: prompt tokens that one engine reads in a second.
    """
    readers = max(LEAST_READERS, math.ceil(tokens_per_s / read_tokens_per_s / BUSY_TARGET))
    return readers + max(LEAST_GENERATORS, math.ceil(GENERATORS_PER_READER * readers))


def count_generators(engines: int) -> int:
    """Return how many of some engines should generate; the others read prompts."""
    share = GENERATORS_PER_READER / (1 + GENERATORS_PER_READER)
    return min(max(LEAST_GENERATORS, math.ceil(share * engines)), max(1, engines - 1))


def plan_sizes(view: SizingView) -> tuple[FleetOrder, ...]:
    """Return the counts to have, for each zone and kind that must change.

    Cheap endpoints carry the load as long as the other zones can do so without those of any one
    zone, which may all be reclaimed at once. Regular ones stay until the cheap ones are there.
    """
    cheap = _cheap_counts(view)
    present = sum(fleet.cheap for fleet in view.fleets.values())
    reachable = present if view.dry else sum(cheap.values())
    kept = _regular_counts(view, cheap)
    missing = view.needed - reachable - sum(kept.values())
    regular = kept
    if missing > 0:
        regular = _fill_up(view, kept, missing)
    elif present + sum(kept.values()) < view.needed:
        # Cheap endpoints are on their way; the regular ones serve until they are there.
        regular = {}
    wanted = [
        FleetOrder(view.service, zone, count, is_cheap=True)
        for zone, count in cheap.items()
        if count != view.fleets[zone].cheap
    ]
    wanted.extend(
        FleetOrder(view.service, zone, count, is_cheap=False)
        for zone, count in regular.items()
        if count != view.fleets[zone].regular
    )
    return tuple(wanted)


def _cheap_counts(view: SizingView) -> dict[str, int]:
    if not view.bounds.cheap_price:
        return {}
    open_zones = sorted(view.fleets.keys() - view.dry)
    carriers = max(1, len(open_zones) - 1)
    each = math.ceil(view.needed / carriers)
    return {
        zone: max(0, min(each, view.bounds.most - view.fleets[zone].regular)) for zone in open_zones
    }


def _regular_counts(view: SizingView, cheap: Mapping[str, int]) -> dict[str, int]:
    """Return the regular endpoints to keep: one in each of the cheaper half of the zones.

    They go on serving when cheap endpoints are reclaimed in several zones at once.
    """
    by_price = _by_price(view)
    kept = frozenset(by_price[: math.ceil(len(by_price) / 2)])
    counts: dict[str, int] = {}
    for zone, fleet in view.fleets.items():
        least = view.bounds.least - cheap.get(zone, fleet.cheap)
        counts[zone] = max(1 if zone in kept else 0, least, 0)
    return counts


def _fill_up(view: SizingView, kept: Mapping[str, int], missing: int) -> dict[str, int]:
    """Return more regular endpoints, in the cheapest zones that have room."""
    counts = dict(kept)
    for zone in _by_price(view):
        room = view.bounds.most - view.fleets[zone].cheap - counts[zone]
        added = max(0, min(missing, room))
        counts[zone] += added
        missing -= added
    return counts


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
