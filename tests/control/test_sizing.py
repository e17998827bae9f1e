"""Tests of the number of endpoints and of the roles of engines."""

from __future__ import annotations

from shallotmux.control import FleetOrder
from shallotmux.control._role_plan import plan_role_change
from shallotmux.control._sizing import (
    DemandPeak,
    SizingView,
    ZoneFleet,
    count_fleets,
    count_generators,
    count_needed,
    plan_sizes,
)
from shallotmux.fleet import EngineRole, ListedEndpoint
from shallotmux.routes import FleetBounds

PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25}
BOUNDS = FleetBounds(1, 3, 4.0, 0.15, PRICES)


def view(needed: int, fleets: dict[str, ZoneFleet], *dry: str) -> SizingView:
    """Return a view of three zones."""
    return SizingView('llm', BOUNDS, needed, fleets, frozenset(dry))


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


def settle(needed: int, fleets: dict[str, ZoneFleet], *dry: str) -> dict[str, ZoneFleet]:
    """Return the fleets after the orders of several rounds; they must come to rest."""
    for _ in range(8):
        orders = plan_sizes(view(needed, fleets, *dry))
        if not orders:
            return fleets
        fleets = apply(fleets, orders)
    raise AssertionError(f'orders without end: {fleets}')


START = {'a': ZoneFleet(2), 'b': ZoneFleet(2), 'c': ZoneFleet(2)}


def test_cheap_endpoints_carry_the_load() -> None:
    """Guards against a fleet that is paid for in full, and orders that never come to rest."""
    fleets = settle(4, START)
    assert sum(fleet.cheap for fleet in fleets.values()) >= 4
    assert sum(fleet.regular for fleet in fleets.values()) <= 2


def test_loss_of_one_zone_leaves_enough() -> None:
    """Guards against a reclaim of one zone that takes what the load needs."""
    fleets = settle(4, START)
    for lost in fleets:
        left = sum(fleet.total for zone, fleet in fleets.items() if zone != lost)
        assert left >= 4


def test_regular_endpoints_stay_until_cheap_ones_are_there() -> None:
    """Guards against a fleet that shrinks before its replacement serves."""
    orders = plan_sizes(view(6, START))
    assert all(order.is_cheap for order in orders)


def test_bounds_hold_for_both_kinds_together() -> None:
    """Guards against orders that the platform refuses, and zones without any endpoint."""
    for needed in (1, 4, 9, 40):
        totals = {fleet.total for fleet in settle(needed, START).values()}
        assert totals <= {1, 2, 3}


def test_regular_endpoints_replace_cheap_ones_that_are_not_to_be_had() -> None:
    """Guards against a service that waits for a reclaimed zone to be open again."""
    fleets = {'a': ZoneFleet(0), 'b': ZoneFleet(1, 1), 'c': ZoneFleet(0, 1)}
    settled = settle(7, fleets, 'a', 'c')
    assert sum(fleet.total for fleet in settled.values()) >= 7


def test_demand_falls_slowly() -> None:
    """Guards against a fleet that follows each lull between bursts."""
    peak = DemandPeak()
    assert peak.note(9, 100) == 9
    assert peak.note(4, 110) == 9
    assert peak.note(4, 121) == 4


def test_need_follows_the_tokens() -> None:
    """Guards against a need that ignores the demand, and fleets without either role."""
    assert count_needed(0, 50_000) == 4
    assert count_needed(75_000, 50_000) > 4
    assert count_needed(150_000, 50_000) > count_needed(75_000, 50_000)
    for engines in range(2, 20):
        assert 1 <= count_generators(engines) < engines


def test_fleets_are_counted_by_kind() -> None:
    """Guards against zones without endpoints that are forgotten."""
    counted = count_fleets(('a', 'b'), (('a', True), ('a', False), ('c', True)))
    assert counted == {'a': ZoneFleet(1, 1), 'b': ZoneFleet(), 'c': ZoneFleet(0, 1)}


def engine(name: str, zone: str, role: EngineRole, *, is_cheap: bool = False) -> ListedEndpoint:
    """Return an engine."""
    return ListedEndpoint(name, 'llm', '10.0.0.1:1', zone, 64, role=role, is_cheap=is_cheap)


def test_surplus_generators_read() -> None:
    """Guards against prompts that wait while most engines generate few tokens."""
    engines = [engine(f'd-{number}', 'a', EngineRole.DECODE) for number in range(5)]
    change = plan_role_change([*engines, engine('p', 'b', EngineRole.PREFILL)])
    assert change is not None
    assert change.role is EngineRole.PREFILL


def test_last_generators_are_replaced_in_another_zone() -> None:
    """Guards against requests that no engine can generate, or that all end with one zone."""
    engines = [
        engine('d', 'a', EngineRole.DECODE),
        engine('p-1', 'a', EngineRole.PREFILL),
        engine('p-2', 'b', EngineRole.PREFILL, is_cheap=True),
        engine('p-3', 'b', EngineRole.PREFILL),
    ]
    change = plan_role_change(engines)
    assert change is not None
    assert (change.endpoint.identity, change.role) == ('p-3', EngineRole.DECODE)


def test_loss_of_two_generators_leaves_others() -> None:
    """Guards against streams that end together: two of three were lost on hornknap-drift scale-2."""
    assert count_generators(10) >= 4


def test_cheap_endpoints_replace_all_but_one_regular() -> None:
    """Guards against regular endpoints that are paid for beside enough cheap ones."""
    fleets = settle(4, START)
    assert sum(fleet.regular for fleet in fleets.values()) == 1


def test_fitting_roles_stay() -> None:
    """Guards against changes with each endpoint that comes or goes."""
    engines = [engine(f'd-{number}', 'a', EngineRole.DECODE) for number in range(3)]
    engines += [engine(f'p-{number}', 'a', EngineRole.PREFILL) for number in range(5)]
    assert plan_role_change(engines) is None
    assert plan_role_change(engines[:1]) is None
