"""Tests of the choice of engines under load patterns, against the choice before reports were shared."""

from __future__ import annotations

from functools import partial
from statistics import median

import pytest

from shallotmux.estimates import Estimator, LoadReport
from shallotmux.fleet import EngineRole
from shallotmux.placement import PlacementRequest, build_prompt, place_request
from tests.estimates._endpoints import endpoint
from tests.estimates._simulation import Outcome, Simulation

#: Answers while the instances learn, which are left out of the ratios.
WARM_UP = 100

#: Bounds on the median and on the 90th percentile of real to estimated times.
MEDIAN_LIMITS = (0.8, 1.25)
PERCENTILE_LIMIT = 2.5


def run(per_s: float, seconds: float, *, is_earlier: bool = False, slowed: int = 0) -> Outcome:
    """Run a load; every third engine of the first ``slowed`` takes twice as long."""
    simulation = Simulation(is_earlier=is_earlier)
    for each in simulation.engines[:slowed:3]:
        each.pace = 2.0
    simulation.load(per_s, 0.0, seconds)
    return simulation.run()


def assert_ratios(outcome: Outcome) -> None:
    """Check the bounds on real to estimated times."""
    ratios = outcome.ratios[WARM_UP:]
    assert MEDIAN_LIMITS[0] <= median(ratios) <= MEDIAN_LIMITS[1]
    assert outcome.percentile(ratios, 90) < PERCENTILE_LIMIT


def test_idle_engines_are_chosen_as_before() -> None:
    """Guards against reports that move prompts away from the owners of their prefixes without need."""
    now, before = run(2, 20), run(2, 20, is_earlier=True)
    assert now.engines == before.engines
    assert now.times_ms == before.times_ms


def test_half_used_engines_serve_as_before() -> None:
    """Guards against old reports that send the prompts of all instances to the same engines."""
    now, before = run(150, 12), run(150, 12, is_earlier=True)
    assert now.mean_ms <= 1.03 * before.mean_ms
    assert_ratios(now)


def test_slowed_engines_get_less() -> None:
    """Guards against a third of the engines, slowed by two, that get as much work as the others."""
    now = run(200, 12, slowed=24)
    before = run(200, 12, slowed=24, is_earlier=True)
    assert now.mean_ms < 0.98 * before.mean_ms
    assert now.percentile(now.times_ms, 99) < 0.9 * before.percentile(before.times_ms, 99)
    assert_ratios(now)


def test_steady_overload_is_foreseen() -> None:
    """Guards against waits that nobody expects, so that nothing is refused early."""
    now, before = run(440, 6), run(440, 6, is_earlier=True)
    assert now.mean_ms < 0.98 * before.mean_ms
    assert now.percentile(now.times_ms, 99) < 0.85 * before.percentile(before.times_ms, 99)
    assert_ratios(now)


@pytest.mark.parametrize('is_earlier', [False, True])
def test_burst_at_one_instance_is_spread(is_earlier: bool) -> None:
    """Guards against 20 long prompts at once that queue at the owner of their prefix."""
    simulation = Simulation(is_earlier=is_earlier, shared_prefixes=1)
    for _ in range(20):
        simulation.at(0.0, partial(simulation.place, 0))
    outcome = simulation.run()
    counts = [outcome.engines.count(each) for each in set(outcome.engines)]
    assert len(counts) == 3
    assert max(counts) <= 8


def test_burst_takes_no_longer_than_before() -> None:
    """Guards against a burst that waits longer, since its own prompts are counted twice."""

    def mean_ms(*, is_earlier: bool) -> float:
        simulation = Simulation(is_earlier=is_earlier)
        simulation.load(60, 0.0, 4.0)
        for _ in range(20):
            simulation.at(2.0, partial(simulation.place, 0))
        return simulation.run().mean_ms

    assert mean_ms(is_earlier=False) <= 1.02 * mean_ms(is_earlier=True)


def test_engine_whose_queue_another_instance_reported_is_avoided() -> None:
    """Guards against prompts for an engine with 40 waiting ones, of which only others know."""
    estimator = Estimator()
    engines = [endpoint(f'p-{number}', EngineRole.PREFILL, 64) for number in range(8)]
    decode = endpoint('d', EngineRole.DECODE, 64)
    prompt = build_prompt('m', (('s', 13_300), ('o', 3_720)), 17_020, 12)
    request = PlacementRequest(prompt, 'a', 1100, 1000.0)

    def choose(now: float) -> str | None:
        views = [estimator.view(each, now) for each in (*engines, decode)]
        placement = place_request(request, views)
        assert placement is not None
        estimator.record_prompt('s', placement.uncached_tokens)
        return placement.prefill

    owner = choose(0.0)
    state = next(each for each in engines if each.listed.identity == owner)
    estimator.receive(state, LoadReport(4, 40, 64, at=1.0))
    assert choose(1.2) != owner
    estimator.receive(state, LoadReport(0, 0, 64, at=2.0))
    assert choose(2.1) == owner


def test_corrections_do_not_change_the_choice() -> None:
    """Guards against a fixed time of all engines that moves prompts from the owners of their prefixes."""
    learned, new = Estimator(), Estimator()
    engines = [endpoint(f'p-{number}', EngineRole.PREFILL, 64) for number in range(8)]
    decode = [endpoint(f'd-{number}', EngineRole.DECODE, 64) for number in range(3)]
    usable = (*engines, *decode)
    for number in range(24):
        for each in engines:
            estimate = learned.estimate_prompt(each, 100.0 * number, 0.0)
            learned.record(each, estimate, 90 + 3 * estimate.base, 0.0)
    for number in range(200):
        parts = ((f's{number}', 250 * (number % 60)), (f'o{number}', 100 + 10 * number))
        prompt = build_prompt('m', parts, 0, 12)
        request = PlacementRequest(prompt, 'a', 1100, 1000.0)
        placement = place_request(request, [learned.view(state, 0.0) for state in usable])
        assert placement is not None
        assert placement == place_request(request, [new.view(state, 0.0) for state in usable])
    assert learned.estimate_prompt(engines[0], 500.0, 0.0).total_ms > 90
