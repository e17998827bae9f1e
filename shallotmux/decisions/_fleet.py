"""Decide which endpoints to order and to release."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from shallotmux.world import Defaults


@dataclass(frozen=True, slots=True)
class FleetPolicy:
    """Parameters of the fleet planner.

    :param lead_s: time from the order of an endpoint until it serves requests.
    :param hold_s: time for which the demand must stay low before a release.
    :param release_pause_s: minimum time between two releases.
    :param min_target_utilisation: target utilisation when spend has no weight.
    :param max_target_utilisation: target utilisation when only spend has weight.
    :param max_utilisation_after_loss: utilisation that the remaining endpoints may reach after all
        cheap endpoints of one zone are lost.
    :param min_endpoints: minimum number of endpoints.
    """

    lead_s: float = 60.0
    hold_s: float = 240.0
    release_pause_s: float = 30.0
    min_target_utilisation: float = 0.3
    max_target_utilisation: float = 0.6
    max_utilisation_after_loss: float = 0.9
    min_endpoints: int = 2


@dataclass(frozen=True, slots=True)
class FleetEndpoint:
    """An endpoint as seen by the planner.

    :param leaving: whether it is draining or has a reclaim notice.
    :param queued_s: seconds of work on the endpoint.
    """

    name: str
    zone: str
    cheap: bool
    leaving: bool = False
    queued_s: float = 0.0


@dataclass(frozen=True, slots=True)
class DemandSample:
    """Demand at one point in time, as the number of engines that it would fully utilise."""

    time_s: float
    engines: float


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """Endpoints, demand and limits at one point in time.

    :param demand: samples that cover at least the hold time, oldest first.
    :param limit: largest number of endpoints.
    :param unavailable: zones in which the platform currently has no cheap endpoints.
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


def target_utilisation(defaults: Defaults, policy: FleetPolicy) -> float:
    """Return the utilisation at which the configured weights balance spend and service."""
    service = defaults.weight_goodput + defaults.weight_worst_customer
    share = defaults.weight_spend / max(service + defaults.weight_spend, 1e-9)
    return policy.min_target_utilisation + share * (
        policy.max_target_utilisation - policy.min_target_utilisation
    )


def forecast_engines(demand: Sequence[DemandSample], lead_s: float) -> float:
    """Return the demand expected when an endpoint ordered now is in service.

    The mean over the last lead time is extrapolated by an increase over the lead time before it.
    """
    if not demand:
        return 0
    now = demand[-1].time_s
    recent = _mean(demand, now - lead_s, now)
    earlier = _mean(demand, now - 2 * lead_s, now - lead_s)
    return max(0, recent + max(0, recent - earlier) * 1.5)


def decide_fleet(snapshot: FleetSnapshot, policy: FleetPolicy | None = None) -> FleetDecision:
    """Order at once what the forecast requires; release only after the demand stayed low.

    Cheap endpoints are preferred as long as the others can absorb the loss of all cheap endpoints
    in one zone.
    """
    rules = policy or FleetPolicy()
    staying = [each for each in snapshot.endpoints if not each.leaving]
    forecast = forecast_engines(snapshot.demand, rules.lead_s)
    target = target_utilisation(snapshot.defaults, rules)
    needed = min(snapshot.limit, max(rules.min_endpoints, math.ceil(forecast / target)))
    figures = (('forecast', round(forecast, 3)), ('needed', needed), ('staying', len(staying)))
    if needed > len(staying):
        orders = _plan_orders(snapshot, staying, needed, forecast, rules)
        return FleetDecision(orders, '', 'forecast demand', figures)
    release = _plan_release(snapshot, staying, target, rules)
    reason = 'demand stayed low' if release else 'fleet fits the demand'
    return FleetDecision((), release, reason, figures)


def cheap_loss(endpoints: Sequence[FleetEndpoint]) -> int:
    """Return the largest number of cheap endpoints in one zone, which may be lost at once."""
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
    min_after_loss = math.ceil(forecast / rules.max_utilisation_after_loss)
    while len(fleet) < needed:
        counts = Counter(each.zone for each in fleet)
        cheap = Counter(each.zone for each in fleet if each.cheap)
        open_zones = [zone for zone in snapshot.zones if zone not in snapshot.unavailable]
        order = EndpointOrder(_least_populated(open_zones, cheap, counts), cheap=True)
        candidate = [*fleet, FleetEndpoint('', order.zone, cheap=True)]
        absorbed = needed - cheap_loss(candidate) >= max(min_after_loss, rules.min_endpoints - 1)
        if not order.zone or not absorbed:
            order = EndpointOrder(_least_populated(snapshot.zones, counts, cheap), cheap=False)
        fleet.append(FleetEndpoint('', order.zone, order.cheap))
        orders.append(order)
    return tuple(orders)


def _least_populated(zones: Sequence[str], first: Counter[str], second: Counter[str]) -> str:
    """Return the zone with the smallest counts, or an empty string if there are no zones."""
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
    needed = max(rules.min_endpoints, math.ceil(peak / target))
    if needed >= len(staying):
        return ''
    return _choose_release(staying, peak, rules)


def _by_queue(endpoint: FleetEndpoint) -> tuple[float, str]:
    return endpoint.queued_s, endpoint.name


def _choose_release(staying: list[FleetEndpoint], peak: float, rules: FleetPolicy) -> str:
    """Return a regular endpoint if the others can still absorb a reclaim, else a cheap one."""
    for cheap in (False, True):
        candidates = [each for each in staying if each.cheap is cheap]
        if not candidates:
            continue
        chosen = min(candidates, key=_by_queue)
        rest = [each for each in staying if each is not chosen]
        if cheap or len(rest) - cheap_loss(rest) >= peak / rules.max_utilisation_after_loss:
            return chosen.name
    return ''
