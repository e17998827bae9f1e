"""Routing in the admission: the zone's state, load reports, prefixes, endpoint capacity."""

from __future__ import annotations

from collections import Counter
from random import Random

import trio

from shallotmux.authority import ObserveEndpoints, PutObject, ZoneState
from shallotmux.authority._inventory import ListedEndpoint
from shallotmux.decisions import RequestFeatures
from shallotmux.engines import LoadReport, ReceivedLoadReport
from shallotmux.requests._pool_views import SYNC_S, EngineClock, PoolViews
from shallotmux.world import Endpoint, EndpointPool
from tests.requests._checker import check_histories
from tests.requests._zone import Zone, ZoneLayout, run_zone

SHARED_PREFIX = 'fold along the dotted line; ' * 1000
NAMES = tuple(f'e{number}' for number in range(6))
ENDPOINTS = tuple(Endpoint(name, 'z', name) for name in NAMES)


def make_state(endpoints: tuple[Endpoint, ...] = ENDPOINTS) -> ZoneState:
    """Return a state with one pool."""
    state = ZoneState()
    state.apply(PutObject('put', EndpointPool('p', 'z', endpoints), 0))
    return state


def routable_endpoints(pool_views: PoolViews, state: ZoneState, now: float) -> set[str]:
    """Return the endpoints that a request may be routed to."""
    router = pool_views.get('p', state, now).router
    decisions = [router.choose(RequestFeatures(), Random(seed), now) for seed in range(40)]
    return {name for each in decisions if each is not None for name, _ in each.sampled}


def test_shared_prefix_is_routed_to_one_engine() -> None:
    """Guards against requests with a shared prefix that fill the caches of several engines."""

    async def work(zone: Zone) -> None:
        for number in range(12):
            await zone.request_completion('tailors', f'{SHARED_PREFIX} question {number}')

    zone = run_zone(work, ZoneLayout(engines=6, entries=2))
    check_histories(zone)
    runs = Counter({engine.name: len(engine.runs) for engine in zone.engines})
    assert runs.most_common(1)[0][1] == 12


def test_leaving_endpoint_gets_no_work() -> None:
    """Guards against a router that keeps endpoints excluded by the zone's state."""
    state = make_state()
    pool_views = PoolViews(lambda name: False, lambda endpoint: True)
    assert routable_endpoints(pool_views, state, 0) == set(NAMES)
    leaving = ListedEndpoint(ENDPOINTS[0], leaving=True)
    state.apply(ObserveEndpoints('leave', (leaving,), (), state.intents.term))
    assert routable_endpoints(pool_views, state, SYNC_S) == set(NAMES[1:])
    state.apply(ObserveEndpoints('stay', (), (NAMES[0],), state.intents.term))
    assert routable_endpoints(pool_views, state, 2 * SYNC_S) == set(NAMES)


def test_new_configuration_takes_effect_at_once() -> None:
    """Guards against requests sent to the previous address of an endpoint."""
    state = make_state()
    pool_views = PoolViews(lambda name: False, lambda endpoint: True)
    pool_views.get('p', state, 0)
    moved = Endpoint(NAMES[0], 'z', 'new')
    state.apply(PutObject('move', EndpointPool('p', 'z', (moved,)), state.revision))
    view = pool_views.get('p', state, 0)
    assert routable_endpoints(pool_views, state, 0) == {NAMES[0]}
    assert view.router.states[NAMES[0]].endpoint is moved


def test_full_and_drained_endpoints_are_passed_over() -> None:
    """Guards against routing to an endpoint that is full or being drained."""
    full = {NAMES[1]}
    state = make_state()
    pool_views = PoolViews(lambda name: False, lambda endpoint: endpoint.name not in full)
    pool_views.get('p', state, 0)
    pool_views.exclude(NAMES[0])
    assert routable_endpoints(pool_views, state, 0) == set(NAMES[2:])
    pool_views.include(NAMES[0])
    full.clear()
    # Reports expire without an event, so capacity is checked again after SYNC_S.
    assert routable_endpoints(pool_views, state, SYNC_S) == set(NAMES)


def test_excluded_endpoints_do_not_use_up_the_sample() -> None:
    """Guards against a sample that contains only endpoints on which the request has failed."""
    state = make_state()
    router = PoolViews(lambda name: False, lambda endpoint: True).get('p', state, 0).router
    features = RequestFeatures(excluded=frozenset(NAMES[:5]))
    for seed in range(40):
        decision = router.choose(features, Random(seed), 0)
        assert decision is not None
        assert decision.endpoint.name == NAMES[5]


def test_report_times_are_translated_to_instance_clock() -> None:
    """Guards against reports whose age is wrong because the engine's clock differs."""
    clock = EngineClock()
    assert round(clock.translate(as_of=1000.0, received_s=10.0), 2) == 10
    assert round(clock.translate(as_of=1001.0, received_s=12.0), 2) == 11
    # The clock of a restarted engine starts at 0 again.
    assert round(clock.translate(as_of=0.5, received_s=33.0), 2) == 33


def test_report_changes_role() -> None:
    """Guards against new requests on an engine with the decode role."""
    state = make_state()
    pool_views = PoolViews(lambda name: False, lambda endpoint: True)
    report = LoadReport('decode', '', 0, 0, 1, 1000.0, 0.01, as_of=5.0)
    pool_views.get('p', state, 0).apply_report(NAMES[0], ReceivedLoadReport(report, 1.0, 0))
    assert routable_endpoints(pool_views, state, 1.0) == set(NAMES[1:])


def test_routing_log_line_keeps_the_figures() -> None:
    """Guards against routing decisions that cannot be explained from the log."""
    lines = []

    async def work(zone: Zone) -> None:
        await zone.request_completion('tailors', SHARED_PREFIX)
        for entry in zone.entries:
            lines.extend(entry.executor._dependencies.decisions.recent(1))
        await trio.lowlevel.checkpoint()

    run_zone(work, ZoneLayout(entries=1))
    figures = lines[0].figures
    assert {'sampled', 'wait_s', 'prompt_tokens', 'uncached_tokens'} <= figures.keys()
    assert figures['uncached_tokens'] > 0
