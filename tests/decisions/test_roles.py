"""Tests of the role controller."""

from __future__ import annotations

from random import Random

from shallotmux.decisions import (
    EngineRates,
    EngineStatus,
    RoleControllerState,
    RoleCounts,
    RoleOrder,
    RolePolicy,
    RoleSnapshot,
    WorkDemand,
    decide_role,
    keep_roles,
    utilisation,
)
from shallotmux.world import EngineRole

CALM = WorkDemand(8_000, 500)
ALL_MIXED = (EngineRole.MIXED,) * 6
PRESSED = WorkDemand(200_000, 500)


def snapshot(
    now: float,
    demand: WorkDemand,
    roles: tuple[EngineRole, ...] = ALL_MIXED,
    long: WorkDemand | None = None,
) -> RoleSnapshot:
    """Return a snapshot of engines with roles under a demand."""
    engines = tuple(EngineStatus(f'e{place}', role) for place, role in enumerate(roles))
    return RoleSnapshot(now, engines, demand, long or demand)


def test_pressure_of_prompts_changes_one_engine_at_a_time() -> None:
    """Guards against a controller that never acts, or that changes several engines at once."""
    first = decide_role(snapshot(100, PRESSED), RoleControllerState())
    assert first.order is not None
    assert first.order.role is not EngineRole.MIXED
    second = decide_role(snapshot(101, PRESSED), first.controller_state)
    assert second.order is None
    assert keep_roles(snapshot(100, PRESSED), RoleControllerState()).order is None


def test_calm_fleet_rests_in_mixed_roles() -> None:
    """Guards against roles that stay specialised without a need."""
    assert decide_role(snapshot(100, CALM), RoleControllerState()).order is None
    roles = (EngineRole.PREFILL, *(EngineRole.MIXED,) * 5)
    decision = decide_role(snapshot(100, CALM, roles), RoleControllerState())
    assert decision.order == RoleOrder('e0', EngineRole.MIXED, 100)


def test_dwell_and_short_peak_prevent_a_change() -> None:
    """Guards against a change for a peak that the long window does not show, or too soon."""
    controller_state = RoleControllerState(last_change_s=90)
    assert decide_role(snapshot(100, PRESSED), controller_state).reason == 'minimum dwell'
    falling = snapshot(100, CALM, long=PRESSED)
    assert decide_role(falling, RoleControllerState()).order is None


def test_lost_order_is_sent_again_unchanged() -> None:
    """Guards against conflicting orders after an order or its answer is lost."""
    first = decide_role(snapshot(100, PRESSED), RoleControllerState())
    again = decide_role(snapshot(131, CALM), first.controller_state)
    assert first.order is not None
    assert again.order is not None
    assert (again.order.endpoint, again.order.role) == (first.order.endpoint, first.order.role)


def test_refused_engine_is_left_alone_for_a_while() -> None:
    """Guards against sending the same refused order without end."""
    first = decide_role(snapshot(100, PRESSED), RoleControllerState())
    assert first.order is not None
    controller_state = first.controller_state.refuse(first.order.endpoint, 300)
    second = decide_role(snapshot(102, PRESSED), controller_state)
    assert second.order is not None
    assert second.order.endpoint != first.order.endpoint


def test_engine_that_crashed_in_mid_change_settles_the_order() -> None:
    """Guards against a controller that waits for an engine that is gone."""
    first = decide_role(snapshot(100, PRESSED), RoleControllerState())
    assert first.order is not None
    gone = snapshot(110, PRESSED, (EngineRole.MIXED,) * 5)
    rest = RoleSnapshot(
        gone.now,
        tuple(each for each in gone.engines if each.name != first.order.endpoint),
        gone.short,
        gone.long,
    )
    after = decide_role(rest, first.controller_state)
    assert after.controller_state.pending is None
    assert after.controller_state.last_change_s == 110


def test_floor_keeps_engines_for_both_phases() -> None:
    """Guards against a fleet that cannot prefill or cannot decode."""
    pressed = snapshot(100, PRESSED)
    assert decide_role(pressed, RoleControllerState()).order is not None
    assert decide_role(pressed, RoleControllerState(), RolePolicy(floor=6)).order is None


def test_noise_causes_no_change() -> None:
    """Guards against flapping on noise in the measured demand."""
    random, controller_state, orders = Random(7), RoleControllerState(), 0
    for step in range(1800):
        short = WorkDemand(30_000 * random.gauss(1, 0.3), 3000 * random.gauss(1, 0.3))
        decision = decide_role(
            snapshot(2.0 * step, short, long=WorkDemand(30_000, 3000)), controller_state
        )
        controller_state = decision.controller_state
        orders += decision.order is not None
    assert not orders


def test_utilisation_falls_with_engines_and_grows_with_demand() -> None:
    """Guards against a capacity estimate that rewards fewer engines."""
    rates, random = EngineRates(), Random(9)
    for _ in range(50):
        demand = WorkDemand(random.uniform(0, 90_000), random.uniform(0, 9000))
        counts = RoleCounts(random.randrange(3), random.randrange(3), random.randrange(1, 5))
        more = RoleCounts(counts.prefill, counts.decode, counts.mixed + 1)
        busy = utilisation(counts, demand, rates)
        assert utilisation(more, demand, rates) <= busy
        heavier = WorkDemand(demand.prefill_tokens_per_s * 1.5, demand.decode_tokens_per_s)
        assert utilisation(counts, heavier, rates) >= busy


def test_margin_weighs_gain_against_loss() -> None:
    """Guards against a change whose gain does not pay for the work lost."""
    costly = RolePolicy(change_s=10_000)
    assert decide_role(snapshot(100, PRESSED), RoleControllerState(), costly).order is None


def test_decode_engines_help_no_further_than_they_are_fed() -> None:
    """Guards against decode engines that take no stream, since no prefill engine feeds them."""
    rates, demand = EngineRates(), WorkDemand(50_000, 6000)
    mixed = utilisation(RoleCounts(mixed=6), demand, rates)
    assert utilisation(RoleCounts(decode=1, mixed=5), demand, rates) > mixed
