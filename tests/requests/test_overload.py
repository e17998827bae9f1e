"""Goodput under overload, compared with first come, first served without admission control."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random

import pytest
import trio

from shallotmux.requests import RequestSettings
from tests.requests._checker import check_histories
from tests.requests._zone import Answer, Zone, ZoneLayout, run_zone

FIRST_TOKEN_S = 0.74
TOKENS = 10
STEP_S = 0.04
BATCH = 4
ENGINES = 2
DURATION_S = 10.0

#: Requests per second that the engines can complete.
CAPACITY = ENGINES * BATCH / (TOKENS * STEP_S)

WITH_ADMISSION = RequestSettings(engine_slots=BATCH)
#: First come, first served: nothing is refused, and engines queue requests beyond their batch.
WITHOUT_ADMISSION = RequestSettings(
    engine_slots=10_000, queue_limit=10_000, queue_wait_s=1_000, first_token_limit_s=1_000,
    first_token_timeout_s=1_000,
)  # fmt: skip


@dataclass(frozen=True)
class Load:
    """Results of one run.

    :param goodput: requests per second whose first token arrived in time.
    """

    goodput: float
    refused: int
    sent: int


def run_load(load_factor: float, settings: RequestSettings, entries: int = 1) -> Load:
    """Send requests with Poisson arrivals at ``load_factor`` times the capacity."""
    random = Random(5)

    async def work(zone: Zone) -> None:
        async with trio.open_nursery() as nursery:
            while trio.current_time() < DURATION_S:
                await trio.sleep(random.expovariate(load_factor * CAPACITY))
                customer = random.choice(('tailors', 'cutters'))
                nursery.start_soon(
                    partial(zone.request_completion, customer, tokens=TOKENS, connections=1)
                )

    behaviour = {'token_s': STEP_S, 'batch_limit': BATCH}
    layout = ZoneLayout(engines=ENGINES, entries=entries, settings=settings, behaviour=behaviour)
    zone = run_zone(work, layout)
    check_histories(zone)
    good = sum(is_good(answer) for answer in zone.answers)
    refused = [answer for answer in zone.answers if answer.code]
    assert all(answer.not_run for answer in refused)
    return Load(good / DURATION_S, len(refused), len(zone.answers))


def is_good(answer: Answer) -> bool:
    """Return whether a request counts towards goodput."""
    return answer.done and answer.times[0] - answer.started_s <= FIRST_TOKEN_S


def test_goodput_holds_under_overload() -> None:
    """Guards against a collapse of goodput when the load exceeds the engines' capacity."""
    at_capacity = run_load(1, WITH_ADMISSION)
    for load_factor in (2, 3, 5):
        assert run_load(load_factor, WITH_ADMISSION).goodput >= 0.9 * at_capacity.goodput
    assert run_load(3, WITHOUT_ADMISSION).goodput < 0.5 * at_capacity.goodput


@pytest.mark.parametrize('entries', [3])
def test_goodput_holds_with_several_instances(entries: int) -> None:
    """Guards against instances that load the engines without regard to each other."""
    at_capacity = run_load(1, WITH_ADMISSION, entries)
    assert run_load(3, WITH_ADMISSION, entries).goodput >= 0.9 * at_capacity.goodput


def test_priority_is_served_first() -> None:
    """Guards against urgent requests that wait behind others in the instance's queue."""

    async def work(zone: Zone) -> None:
        order = []

        async def request_completion(tier: str) -> None:
            await zone.request_completion('tailors', connections=1, tier=tier)
            order.append(tier)

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(request_completion, 'flex')
            await trio.sleep(0.01)
            nursery.start_soon(request_completion, 'priority')
        assert order == ['flex', 'priority', 'flex', 'flex']

    settings = RequestSettings(engine_slots=1, first_token_limit_s=10)
    run_zone(
        work, ZoneLayout(engines=1, entries=1, settings=settings, behaviour={'token_s': STEP_S})
    )


def test_queue_of_one_customer_is_bounded() -> None:
    """Guards against a burst of one customer that exhausts memory and delays the others."""
    settings = RequestSettings(engine_slots=1, queue_limit=3, first_token_limit_s=100)

    async def work(zone: Zone) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(zone.request_completion, 'tailors')
            await trio.sleep(0.1)
            nursery.start_soon(zone.request_completion, 'cutters')

    zone = run_zone(work, ZoneLayout(engines=1, entries=1, settings=settings))
    check_histories(zone)
    assert [answer.code for answer in zone.answers].count('queue_full') == 6
    assert next(answer for answer in zone.answers if answer.customer == 'cutters').done


def test_prediction_recovers_after_slow_period() -> None:
    """Guards against refusing all requests forever, since averages only change with requests."""

    async def work(zone: Zone) -> None:
        for engine in zone.engines:
            engine.behaviour.token_s = 0.6
        await zone.request_completion('tailors', tokens=2)
        for engine in zone.engines:
            engine.behaviour.token_s = STEP_S
        for _ in range(10):
            await zone.request_completion('tailors', tokens=2)
            await trio.sleep(1)

    zone = run_zone(work, ZoneLayout(entries=1, settings=WITH_ADMISSION))
    check_histories(zone)
    assert zone.answers[1].code == 'overloaded'
    assert all(answer.done for answer in zone.answers[5:])
