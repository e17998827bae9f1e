"""Decide which share of its requests each zone sends to which other zone."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from shallotmux.overflow._messages import OverflowShare

#: Age of figures from which nothing is sent to or from their zone.
MAX_AGE_S = 3.0

#: Price of traffic between zones where none is set, in milliseconds for each kilobyte.
DEFAULT_PRICE = 1.0

#: Time of a request and its response between two zones and back.
ROUND_TRIP_MS = 1.8

#: Utilisation from which the expected time rises in a straight line, so that it stays finite and
#: still tells apart zones that are overloaded to a different degree.
LINEAR_FROM = 0.95

#: Part of its capacity up to which a zone takes work of others; the rest takes up bursts of its own.
ROOM_UTILISATION = 0.8

#: Part of a zone's demand that is moved at a time while shares are calculated.
UNIT = 0.02

#: What the first unit must save beyond its cost, relative to the cost, for a share to begin. Below half of
#: that, the share ends.
BEGIN_MARGIN = 1.0

#: Largest change of a share in one decision.
MAX_STEP = 0.1

#: Difference to the calculated share below which it stays. The demand of a zone that is measured over
#: seconds varies by some percent.
MIN_CHANGE = 0.05

#: Part of a zone's capacity by which shares in force may exceed its room, before they are cut at once.
ROOM_SLACK = 0.05

#: Zones from and to.
Pair = tuple[str, str]


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """Load of a service in one zone.

    :param demand: work per second that the callers of the zone ask for, in seconds that a slot is
        occupied, wherever it is done.
    :param capacity: work per second that its endpoints can do, which is the number of their slots.
    :param service_ms: expected time of a request without waiting.
    :param kilobytes: size of a usual request and its response.
    :param age_s: age of the figures.
    :param is_cut_off: whether its instances do not reach the service.
    """

    zone: str
    service: str
    demand: float
    capacity: float
    service_ms: float
    kilobytes: float = 0.0
    age_s: float = 0.0
    is_cut_off: bool = False

    @property
    def is_usable(self) -> bool:
        """Return whether requests may be sent to and from the zone."""
        return self.age_s <= MAX_AGE_S and not self.is_cut_off

    @property
    def room(self) -> float:
        """Return the work per second that it takes from other zones."""
        return max(0.0, ROOM_UTILISATION * self.capacity - self.demand)

    def time_ms(self, added: float = 0.0) -> float:
        """Return the expected time of a request, by an approximation for queues of several servers.

        :param added: work per second beside its own demand; negative if it sends some away.
        """
        if self.capacity <= 0:
            return math.inf
        utilisation = max(0.0, self.demand + added) / self.capacity
        if utilisation <= LINEAR_FROM:
            return self.service_ms * (1 + _wait_factor(utilisation, self.capacity))
        slope = LINEAR_FROM / (1 - LINEAR_FROM) ** 2 / self.capacity
        wait = _wait_factor(LINEAR_FROM, self.capacity) + slope * (utilisation - LINEAR_FROM)
        return self.service_ms * (1 + wait)


def plan_overflow(
    zones: Sequence[ZoneLoad],
    price: float,
    before: Iterable[OverflowShare] = (),
    max_step: float = MAX_STEP,
) -> tuple[OverflowShare, ...]:
    """Return the shares of all zones with usable figures, the part that stays included.

    :param price: milliseconds that sending one kilobyte to another zone must save.
    :param before: shares of the decision before, which the new ones differ from by bounded steps.
    :param max_step: largest change of a share.
    """
    loads: dict[str, list[ZoneLoad]] = defaultdict(list)
    for load in zones:
        if load.is_usable:
            loads[load.service].append(load)
    known: dict[str, dict[Pair, float]] = defaultdict(dict)
    for share in before:
        known[share.service][share.from_zone, share.to_zone] = share.share
    shares: list[OverflowShare] = []
    for service, found in sorted(loads.items()):
        by_zone = {each.zone: each for each in sorted(found, key=_zone_of)}
        wanted = _limit_to_room(by_zone, _fill(by_zone, price))
        pairs = {
            pair: _step(
                known[service].get(pair, 0.0),
                wanted.get(pair, 0.0),
                _margin(by_zone, price, pair),
                max_step,
            )
            for pair in sorted(wanted.keys() | known[service].keys())
            if pair[0] != pair[1] and by_zone.keys() >= set(pair)
        }
        shares.extend(_build_shares(service, by_zone, _limit_to_room(by_zone, pairs, ROOM_SLACK)))
    return tuple(shares)


def cost_ms(price: float, kilobytes: float) -> float:
    """Return the time that sending a request to another zone must save.

    :param price: milliseconds for each kilobyte.
    """
    return price * kilobytes + ROUND_TRIP_MS


def _zone_of(load: ZoneLoad) -> str:
    return load.zone


def _wait_factor(utilisation: float, servers: float) -> float:
    """Return the wait as a multiple of the service time (Sakasegawa's approximation)."""
    power = math.sqrt(2 * (max(1.0, servers) + 1)) - 1
    return float(utilisation**power / (max(1.0, servers) * (1 - utilisation)))


def _fill(loads: Mapping[str, ZoneLoad], price: float) -> dict[Pair, float]:
    """Return the shares at which moving one more unit does not pay, whatever the room."""
    added = dict.fromkeys(loads, 0.0)
    shares: dict[Pair, float] = defaultdict(float)
    targets = [each for each in loads.values() if each.room > 0]
    sources = [each for each in loads.values() if each.demand > 0]
    # Each source moves its demand once at most, in units.
    for _ in range(math.ceil(len(sources) / UNIT)):
        best = max(
            (
                (_gain_ms(source, target, price, added), source.zone, target.zone)
                for source in sources
                for target in targets
                if _may_move(source, target, added)
            ),
            default=None,
        )
        if best is None or best[0] <= 0:
            break
        _, from_zone, to_zone = best
        shares[from_zone, to_zone] += UNIT
        added[from_zone] -= UNIT * loads[from_zone].demand
        added[to_zone] += UNIT * loads[from_zone].demand
    return shares


def _may_move(source: ZoneLoad, target: ZoneLoad, added: Mapping[str, float]) -> bool:
    """Return whether a unit may move: no zone both sends and receives, or sends more than it has."""
    is_left = source.demand + added[source.zone] >= UNIT * source.demand / 2
    is_one_way = added[source.zone] <= 0 <= added[target.zone]
    return source.zone != target.zone and is_left and is_one_way


def _gain_ms(source: ZoneLoad, target: ZoneLoad, price: float, added: Mapping[str, float]) -> float:
    """Return what the next unit saves beyond its cost."""
    here = source.time_ms(added[source.zone])
    there = target.time_ms(added[target.zone] + UNIT * source.demand)
    return here - there - cost_ms(price, source.kilobytes)


def _margin(loads: Mapping[str, ZoneLoad], price: float, pair: Pair) -> float:
    """Return what the first unit saves beyond its cost, relative to the cost."""
    source, target = loads[pair[0]], loads[pair[1]]
    no_load = dict.fromkeys(pair, 0.0)
    return _gain_ms(source, target, price, no_load) / cost_ms(price, source.kilobytes)


def _step(share: float, target: float, margin: float, max_step: float) -> float:
    if not share and margin < BEGIN_MARGIN:
        return 0.0
    wanted = 0.0 if margin < BEGIN_MARGIN / 2 else target
    # A share of which nothing is wanted must not stay for being small.
    if abs(wanted - share) < MIN_CHANGE and (wanted or not share):
        return share
    return min(max(wanted, share - max_step), share + max_step)


def _limit_to_room(
    loads: Mapping[str, ZoneLoad], wanted: Mapping[Pair, float], slack: float = 0.0
) -> dict[Pair, float]:
    """Return shares within the room of the targets, which all senders get the same part of.

    :param slack: part of the capacity by which the room may be exceeded.
    """
    work: dict[str, float] = defaultdict(float)
    sent: dict[str, float] = defaultdict(float)
    for (from_zone, to_zone), share in wanted.items():
        work[to_zone] += share * loads[from_zone].demand
        sent[from_zone] += share
    parts = {zone: _accepted_part(loads[zone], offered, slack) for zone, offered in work.items()}
    return {pair: wanted[pair] * parts[pair[1]] / max(1.0, sent[pair[0]]) for pair in wanted}


def _accepted_part(load: ZoneLoad, offered: float, slack: float) -> float:
    is_within = offered <= load.room + slack * load.capacity
    return 1.0 if is_within else load.room / offered


def _build_shares(
    service: str, loads: Mapping[str, ZoneLoad], pairs: Mapping[Pair, float]
) -> list[OverflowShare]:
    shares: list[OverflowShare] = []
    for zone in loads:
        sent = {to_zone: share for (source, to_zone), share in pairs.items() if source == zone}
        shares.append(OverflowShare(service, zone, zone, max(0.0, 1 - sum(sent.values()))))
        shares.extend(
            OverflowShare(service, zone, to_zone, share)
            for to_zone, share in sorted(sent.items())
            if share > 0
        )
    return shares
