"""Tests of routing."""

from __future__ import annotations

from random import Random

import pytest

from shallotmux.decisions import (
    EndpointView,
    LoadReport,
    RequestFeatures,
    RoundRobinRouter,
    Router,
    RoutingPolicy,
    route_request,
    weighted_policy,
)
from shallotmux.world import Defaults, Endpoint, EngineRole

PROMPT = RequestFeatures(prompt_tokens=300)
LONG_PROMPT = RequestFeatures((11, 12, 13, 14, 15), 5 * 2048)


def make_router(count: int = 6, **policy: bool) -> Router:
    """Return a router with idle engines, of which the first is cheap."""
    router = Router(RoutingPolicy(**policy))
    for position in range(count):
        router.add(Endpoint(f'e{position}', 'z', '', cheap=position == 0))
        router.report(f'e{position}', LoadReport(0, 0, 0))
    return router


def chosen(router: Router, features: RequestFeatures, seed: int, now: float = 0.1) -> str:
    """Return the name of the chosen endpoint."""
    decision = router.choose(features, Random(seed), now)
    assert decision is not None
    return decision.endpoint.name


def test_request_is_routed_from_views_alone() -> None:
    """Guards against breaking callers that pass only views and a random generator."""
    views = [EndpointView(Endpoint(name, 'z', ''), load) for name, load in (('a', 5), ('b', 1))]
    decision = route_request(views, Random(1))
    assert decision is not None
    assert decision.endpoint.name == 'b'
    assert route_request([], Random(1)) is None


def test_router_replaces_views() -> None:
    """Guards against a router that is passed but ignored."""
    router = make_router(1)
    decision = route_request((), Random(1), LONG_PROMPT, router, 0.1)
    assert decision is not None
    assert decision.endpoint.name == 'e0'


def test_holder_of_prefix_is_chosen_until_it_is_busy() -> None:
    """Guards against a popular prefix whose requests overload one endpoint."""
    router = make_router()
    router.record_dispatch('e3', LONG_PROMPT, 0, 0.05)
    assert {chosen(router, LONG_PROMPT, seed) for seed in range(20)} == {'e3'}
    router.report('e3', LoadReport(60_000, 40, 0.09))
    assert 'e3' not in {chosen(router, LONG_PROMPT, seed) for seed in range(20)}


def test_local_dispatches_correct_a_stale_report() -> None:
    """Guards against sending all requests to an endpoint that a delayed report shows as idle."""
    router = make_router(2, affinity=False)
    router.report('e0', LoadReport(0, 0, 0.01))
    router.report('e1', LoadReport(4000, 2, 0.01))
    for _ in range(3):
        router.record_dispatch('e0', RequestFeatures(), 6000, 0.02)
    assert chosen(router, RequestFeatures(), 1) == 'e1'


def test_report_does_not_count_local_requests_twice() -> None:
    """Guards against adding local dispatches that the report already includes."""
    router = make_router(1)
    router.record_dispatch('e0', RequestFeatures(), 6000, 0.02)
    router.report('e0', LoadReport(6000, 1, 0.05))
    load = router.states['e0'].estimate(0.05, router.average)
    assert load.queued_tokens == pytest.approx(6000)
    assert load.running == 1


def test_failed_endpoint_returns_after_its_exclusion() -> None:
    """Guards against an endpoint that stays excluded for ever, or is not excluded at all."""
    router = make_router(2)
    router.record_failure('e0', 1)
    assert {chosen(router, LONG_PROMPT, seed, 1.5) for seed in range(20)} == {'e1'}
    assert 'e0' in {chosen(router, RequestFeatures(), seed, 2.5) for seed in range(20)}


def test_removed_endpoint_is_not_readmitted_after_a_failure() -> None:
    """Guards against new work on an endpoint that left the pool during its exclusion."""
    router = make_router(2)
    router.record_failure('e0', 1)
    router.remove('e0')
    assert {chosen(router, LONG_PROMPT, seed, 9) for seed in range(20)} == {'e1'}


def test_excluded_endpoint_is_not_readmitted_after_a_failure() -> None:
    """Guards against new work on a reclaimed endpoint once the exclusion for a failure ends."""
    router = make_router(2)
    router.exclude('e0')
    router.record_failure('e0', 1)
    assert {chosen(router, PROMPT, seed, 9) for seed in range(20)} == {'e1'}
    router.include('e0')
    assert 'e0' in {chosen(router, PROMPT, seed, 9) for seed in range(20)}


def test_role_change_does_not_end_the_exclusion_after_a_failure() -> None:
    """Guards against work on an endpoint that has just failed, because its role changed."""
    router = make_router(2)
    router.record_failure('e0', 1)
    router.add(router.states['e0'].endpoint, EngineRole.PREFILL)
    router.add(router.states['e0'].endpoint, EngineRole.MIXED)
    router.include('e0')
    assert {chosen(router, RequestFeatures(), seed, 1.2) for seed in range(20)} == {'e1'}


def test_exclusions_that_overlap_end_with_the_last() -> None:
    """Guards against an endpoint that failed again and is readmitted by its first failure."""
    router = make_router(2)
    for _ in range(3):
        router.record_failure('e0', 1)
    assert {chosen(router, RequestFeatures(), seed, 2.5) for seed in range(20)} == {'e1'}
    assert 'e0' in {chosen(router, RequestFeatures(), seed, 60) for seed in range(20)}


def test_failure_of_a_removed_endpoint_leaves_no_trace() -> None:
    """Guards against entries that are kept for endpoints which are gone."""
    router = make_router(2)
    router.remove('e0')
    router.record_failure('e0', 1)
    assert not router.failures
    assert not router.readmissions


def test_cheap_endpoint_gets_repeatable_work_only() -> None:
    """Guards against losing a non-repeatable call when its endpoint is reclaimed."""
    router = make_router()
    order = RequestFeatures(repeatable=False)
    assert 'e0' not in {chosen(router, order, seed) for seed in range(60)}
    assert 'e0' in {chosen(router, RequestFeatures(), seed) for seed in range(60)}


def test_roles_limit_the_candidates() -> None:
    """Guards against prefill work on decode engines and decoding on prefill engines."""
    router = make_router(3)
    router.add(Endpoint('e1', 'z', ''), EngineRole.PREFILL)
    router.add(Endpoint('e2', 'z', ''), EngineRole.DECODE)
    decoding = RequestFeatures(decode_only=True)
    assert {chosen(router, PROMPT, seed) for seed in range(60)} <= {'e0', 'e1'}
    assert {chosen(router, decoding, seed) for seed in range(60)} <= {'e0', 'e2'}


def test_routing_beats_round_robin_under_uneven_load() -> None:
    """Guards against routing that puts no less load on busy endpoints than round-robin does."""
    router, naive = make_router(affinity=False), RoundRobinRouter()
    loads = {f'e{position}': 3000.0 * position for position in range(6)}
    for name, load in loads.items():
        router.report(name, LoadReport(load, 0, 0.01))
        naive.add(Endpoint(name, 'z', ''))
    random = Random(3)
    routed = [chosen(router, RequestFeatures(), seed) for seed in range(60)]
    turns = [naive.choose(RequestFeatures(), random, 0) for _ in range(60)]
    others = [each.endpoint.name for each in turns if each is not None]
    assert 2 * sum(loads[name] for name in routed) < sum(loads[name] for name in others)


def test_weight_of_spend_prefers_cheap_endpoints() -> None:
    """Guards against regular endpoints that are preferred to cheap ones of about equal load."""
    policy = weighted_policy(RoutingPolicy(), Defaults(weight_spend=5))
    router = Router(policy)
    for name, cheap in (('e0', True), ('e1', False)):
        router.add(Endpoint(name, 'z', '', cheap=cheap))
        router.report(name, LoadReport(500, 2, 0.05))
    router.record_dispatch('e0', PROMPT, 300, 0.06)
    assert {chosen(router, PROMPT, seed) for seed in range(20)} == {'e0'}
    # With stale reports, all instances would prefer the same endpoints and overload them.
    assert {chosen(router, PROMPT, seed, 5) for seed in range(20)} == {'e1'}
    router.report('e0', LoadReport(9000, 2, 0.06))
    assert {chosen(router, PROMPT, seed) for seed in range(20)} == {'e1'}
