"""Tests of role changes that are announced before they are ordered."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import pytest
import trio
import trio.testing

from shallotmux.control._duties import CONTROL_LOOP_S
from shallotmux.control._platform import DutyOutcome
from shallotmux.control._role_balancer import (
    CHECK_INTERVAL_S,
    REFUSAL_BACKOFF_S,
    WITHDRAWAL_PAUSE_S,
)
from shallotmux.fleet import EngineRole, ListedEndpoint
from shallotmux.plannedchanges import ORDER_DELAY_S, PlanState
from tests.control._planning_leader import PlanningLeader
from tests.plannedchanges._plans import CHANGE_S, make_change, make_engine
from tests.support.log_lines import capture_lines

#: Time from the start to the first announcement, and a moment more.
ANNOUNCED_S = CONTROL_LOOP_S + 0.01


def make_engines(decode: int, prefill: int) -> list[ListedEndpoint]:
    """Return engines of both roles."""
    roles = (EngineRole.PREFILL, EngineRole.DECODE)
    return [
        make_engine(number, roles[number <= decode]) for number in range(1, decode + prefill + 1)
    ]


def with_role(
    engines: Sequence[ListedEndpoint], identity: str, role: EngineRole
) -> list[ListedEndpoint]:
    """Return engines of which one has another role."""
    return [
        msgspec.structs.replace(each, role=role) if each.identity == identity else each
        for each in engines
    ]


async def run_for(leader: PlanningLeader, seconds: float) -> None:
    """Run the balancer of a leader; its state is kept."""
    with trio.move_on_after(seconds):
        await leader.balancer.run()


async def test_order_follows_its_announcement_after_a_fixed_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against orders of which entry instances have not heard, and against late ones."""
    leader = PlanningLeader(make_engines(3, 2))
    with capture_lines('shallotmux:planned-change') as lines:
        await run_for(leader, ANNOUNCED_S + ORDER_DELAY_S)
    announced_at, identity, state = leader.steps[0]
    assert state is PlanState.ANNOUNCED
    assert leader.orders == [(pytest.approx(announced_at + ORDER_DELAY_S), identity, 1)]
    assert [each['state'] for each in lines] == ['announced', 'sent', 'accepted']
    assert {each['why'] for each in lines} == {'3 decode engines, 2 wanted'}


async def test_order_is_sent_at_once_while_too_few_engines_can_answer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a service without decode engines that waits for an announcement to spread."""
    leader = PlanningLeader(make_engines(1, 4))
    await run_for(leader, ANNOUNCED_S + CHECK_INTERVAL_S)
    announced_at, identity, state = leader.steps[0]
    assert state is PlanState.ANNOUNCED
    assert [each for _, each, _ in leader.orders] == [identity]
    assert leader.orders[0][0] - announced_at <= CHECK_INTERVAL_S


@pytest.mark.parametrize(
    ('lost_s', 'token', 'end'),
    (
        (0, None, PlanState.WITHDRAWN),
        (0, 2, PlanState.LAPSED),
        (ORDER_DELAY_S - 0.1, None, PlanState.WITHDRAWN),
        (ORDER_DELAY_S - 0.1, 2, PlanState.WITHDRAWN),
    ),
)
async def test_order_is_not_sent_after_its_term(
    lost_s: float, token: int | None, end: PlanState, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against an order of a leader that lost its lease or term after the announcement."""
    leader = PlanningLeader(make_engines(3, 2))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leader.balancer.run)
        await trio.sleep(ANNOUNCED_S + lost_s)
        first = leader.steps[0][1]
        leader.token = token
        await trio.sleep(ORDER_DELAY_S + 0.1 - lost_s)
        nursery.cancel_scope.cancel()
    assert leader.states(first)[:2] == [PlanState.ANNOUNCED, end]
    assert not leader.orders


async def test_change_that_is_not_wanted_any_more_is_withdrawn(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an order that the fleet does not need, and against another engine at once."""
    leader = PlanningLeader(make_engines(3, 1))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leader.balancer.run)
        await trio.sleep(ANNOUNCED_S)
        planned = leader.steps[0][1]
        others = [each for each in leader.engines if each.identity != planned]
        lost = next(each for each in others if each.role is EngineRole.DECODE)
        leader.list_engines([each for each in leader.engines if each is not lost])
        await trio.sleep(CONTROL_LOOP_S)
        assert leader.states(planned) == [PlanState.ANNOUNCED, PlanState.WITHDRAWN]
        leader.list_engines([*leader.engines, lost])
        await trio.sleep(WITHDRAWAL_PAUSE_S - CONTROL_LOOP_S)
        assert len(leader.steps) == 2
        nursery.cancel_scope.cancel()
    assert not leader.orders


async def test_engine_that_leaves_is_not_ordered(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an order to an engine that left between the last round and the order."""
    leader = PlanningLeader(make_engines(6, 0))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leader.balancer.run)
        await trio.sleep(ANNOUNCED_S + ORDER_DELAY_S - 0.1)
        planned = leader.steps[0][1]
        leader.list_engines([each for each in leader.engines if each.identity != planned])
        await trio.sleep(0.2)
        nursery.cancel_scope.cancel()
    assert planned not in {each for _, each, _ in leader.orders}
    assert leader.states(planned)[-1] is PlanState.WITHDRAWN


async def test_last_working_engine_of_a_role_is_not_ordered(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a role without engines, as others left after the announcement."""
    leader = PlanningLeader(make_engines(6, 0))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leader.balancer.run)
        await trio.sleep(ANNOUNCED_S + ORDER_DELAY_S - 0.1)
        planned = leader.steps[0][1]
        leader.list_engines([each for each in leader.engines if each.identity == planned])
        await trio.sleep(0.2)
        nursery.cancel_scope.cancel()
    assert leader.states(planned) == [PlanState.ANNOUNCED, PlanState.WITHDRAWN]
    assert not leader.orders


async def test_order_without_an_answer_is_not_repeated(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a second order to, or further changes beside, engines that may be changing."""
    leader = PlanningLeader(make_engines(9, 1), DutyOutcome.UNKNOWN)
    await run_for(leader, ANNOUNCED_S + ORDER_DELAY_S + 4)
    assert len(leader.orders) == 2
    assert all(plan.state is PlanState.UNKNOWN for plan in leader.book.live('llm'))
    assert leader.most_live == 2


async def test_two_engines_of_a_service_change_at_a_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a service that loses many engines at once to a new target."""
    leader = PlanningLeader(make_engines(30, 0))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leader.balancer.run)
        for _ in range(40):
            await trio.sleep(0.5)
            now = trio.current_time()
            for ordered_at, identity, _ in leader.orders:
                if ordered_at <= now - CHANGE_S:
                    leader.list_engines(with_role(leader.engines, identity, EngineRole.PREFILL))
        nursery.cancel_scope.cancel()
    assert leader.most_live == 2
    done = [each for _, each, state in leader.steps if state is PlanState.DONE]
    assert len(done) >= 4


async def test_new_leader_waits_for_the_changes_of_the_former_one(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against more than two changes at a time, or none left of a role, after a new election."""
    leader = PlanningLeader(make_engines(6, 0))
    leader.token = 2
    running = make_change('ordered', term=1, remaining_s=3.8)
    leader.knowledge.plans.merge((running,), trio.current_time())
    await run_for(leader, 3.8)
    assert not leader.steps
    await run_for(leader, CONTROL_LOOP_S + ORDER_DELAY_S + 0.1)
    assert len(leader.orders) == 2


async def test_new_leader_replaces_lost_decode_engines_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a service without decode engines that waits for changes of the former leader."""
    leader = PlanningLeader(make_engines(1, 4))
    leader.token = 2
    running = make_change('ordered', term=1, remaining_s=3.8)
    leader.knowledge.plans.merge((running,), trio.current_time())
    await run_for(leader, ANNOUNCED_S + CHECK_INTERVAL_S)
    assert leader.orders
    assert leader.orders[0][1] != running.identity


async def test_new_leader_waits_for_a_former_change_of_another_service(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a plan whose term ends the ordered one of another service on every instance.

    That engine would get new work while it changes, and count as one that works in its role.
    """
    engines = make_engines(6, 0)
    changing = msgspec.structs.replace(engines[0], service='other')
    leader = PlanningLeader([changing, *engines[1:]])
    leader.token = 2
    running = make_change('ordered', term=1, remaining_s=3.8)
    assert running.identity == changing.identity
    leader.knowledge.plans.merge((running,), trio.current_time())
    await run_for(leader, 3.8)
    assert not leader.steps
    await run_for(leader, CONTROL_LOOP_S + ORDER_DELAY_S + 0.1)
    assert leader.orders


async def test_engine_that_was_passed_over_is_forgotten(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against memory that grows with each engine that refused an order and has gone since."""
    leader = PlanningLeader(make_engines(3, 2))
    leader.outcome = DutyOutcome.UNAVAILABLE
    await run_for(leader, ANNOUNCED_S + ORDER_DELAY_S + 0.1)
    refused = leader.orders[0][1]
    assert refused in leader.balancer._passed_over_until  # noqa: SLF001
    leader.list_engines([each for each in leader.engines if each.identity != refused])
    await run_for(leader, REFUSAL_BACKOFF_S + CONTROL_LOOP_S)
    assert refused not in leader.balancer._passed_over_until  # noqa: SLF001


async def test_new_leader_plans_anew(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a change that nobody makes, as its leader was lost before the order."""
    former = PlanningLeader(make_engines(3, 2))
    await run_for(former, ANNOUNCED_S)
    assert not former.orders
    following = PlanningLeader(former.engines)
    following.token = 2
    await run_for(following, ANNOUNCED_S + ORDER_DELAY_S)
    assert [token for _, _, token in following.orders] == [2]
