"""Tests of endpoints that are about to change."""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio
import trio.testing

from shallotmux.fleet import EngineRole, ListedEndpoint, Listing
from shallotmux.forwarding import EndpointDirectory
from shallotmux.forwarding._state import FAILURE_THRESHOLD, InFlightWork
from shallotmux.plannedchanges import HeldPlans
from tests.forwarding._harness import ScriptedEndpoint, run_forwarder
from tests.forwarding.test_engines import (
    DIALECT,
    ROUTE,
    answer_prefill,
    configure_engines,
    generate,
    refuse,
)
from tests.plannedchanges._plans import make_change, make_engine

DECODE = (make_engine(1), make_engine(2))
PREFILL = (make_engine(3, EngineRole.PREFILL), make_engine(4, EngineRole.PREFILL))


def make_directory(*listed: ListedEndpoint) -> tuple[EndpointDirectory, HeldPlans]:
    """Return a directory with a listing, and the plans that it follows."""
    plans = HeldPlans()
    directory = EndpointDirectory(lambda _: None, plans=plans)
    directory.update_listing(Listing(listed or (*DECODE, *PREFILL)))
    return directory, plans


def plan(plans: HeldPlans, engine: ListedEndpoint, phase: str = 'announced') -> None:
    """Hold a plan for an engine to change its role."""
    roles = {EngineRole.DECODE: 'prefill', EngineRole.PREFILL: 'decode'}
    change = make_change(
        phase, identity=engine.identity, start=engine.start_number, role=roles[engine.role]
    )
    plans.merge((change,), trio.current_time())


def names(directory: EndpointDirectory) -> list[str]:
    """Return the identities of the engines that new work may be sent to."""
    return [each.identity for each in directory.usable('llm')]


@pytest.mark.parametrize('phase', ('announced', 'ordered'))
@pytest.mark.parametrize('engine', (DECODE[0], PREFILL[0]))
async def test_engine_under_a_plan_gets_no_new_work(
    engine: ListedEndpoint, phase: str, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against requests and prefills that the engine refuses as it changes its role."""
    directory, plans = make_directory()
    plan(plans, engine, phase)
    assert engine.identity not in names(directory)
    assert len(names(directory)) == 3
    await trio.sleep(3)
    assert len(names(directory)) == 4


async def test_announced_engine_is_used_if_no_other_can_answer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against refusals while an engine under a plan could still serve."""
    directory, plans = make_directory()
    plan(plans, DECODE[0])
    state = directory.find(DECODE[1].identity)
    assert state is not None
    for _ in range(FAILURE_THRESHOLD):
        directory.record_failure(state, 'test')
    assert names(directory) == ['e-1', 'e-3', 'e-4']


async def test_ordered_engine_comes_last(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against work for a changing engine instead of an announced one, and against none at all."""
    directory, plans = make_directory(*DECODE)
    plan(plans, DECODE[0], 'ordered')
    plan(plans, DECODE[1])
    assert names(directory) == ['e-2']
    directory.update_listing(Listing(DECODE[:1]))
    assert names(directory) == ['e-1']


async def test_work_at_a_planned_engine_goes_on(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against requests that are given up since their engine is to change."""
    directory, plans = make_directory()
    state = directory.find('e-1')
    assert state is not None
    with InFlightWork(state, 100) as work, work.scope:
        plan(plans, DECODE[0], 'ordered')
        assert 'e-1' not in names(directory)
        await trio.sleep(1)
        assert (state.in_flight, work.scope.cancel_called) == (1, False)


async def test_new_role_in_the_list_ends_the_plan(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an engine that is unused in its new role, or whose plan comes back."""
    directory, plans = make_directory(*DECODE)
    plan(plans, DECODE[0], 'ordered')
    directory.update_listing(Listing((make_engine(1, EngineRole.PREFILL), DECODE[1])))
    assert names(directory) == ['e-1', 'e-2']
    directory.update_listing(Listing(DECODE))
    assert names(directory) == ['e-1', 'e-2']


@pytest.mark.parametrize(('phase', 'count'), (('ordered', 1), ('announced', 1), ('', 0)))
async def test_refusals_after_an_own_order_are_counted(phase: str, count: int) -> None:
    """Guards against refusals that the system causes and that nobody sees."""
    decode_engine, prefill_engine = ScriptedEndpoint(refuse), ScriptedEndpoint(answer_prefill)
    async with run_forwarder(prefill_engine, decode_engine, dialect=DIALECT) as harness:
        route = replace(ROUTE, max_attempts=2)
        configure_engines(harness, [prefill_engine], [decode_engine], route)
        directory = harness.forwarder.directory
        state = directory.find('d-0')
        assert state is not None
        if phase:
            change = make_change(phase, identity='d-0', start=state.start_number)
            directory.plans.merge((change,), trio.current_time())
        await harness.make_request('/ask/')
        counter = harness.forwarder.metrics.refused_after_own_order
        samples = [each for metric in counter.collect() for each in metric.samples]
    totals = {each.labels['phase']: each.value for each in samples if each.name.endswith('_total')}
    assert totals == ({phase: count} if count else {})


async def test_request_avoids_an_engine_under_a_plan() -> None:
    """Guards against refusals to callers of requests that another engine could have served."""
    engines = [ScriptedEndpoint(refuse), ScriptedEndpoint(generate)]
    prefill_engine = ScriptedEndpoint(answer_prefill)
    async with run_forwarder(prefill_engine, *engines, dialect=DIALECT) as harness:
        configure_engines(harness, [prefill_engine], engines)
        directory = harness.forwarder.directory
        state = directory.find('d-0')
        assert state is not None
        change = make_change('ordered', identity='d-0', start=state.start_number)
        directory.plans.merge((change,), trio.current_time())
        got = [await harness.make_request('/ask/', request_id=f'r-{number}') for number in range(4)]
    assert {each.status for each in got} == {200}
    assert not engines[0].received
