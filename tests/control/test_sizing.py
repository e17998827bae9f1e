"""Tests of the numbers of endpoints and the roles of engines."""

from __future__ import annotations

from random import Random

import pytest

from shallotmux.control import FleetOrder
from shallotmux.control._role_plan import plan_role_change
from shallotmux.control._sizing import (
    INITIAL_PREFILL_TOKENS_PER_S,
    DemandPeak,
    FleetDemand,
    SizingView,
    ZoneFleet,
    count_decode_engines,
    count_fleets,
    count_missing_engines,
    count_needed_engines,
    plan_sizes,
    sum_demands,
)
from shallotmux.fleet import EngineRole, ListedEndpoint, ServiceDemand
from shallotmux.routes import FleetBounds

PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25}
BOUNDS = FleetBounds(1, 3, 4.0, 0.15, PRICES)


def view(needed: int, fleets: dict[str, ZoneFleet], *unavailable: str) -> SizingView:
    """Return a view of a service; cheap endpoints are unavailable in some zones."""
    return SizingView('llm', BOUNDS, needed, fleets, frozenset(unavailable))


def apply(fleets: dict[str, ZoneFleet], orders: tuple[FleetOrder, ...]) -> dict[str, ZoneFleet]:
    """Return the fleets after all orders were carried out."""
    after = dict(fleets)
    for order in orders:
        kept = after[order.zone]
        after[order.zone] = (
            ZoneFleet(kept.regular, order.count)
            if order.is_cheap
            else ZoneFleet(order.count, kept.cheap)
        )
    return after


def run_until_stable(
    needed: int, fleets: dict[str, ZoneFleet], *unavailable: str
) -> dict[str, ZoneFleet]:
    """Return the fleets once no more orders follow; fails if they do not converge."""
    for _ in range(8):
        orders = plan_sizes(view(needed, fleets, *unavailable))
        if not orders:
            return fleets
        fleets = apply(fleets, orders)
    raise AssertionError(f'orders did not converge in 8 rounds: {fleets}')


START = {'a': ZoneFleet(2), 'b': ZoneFleet(2), 'c': ZoneFleet(2)}


def test_cheap_endpoints_serve_the_load() -> None:
    """Guards against a fleet of regular endpoints only, and orders that never converge."""
    fleets = run_until_stable(4, START)
    assert sum(fleet.cheap for fleet in fleets.values()) >= 4
    assert sum(fleet.regular for fleet in fleets.values()) <= 2


def test_loss_of_one_zone_leaves_enough() -> None:
    """Guards against too few endpoints after the reclaim of one zone."""
    fleets = run_until_stable(4, START)
    for lost in fleets:
        left = sum(fleet.total for zone, fleet in fleets.items() if zone != lost)
        assert left >= 4


def test_regular_endpoints_are_kept_until_cheap_ones_are_ready() -> None:
    """Guards against endpoints that are released before their replacements serve."""
    orders = plan_sizes(view(6, START))
    assert all(order.is_cheap for order in orders)


def test_bounds_apply_to_both_kinds_together() -> None:
    """Guards against orders that the platform refuses, and zones without any endpoint."""
    for needed in (1, 4, 9, 40):
        totals = {fleet.total for fleet in run_until_stable(needed, START).values()}
        assert totals <= {1, 2, 3}


@pytest.mark.parametrize('maximum', (0, 1, 2))
def test_no_order_is_below_zero_or_above_the_maximum(maximum: int) -> None:
    """Guards against orders that the platform refuses for ever, at the smallest maximum."""
    bounds = FleetBounds(0, maximum, 4.0, 0.15, PRICES)
    fleets = {**START, 'a': ZoneFleet(1, 1)}
    orders = plan_sizes(SizingView('llm', bounds, 0, fleets))
    assert orders
    for order in orders:
        fleet = fleets[order.zone]
        present = fleet.cheap if order.is_cheap else fleet.regular
        assert 0 <= order.count <= max(maximum, present)


def test_each_order_keeps_the_bounds_of_its_zone() -> None:
    """Guards against orders that the platform refuses, as others of the round were refused, too."""
    random = Random(1)
    for _ in range(2000):
        fleets = {zone: ZoneFleet(random.randint(0, 2), random.randint(0, 1)) for zone in PRICES}
        absent = [zone for zone in PRICES if random.randrange(4) == 0]
        for order in plan_sizes(view(random.randint(0, 9), fleets, *absent)):
            fleet = fleets[order.zone]
            other = fleet.regular if order.is_cheap else fleet.cheap
            present = fleet.total - other
            total = order.count + other
            if order.count > present:
                assert total <= BOUNDS.max_per_zone, (fleets, order)
            else:
                assert total >= min(BOUNDS.min_per_zone, fleet.total), (fleets, order)


def test_nothing_more_is_ordered_in_a_zone_that_the_document_does_not_name() -> None:
    """Guards against a need that is never met, since it counts on a zone without orders."""
    fleets = {'a': ZoneFleet(1), 'b': ZoneFleet(1), 'c': ZoneFleet(1), 'removed': ZoneFleet(1)}
    for needed in (1, 4, 6, 9):
        settled = run_until_stable(needed, fleets)
        assert settled['removed'].total <= 1
        named = sum(fleet.total for zone, fleet in settled.items() if zone in PRICES)
        assert named >= needed


def test_regular_endpoints_replace_unavailable_cheap_ones() -> None:
    """Guards against a service that waits until cheap endpoints are available again."""
    fleets = {'a': ZoneFleet(0), 'b': ZoneFleet(1, 1), 'c': ZoneFleet(0, 1)}
    settled = run_until_stable(7, fleets, 'a', 'c')
    assert sum(fleet.total for fleet in settled.values()) >= 7


def test_peak_falls_after_a_delay() -> None:
    """Guards against a fleet that is scaled down between bursts."""
    peak = DemandPeak()
    assert peak.update(9, 100) == 9
    assert peak.update(4, 110) == 9
    assert peak.update(4, 121) == 4


def test_needed_engines_grow_with_demand() -> None:
    """Guards against a size that ignores demand, and fleets without engines of a role."""
    assert count_needed_engines(FleetDemand(0, 50_000), 64) == 4
    low = count_needed_engines(FleetDemand(75_000, 50_000), 64)
    assert low > 4
    assert count_needed_engines(FleetDemand(150_000, 50_000), 64) > low


@pytest.mark.parametrize('factor', [0.5, 6])
def test_needed_engines_follow_the_measured_speed(factor: float) -> None:
    """Guards against a fleet that is sized for the engines of another deployment."""
    usual = count_needed_engines(FleetDemand(600_000, 50_000), 64)
    measured = sum_demands(
        ServiceDemand('llm', 200_000, factor * 50_000, in_flight) for in_flight in (1, 2, 3)
    )
    needed = count_needed_engines(measured, 64)
    assert needed == pytest.approx(usual / factor, rel=0.15)


def test_speed_is_assumed_only_until_it_is_measured() -> None:
    """Guards against instances without measurements that outweigh those with some."""
    demands = (ServiceDemand('llm', 900, 0.0), ServiceDemand('llm', 100, 300_000.0))
    assert sum_demands(demands).prefill_tokens_per_s == 300_000
    assert sum_demands(demands[:1]).prefill_tokens_per_s == INITIAL_PREFILL_TOKENS_PER_S


def test_slots_bind_where_prefill_does_not() -> None:
    """Guards against engines with few slots that are full although prefill is fast."""
    demand = FleetDemand(100_000, 300_000, in_flight=120)
    assert count_needed_engines(demand, 64) == 4
    assert count_needed_engines(demand, 16) == 15
    for engines in range(2, 20):
        assert 1 <= count_decode_engines(engines) < engines


def test_fleets_are_counted_by_kind() -> None:
    """Guards against zones without endpoints that are left out."""
    counted = count_fleets(('a', 'b'), (('a', True), ('a', False), ('c', True)))
    assert counted == {'a': ZoneFleet(1, 1), 'b': ZoneFleet(), 'c': ZoneFleet(0, 1)}


def make_engine(
    name: str, zone: str, role: EngineRole, *, is_cheap: bool = False
) -> ListedEndpoint:
    """Return an engine."""
    return ListedEndpoint(name, 'llm', '10.0.0.1:1', zone, 64, role=role, is_cheap=is_cheap)


def test_surplus_decode_engine_changes_to_prefill() -> None:
    """Guards against prompts that wait for prefill while decode engines are idle."""
    engines = [make_engine(f'd-{number}', 'a', EngineRole.DECODE) for number in range(5)]
    change = plan_role_change([*engines, make_engine('p', 'b', EngineRole.PREFILL)])
    assert change is not None
    assert change.role is EngineRole.PREFILL


def test_missing_decode_engine_is_added_in_another_zone() -> None:
    """Guards against a fleet without decode engines, or with all of them in one zone."""
    engines = [
        make_engine('d', 'a', EngineRole.DECODE),
        make_engine('p-1', 'a', EngineRole.PREFILL),
        make_engine('p-2', 'b', EngineRole.PREFILL, is_cheap=True),
        make_engine('p-3', 'b', EngineRole.PREFILL),
    ]
    change = plan_role_change(engines)
    assert change is not None
    assert (change.endpoint.identity, change.role) == ('p-3', EngineRole.DECODE)


def test_loss_of_two_decode_engines_leaves_others() -> None:
    """Guards against too few decode engines to resume streams after two of them are lost."""
    assert count_decode_engines(10) >= 4


def test_cheap_endpoints_replace_all_but_one_regular() -> None:
    """Guards against regular endpoints that are kept although there are enough cheap ones."""
    fleets = run_until_stable(4, START)
    assert sum(fleet.regular for fleet in fleets.values()) == 1


def test_balanced_roles_are_not_changed() -> None:
    """Guards against role changes with each endpoint that comes or goes."""
    engines = [make_engine(f'd-{number}', 'a', EngineRole.DECODE) for number in range(3)]
    engines += [make_engine(f'p-{number}', 'a', EngineRole.PREFILL) for number in range(5)]
    assert plan_role_change(engines) is None
    assert plan_role_change(engines[:1]) is None


def test_engines_with_a_limit_are_replaced_as_far_as_they_take_less() -> None:
    """Guards against a fleet that is too small while some engines take few requests."""
    demand = FleetDemand(10_000, 50_000, 0, 30.0)
    assert count_missing_engines(demand, 6, ()) == 0
    assert count_missing_engines(demand, 6, (1.0,)) == 1
    assert count_missing_engines(demand, 6, (5.0, 5.0)) == 1
    assert count_missing_engines(demand, 6, (1.0, 1.0)) == 2
    assert count_missing_engines(demand, 6, (50.0, 10.0)) == 0
    assert count_missing_engines(FleetDemand(), 0, (1.0,)) == 0
