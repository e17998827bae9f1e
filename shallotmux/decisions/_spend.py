"""Decide which endpoints to order and to release."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from shallotmux.world import Defaults


@dataclass(frozen=True, slots=True)
class FleetPolicy:
    """Figures of the fleet planner.

    :param lead_s: seconds until an ordered endpoint serves.
    :param hold_s: time for which lower demand must last before a release.
    :param release_pause_s: least time between two releases.
    :param lowest_busy: target utilisation when spend has no weight.
    :param highest_busy: target utilisation when only spend has weight.
    :param absorbing_busy: utilisation that the rest may reach when one zone's cheap endpoints go.
    """

    lead_s: float = 60.0
    hold_s: float = 240.0
    release_pause_s: float = 30.0
    lowest_busy: float = 0.3
    highest_busy: float = 0.6
    absorbing_busy: float = 0.9
    floor: int = 2


@dataclass(frozen=True, slots=True)
class FleetEndpoint:
    """An endpoint as the planner sees it.

    :param leaving: whether it drains already or has a reclaim notice.
    """

    name: str
    zone: str
    cheap: bool
    leaving: bool = False
    queued_s: float = 0.0


@dataclass(frozen=True, slots=True)
class DemandSample:
    """Engines kept fully busy by the demand at a time."""

    time_s: float
    engines: float


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """Endpoints, demand and limits at a time.

    :param demand: samples of at least the hold time, oldest first.
    :param unavailable: zones in which the platform has no cheap endpoints now.
    """

    now: float
    zones: tuple[str, ...]
    endpoints: tuple[FleetEndpoint, ...]
    demand: Sequence[DemandSample]
    limit: int
    defaults: Defaults = field(default_factory=Defaults)
    unavailable: frozenset[str] = frozenset()
    last_release_s: float = -math.inf


@dataclass(frozen=True, slots=True)
class EndpointOrder:
    """An endpoint to order."""

    zone: str
    cheap: bool


@dataclass(frozen=True, slots=True)
class FleetDecision:
    """Endpoints to order, and one to drain and release."""

    orders: tuple[EndpointOrder, ...]
    release: str
    reason: str
    figures: tuple[tuple[str, float], ...]


def busy_target(defaults: Defaults, policy: FleetPolicy) -> float:
    """Return the utilisation at which a firm's weights balance spend and service."""
    service = defaults.weight_goodput + defaults.weight_worst_customer
    share = defaults.weight_spend / max(service + defaults.weight_spend, 1e-9)
    return policy.lowest_busy + share * (policy.highest_busy - policy.lowest_busy)


def forecast_engines(demand: Sequence[DemandSample], lead_s: float) -> float:
    """Return the demand expected when an endpoint ordered now serves.

    The mean of the last lead time is extended by its trend against the lead time before.
    """
    if not demand:
        return 0
    now = demand[-1].time_s
    recent = _mean(demand, now - lead_s, now)
    earlier = _mean(demand, now - 2 * lead_s, now - lead_s)
    return max(0, recent + max(0, recent - earlier) * 1.5)


def decide_fleet(snapshot: FleetSnapshot, policy: FleetPolicy | None = None) -> FleetDecision:
    """Order at once what the forecast needs; release only after the demand stayed low.

    Cheap endpoints are ordered first, as long as the rest absorbs the loss of those of one zone.
    """
    rules = policy or FleetPolicy()
    staying = [each for each in snapshot.endpoints if not each.leaving]
    forecast = forecast_engines(snapshot.demand, rules.lead_s)
    target = busy_target(snapshot.defaults, rules)
    needed = min(snapshot.limit, max(rules.floor, math.ceil(forecast / target)))
    figures = (('forecast', round(forecast, 3)), ('needed', needed), ('staying', len(staying)))
    if needed > len(staying):
        orders = _plan_orders(snapshot, staying, needed, forecast, rules)
        return FleetDecision(orders, '', 'forecast demand', figures)
    release = _plan_release(snapshot, staying, target, rules)
    reason = 'demand stayed low' if release else 'fleet fits the demand'
    return FleetDecision((), release, reason, figures)


def cheap_loss(endpoints: Sequence[FleetEndpoint]) -> int:
    """Return the endpoints lost when the cheap ones of the worst zone go at once."""
    counts = Counter(each.zone for each in endpoints if each.cheap)
    return max(counts.values(), default=0)


def _mean(demand: Sequence[DemandSample], start_s: float, end_s: float) -> float:
    within = [sample.engines for sample in demand if start_s < sample.time_s <= end_s]
    return sum(within) / len(within) if within else 0.0


def _plan_orders(
    snapshot: FleetSnapshot,
    staying: list[FleetEndpoint],
    needed: int,
    forecast: float,
    rules: FleetPolicy,
) -> tuple[EndpointOrder, ...]:
    fleet = list(staying)
    orders = []
    least = math.ceil(forecast / rules.absorbing_busy)
    while len(fleet) < needed:
        counts = Counter(each.zone for each in fleet)
        cheap = Counter(each.zone for each in fleet if each.cheap)
        open_zones = [zone for zone in snapshot.zones if zone not in snapshot.unavailable]
        order = EndpointOrder(_emptiest(open_zones, cheap, counts), cheap=True)
        trial = [*fleet, FleetEndpoint('', order.zone, cheap=True)]
        absorbed = needed - cheap_loss(trial) >= max(least, rules.floor - 1)
        if not order.zone or not absorbed:
            order = EndpointOrder(_emptiest(snapshot.zones, counts, cheap), cheap=False)
        fleet.append(FleetEndpoint('', order.zone, order.cheap))
        orders.append(order)
    return tuple(orders)


def _emptiest(zones: Sequence[str], first: Counter[str], second: Counter[str]) -> str:
    """Return the zone with the smallest counts, or an empty name without any zone."""
    ranked = [(first[zone], second[zone], zone) for zone in zones]
    return min(ranked)[2] if ranked else ''


def _plan_release(
    snapshot: FleetSnapshot, staying: list[FleetEndpoint], target: float, rules: FleetPolicy
) -> str:
    start = snapshot.now - rules.hold_s
    if not snapshot.demand or snapshot.demand[0].time_s > start:
        return ''
    if snapshot.now - snapshot.last_release_s < rules.release_pause_s:
        return ''
    peak = max(
        _mean(snapshot.demand, start + part * rules.lead_s, start + (part + 1) * rules.lead_s)
        for part in range(max(1, int(rules.hold_s / rules.lead_s)))
    )
    needed = max(rules.floor, math.ceil(peak / target))
    if needed >= len(staying):
        return ''
    return _choose_release(staying, peak, rules)


def _by_queue(endpoint: FleetEndpoint) -> tuple[float, str]:
    return endpoint.queued_s, endpoint.name


def _choose_release(staying: list[FleetEndpoint], peak: float, rules: FleetPolicy) -> str:
    """Return a regular endpoint if the rest still absorbs a reclaim, else a cheap one."""
    for cheap in (False, True):
        kind = [each for each in staying if each.cheap is cheap]
        if not kind:
            continue
        chosen = min(kind, key=_by_queue)
        rest = [each for each in staying if each is not chosen]
        if cheap or len(rest) - cheap_loss(rest) >= peak / rules.absorbing_busy:
            return chosen.name
    return ''
