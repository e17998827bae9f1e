"""Tests of the fleet planner and of weight loads."""

from __future__ import annotations

from shallotmux.decisions import (
    DemandSample,
    FleetEndpoint,
    FleetPolicy,
    FleetSnapshot,
    WeightLoad,
    busy_target,
    cheap_loss,
    decide_fleet,
    keep_fleet,
    schedule_loads,
)
from shallotmux.world import Defaults

NONE: frozenset[str] = frozenset()
ZONES = ('a', 'b', 'c')
SPENDING = Defaults(weight_goodput=0, weight_worst_customer=0, weight_spend=1)


def snapshot(
    demand: float, endpoints: tuple[FleetEndpoint, ...], unavailable: frozenset[str] = NONE
) -> FleetSnapshot:
    """Return a snapshot with a steady demand."""
    samples = tuple(DemandSample(5.0 * step, demand) for step in range(100))
    return FleetSnapshot(500, ZONES, endpoints, samples, 12, SPENDING, unavailable)


def fleet(regular: int, cheap: int) -> tuple[FleetEndpoint, ...]:
    """Return endpoints spread over the zones."""
    return tuple(
        FleetEndpoint(f'e{place}', ZONES[place % 3], cheap=place >= regular)
        for place in range(regular + cheap)
    )


def test_demand_orders_endpoints_that_survive_a_reclaim() -> None:
    """Guards against so many cheap endpoints that one zone's reclaim overloads the rest."""
    decision = decide_fleet(snapshot(3.0, fleet(1, 0)))
    added = tuple(FleetEndpoint('', each.zone, each.cheap) for each in decision.orders)
    whole = fleet(1, 0) + added
    assert len(whole) == 5
    assert len(whole) - cheap_loss(whole) >= 3.0 / FleetPolicy().absorbing_busy
    assert any(each.cheap for each in added)


def test_zone_without_cheap_endpoints_is_avoided() -> None:
    """Guards against ordering cheap endpoints where they were just reclaimed."""
    decision = decide_fleet(snapshot(3.0, fleet(1, 0), frozenset(('b', 'c'))))
    assert {each.zone for each in decision.orders if each.cheap} <= {'a'}
    none = decide_fleet(snapshot(3.0, fleet(1, 0), frozenset(ZONES)))
    assert not any(each.cheap for each in none.orders)


def test_release_waits_for_lasting_low_demand() -> None:
    """Guards against releasing endpoints in a short lull, and against a fixed fleet."""
    low = snapshot(0.5, fleet(3, 2))
    assert decide_fleet(low).release
    assert not keep_fleet(low).release
    young = FleetSnapshot(30, ZONES, fleet(3, 2), low.demand[-6:], 12, SPENDING)
    assert not decide_fleet(young).release
    lull = tuple(DemandSample(5.0 * step, 0.5 if step > 80 else 2.8) for step in range(100))
    assert not decide_fleet(FleetSnapshot(500, ZONES, fleet(3, 2), lull, 12, SPENDING)).release


def test_leaving_endpoint_is_not_released_again() -> None:
    """Guards against draining two endpoints where one was meant."""
    endpoints = (*fleet(2, 0), FleetEndpoint('gone', 'a', cheap=False, leaving=True))
    assert not decide_fleet(snapshot(0.5, endpoints)).release


def test_weights_shift_the_target() -> None:
    """Guards against firms whose weightings have no effect."""
    buttons = Defaults(weight_goodput=2, weight_worst_customer=3, weight_spend=0.5)
    kockica = Defaults(weight_goodput=1, weight_worst_customer=0.5, weight_spend=3)
    policy = FleetPolicy()
    assert policy.lowest_busy < busy_target(buttons, policy) < busy_target(kockica, policy)


def test_most_urgent_model_loads_first_within_the_rate() -> None:
    """Guards against starts above the store's rate and against a waiting model without engine."""
    loads = (
        WeightLoad('busy', 'e1', 50, 4),
        WeightLoad('absent', 'e2', 3, 0),
        WeightLoad('short', 'e3', 40, 1),
    )
    plan = schedule_loads(loads, now=10, interval_s=5, next_free_s=12)
    assert [each.load.model for each in plan] == ['absent', 'short', 'busy']
    assert [each.start_s for each in plan] == [12, 17, 22]
