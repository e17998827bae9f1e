"""Tests of the fleet planner and of the loading of model weights."""

from __future__ import annotations

from shallotmux.decisions import (
    DemandSample,
    FleetEndpoint,
    FleetPolicy,
    FleetSnapshot,
    WeightLoad,
    cheap_loss,
    decide_fleet,
    keep_fleet,
    schedule_loads,
    target_utilisation,
)
from shallotmux.world import Defaults

NONE: frozenset[str] = frozenset()
ZONES = ('a', 'b', 'c')
SPEND_WEIGHTED = Defaults(weight_goodput=0, weight_worst_customer=0, weight_spend=1)


def snapshot(
    demand: float, endpoints: tuple[FleetEndpoint, ...], unavailable: frozenset[str] = NONE
) -> FleetSnapshot:
    """Return a snapshot with a steady demand."""
    samples = tuple(DemandSample(5.0 * step, demand) for step in range(100))
    return FleetSnapshot(500, ZONES, endpoints, samples, 12, SPEND_WEIGHTED, unavailable)


def fleet(regular: int, cheap: int) -> tuple[FleetEndpoint, ...]:
    """Return endpoints spread over the zones."""
    return tuple(
        FleetEndpoint(f'e{position}', ZONES[position % 3], cheap=position >= regular)
        for position in range(regular + cheap)
    )


def test_ordered_fleet_survives_a_reclaim_in_one_zone() -> None:
    """Guards against so many cheap endpoints that a reclaim in one zone overloads the rest."""
    decision = decide_fleet(snapshot(3.0, fleet(1, 0)))
    added = tuple(FleetEndpoint('', each.zone, each.cheap) for each in decision.orders)
    planned = fleet(1, 0) + added
    assert len(planned) == 5
    assert len(planned) - cheap_loss(planned) >= 3.0 / FleetPolicy().max_utilisation_after_loss
    assert any(each.cheap for each in added)


def test_zone_without_cheap_endpoints_is_avoided() -> None:
    """Guards against ordering cheap endpoints where they were just reclaimed."""
    decision = decide_fleet(snapshot(3.0, fleet(1, 0), frozenset(('b', 'c'))))
    assert {each.zone for each in decision.orders if each.cheap} <= {'a'}
    none = decide_fleet(snapshot(3.0, fleet(1, 0), frozenset(ZONES)))
    assert not any(each.cheap for each in none.orders)


def test_release_waits_for_lasting_low_demand() -> None:
    """Guards against a release during a short dip in demand, and against no release at all."""
    low = snapshot(0.5, fleet(3, 2))
    assert decide_fleet(low).release
    assert not keep_fleet(low).release
    new_pool = FleetSnapshot(30, ZONES, fleet(3, 2), low.demand[-6:], 12, SPEND_WEIGHTED)
    assert not decide_fleet(new_pool).release
    dip = tuple(DemandSample(5.0 * step, 0.5 if step > 80 else 2.8) for step in range(100))
    assert not decide_fleet(FleetSnapshot(500, ZONES, fleet(3, 2), dip, 12, SPEND_WEIGHTED)).release


def test_leaving_endpoint_is_not_released_again() -> None:
    """Guards against releasing a second endpoint while one is already leaving."""
    endpoints = (*fleet(2, 0), FleetEndpoint('gone', 'a', cheap=False, leaving=True))
    assert not decide_fleet(snapshot(0.5, endpoints)).release


def test_weights_shift_the_target_utilisation() -> None:
    """Guards against configured weights that have no effect."""
    service_weighted = Defaults(weight_goodput=2, weight_worst_customer=3, weight_spend=0.5)
    spend_weighted = Defaults(weight_goodput=1, weight_worst_customer=0.5, weight_spend=3)
    policy = FleetPolicy()
    assert (
        policy.min_target_utilisation
        < target_utilisation(service_weighted, policy)
        < target_utilisation(spend_weighted, policy)
    )


def test_most_urgent_model_loads_first_within_the_rate() -> None:
    """Guards against exceeding the store's rate, and against a model that no engine serves."""
    loads = (
        WeightLoad('busy', 'e1', 50, 4),
        WeightLoad('absent', 'e2', 3, 0),
        WeightLoad('short', 'e3', 40, 1),
    )
    plan = schedule_loads(loads, now=10, interval_s=5, next_free_s=12)
    assert [each.load.model for each in plan] == ['absent', 'short', 'busy']
    assert [each.start_s for each in plan] == [12, 17, 22]
