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

LOW_DEMAND = WorkDemand(8_000, 500)
ALL_MIXED = (EngineRole.MIXED,) * 6
HIGH_PREFILL_DEMAND = WorkDemand(200_000, 500)


def snapshot(
    now: float,
    demand: WorkDemand,
    roles: tuple[EngineRole, ...] = ALL_MIXED,
    long: WorkDemand | None = None,
) -> RoleSnapshot:
    """Return a snapshot of engines with roles under a demand."""
    engines = tuple(EngineStatus(f'e{position}', role) for position, role in enumerate(roles))
    return RoleSnapshot(now, engines, demand, long or demand)


def test_high_prefill_demand_changes_one_engine_at_a_time() -> None:
    """Guards against a controller that never acts, or changes several engines at once."""
    first = decide_role(snapshot(100, HIGH_PREFILL_DEMAND), RoleControllerState())
    assert first.order is not None
    assert first.order.role is not EngineRole.MIXED
    second = decide_role(snapshot(101, HIGH_PREFILL_DEMAND), first.controller_state)
    assert second.order is None
    assert keep_roles(snapshot(100, HIGH_PREFILL_DEMAND), RoleControllerState()).order is None


def test_engines_return_to_mixed_under_low_demand() -> None:
    """Guards against engines that stay specialised under low demand."""
    assert decide_role(snapshot(100, LOW_DEMAND), RoleControllerState()).order is None
    roles = (EngineRole.PREFILL, *(EngineRole.MIXED,) * 5)
    decision = decide_role(snapshot(100, LOW_DEMAND, roles), RoleControllerState())
    assert decision.order == RoleOrder('e0', EngineRole.MIXED, 100)


def test_no_change_within_the_dwell_time_or_after_a_peak() -> None:
    """Guards against a change too soon after the last one, or for a peak that is over."""
    controller_state = RoleControllerState(last_change_s=90)
    assert (
        decide_role(snapshot(100, HIGH_PREFILL_DEMAND), controller_state).reason == 'minimum dwell'
    )
    after_peak = snapshot(100, LOW_DEMAND, long=HIGH_PREFILL_DEMAND)
    assert decide_role(after_peak, RoleControllerState()).order is None


def test_lost_order_is_sent_again_unchanged() -> None:
    """Guards against conflicting orders after an order or its answer is lost."""
    first = decide_role(snapshot(100, HIGH_PREFILL_DEMAND), RoleControllerState())
    again = decide_role(snapshot(131, LOW_DEMAND), first.controller_state)
    assert first.order is not None
    assert again.order is not None
    assert (again.order.endpoint, again.order.role) == (first.order.endpoint, first.order.role)


def test_engine_that_refused_gets_no_order_for_a_while() -> None:
    """Guards against repeating a refused order indefinitely."""
    first = decide_role(snapshot(100, HIGH_PREFILL_DEMAND), RoleControllerState())
    assert first.order is not None
    controller_state = first.controller_state.with_refusal(first.order.endpoint, 300)
    second = decide_role(snapshot(102, HIGH_PREFILL_DEMAND), controller_state)
    assert second.order is not None
    assert second.order.endpoint != first.order.endpoint


def test_crash_during_a_change_settles_the_order() -> None:
    """Guards against a controller that waits for an engine that no longer exists."""
    first = decide_role(snapshot(100, HIGH_PREFILL_DEMAND), RoleControllerState())
    assert first.order is not None
    gone = snapshot(110, HIGH_PREFILL_DEMAND, (EngineRole.MIXED,) * 5)
    rest = RoleSnapshot(
        gone.now,
        tuple(each for each in gone.engines if each.name != first.order.endpoint),
        gone.short,
        gone.long,
    )
    after = decide_role(rest, first.controller_state)
    assert after.controller_state.pending is None
    assert after.controller_state.last_change_s == 110


def test_minimum_keeps_engines_for_prefill_and_decode() -> None:
    """Guards against a fleet that cannot prefill or cannot decode."""
    pressed = snapshot(100, HIGH_PREFILL_DEMAND)
    assert decide_role(pressed, RoleControllerState()).order is not None
    assert decide_role(pressed, RoleControllerState(), RolePolicy(min_engines=6)).order is None


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


def test_gain_must_exceed_the_work_lost() -> None:
    """Guards against a change whose gain does not make up for the work lost."""
    costly = RolePolicy(downtime_s=10_000)
    assert (
        decide_role(snapshot(100, HIGH_PREFILL_DEMAND), RoleControllerState(), costly).order is None
    )


def test_decode_engines_need_prefill_engines() -> None:
    """Guards against counting decode engines that no prefill engine passes streams to."""
    rates, demand = EngineRates(), WorkDemand(50_000, 6000)
    mixed = utilisation(RoleCounts(mixed=6), demand, rates)
    assert utilisation(RoleCounts(decode=1, mixed=5), demand, rates) > mixed
