"""Failures of engines, instances and the authority: single, in pairs and in random combinations."""

from __future__ import annotations

import itertools
import os
from collections import deque
from collections.abc import Awaitable, Callable
from random import Random

import pytest
import trio

from shallotmux.authority import WithdrawKey
from shallotmux.standins import EngineFault
from tests.requests._checker import check_histories
from tests.requests._zone import Zone, ZoneLayout, run_zone

Failure = Callable[[Zone], Awaitable[None]]
CALLERS = 6
POISON = 'tailors send poison'

#: Number of random schedules; the target ``failure-matrix`` of the Makefile raises it.
SCHEDULES = int(os.environ.get('SHALLOTMUX_SCHEDULES', '200'))

#: Number of tests that share the schedules, so that each one finishes well within the time limit of
#: a test on a busy machine.
PARTS = 20


def inject_fault(fault: EngineFault) -> Failure:
    """Return a failure that affects the next run on each engine."""

    async def act(zone: Zone) -> None:
        for engine in zone.engines:
            engine.behaviour.faults.append(fault)

    return act


async def crash(zone: Zone) -> None:
    """Crash the busiest engine."""
    max(zone.engines, key=lambda engine: len(engine.running)).crash()


async def pause(zone: Zone) -> None:
    """Pause an engine for longer than the timeouts."""
    engine = max(zone.engines, key=lambda engine: len(engine.running))
    engine.behaviour.paused = True
    await trio.sleep(8)
    engine.behaviour.paused = False


async def kill_entry(zone: Zone) -> None:
    """Kill an instance, but never the last one."""
    live = [entry for entry in zone.entries if entry.client.alive]
    if len(live) > 1:
        live[0].kill()


async def lose_authority(zone: Zone) -> None:
    """Make the authority unavailable to all instances for 2 s."""
    for entry in zone.entries:
        entry.authority.available = False
    await trio.sleep(2)
    for entry in zone.entries:
        entry.authority.available = True


async def isolate(zone: Zone) -> None:
    """Disconnect one instance from the authority for 4 s."""
    zone.entries[-1].authority.fresh = False
    zone.entries[-1].authority.available = False
    await trio.sleep(4)
    zone.entries[-1].authority.fresh = True
    zone.entries[-1].authority.available = True


async def withdraw(zone: Zone) -> None:
    """Withdraw the key of one customer."""
    await zone.authority.submit(WithdrawKey('withdraw', zone.keys['cutters']))


async def drain(zone: Zone) -> None:
    """Drain an engine for a role change."""
    engine = zone.engines[0]
    deadline_s = trio.current_time() + 30
    live = [entry for entry in zone.entries if entry.client.alive]
    for entry in live:
        await entry.executor.drain(engine.name, deadline_s)
    for entry in live:
        entry.executor.readmit(engine.name)


async def reclaim(zone: Zone) -> None:
    """Reclaim an engine with a notice shorter than its streams."""
    engine = zone.engines[1]
    deadline_s = trio.current_time() + 1.2
    async with trio.open_nursery() as nursery:
        for entry in zone.entries:
            if entry.client.alive:
                nursery.start_soon(entry.executor.drain, engine.name, deadline_s)
    zone.network.stop(zone.address(engine.name))


async def send_poison(zone: Zone) -> None:
    """Send a request that crashes every engine that runs it."""
    for engine in zone.engines:
        engine.behaviour.poison = POISON.encode()
    await zone.request_completion('tailors', POISON)


async def resend(zone: Zone) -> None:
    """Let a caller drop its connection and reconnect."""
    await zone.request_completion('tailors', leave_after=3)


FAILURES: dict[str, Failure] = {
    'crash': crash,
    'pause': pause,
    'refusal': inject_fault(EngineFault.REFUSE),
    'late': inject_fault(EngineFault.OTHER_ATTEMPT),
    'crossed': inject_fault(EngineFault.CROSS),
    'truncated': inject_fault(EngineFault.TRUNCATE),
    'ended': inject_fault(EngineFault.END),
    'cut': inject_fault(EngineFault.CUT),
    'doubled': inject_fault(EngineFault.DUPLICATE),
    'skipped': inject_fault(EngineFault.SKIP),
    'entry-killed': kill_entry,
    'authority-unavailable': lose_authority,
    'isolated': isolate,
    'key-withdrawn': withdraw,
    'drain': drain,
    'reclaim': reclaim,
    'poison': send_poison,
    'resend': resend,
}

#: Refusal codes that are expected after a failure; all other failures must not cause refusals.
EXPECTED_CODES = {
    'authority-unavailable': {'suspect', 'outcome_unknown'},
    'isolated': {'authority_stale'},
    'key-withdrawn': {'key_withdrawn', 'invalid_api_key'},
    'poison': {'quarantined'},
}

#: Failures after which a caller has to reconnect; all other ones are hidden from it.
RECONNECTING = ('entry-killed', 'resend')


def run_schedule(failures: list[tuple[float, Failure]], seed: int) -> Zone:
    """Run callers of two customers while failures happen at their times."""

    async def act(zone: Zone, at_s: float, failure: Failure) -> None:
        await trio.sleep(at_s)
        await failure(zone)

    async def call(zone: Zone, number: int) -> None:
        await trio.sleep(number * 0.03)
        await zone.request_completion(('tailors', 'cutters')[number % 2])

    async def work(zone: Zone) -> None:
        async with trio.open_nursery() as nursery:
            for at_s, failure in failures:
                nursery.start_soon(act, zone, at_s, failure)
            for number in range(CALLERS):
                nursery.start_soon(call, zone, number)

    zone = run_zone(work, ZoneLayout(behaviour={'token_s': 0.02}), seed)
    check_histories(zone)
    return zone


@pytest.mark.parametrize('name', FAILURES)
def test_single_failure(name: str) -> None:
    """Guards against a lost answer or an unnecessary refusal after a single failure."""
    zone = run_schedule([(0.1, FAILURES[name])], seed=7)
    codes = {answer.code for answer in zone.answers} - {''}
    assert codes <= EXPECTED_CODES.get(name, set())
    if name not in RECONNECTING:
        assert all(answer.connections == 1 for answer in zone.answers)


@pytest.mark.parametrize('names', list(itertools.combinations(FAILURES, 2)), ids='+'.join)
def test_pair_of_failures(names: tuple[str, str]) -> None:
    """Guards against faults that only a combination of two failures triggers."""
    zone = run_schedule([(0.1, FAILURES[names[0]]), (0.15, FAILURES[names[1]])], seed=11)
    codes = {answer.code for answer in zone.answers} - {''}
    assert codes <= set().union(*(EXPECTED_CODES.get(name, set()) for name in names))


@pytest.mark.parametrize('part', range(PARTS))
def test_random_mix(part: int) -> None:
    """Guards against faults that only some orders and numbers of failures trigger."""
    for seed in range(part, SCHEDULES, PARTS):
        random = Random(seed)
        names = random.choices(list(FAILURES), k=random.randint(2, 5))
        plan = [(random.uniform(0, 0.6), FAILURES[name]) for name in names]
        try:
            run_schedule(plan, seed)
        except BaseException as error:
            raise AssertionError(f'schedule {seed}: {names}') from error


def test_poison_crashes_two_engines_at_most() -> None:
    """Guards against a resent poison request that crashes one engine after another."""

    async def work(zone: Zone) -> None:
        for engine in zone.engines:
            engine.behaviour.poison = POISON.encode()
        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(zone.request_completion, ('tailors', 'cutters')[number % 2])
            for _ in range(20):
                await zone.request_completion('tailors', POISON, connections=1)

    zone = run_zone(work, ZoneLayout(engines=6, behaviour={'token_s': 0.02}))
    check_histories(zone)
    poison = [answer for answer in zone.answers if answer.prompt == POISON]
    assert {answer.code for answer in poison} == {'quarantined'}
    assert [answer.not_run for answer in poison].count(False) == 1
    assert not poison[0].not_run
    assert all(answer.done for answer in zone.answers if answer.prompt != POISON)
    assert sum(engine.crashes for engine in zone.engines) == 2


def test_message_shared_by_poison_requests_is_quarantined() -> None:
    """Guards against different requests that share one message and crash engine after engine."""

    async def work(zone: Zone) -> None:
        for engine in zone.engines:
            engine.behaviour.poison = POISON.encode()
        for number in range(12):
            await zone.request_completion(
                'tailors', f'ask {number}', connections=1, context=('system', POISON)
            )
            await trio.sleep(1)
            await zone.request_completion('tailors', f'sound {number}', context=('system',))

    zone = run_zone(work, ZoneLayout(engines=6, behaviour={'token_s': 0.02}))
    check_histories(zone)
    poisoned = [answer for answer in zone.answers if POISON in answer.context]
    assert {answer.code for answer in poisoned[-8:]} == {'quarantined'}
    assert all(answer.done for answer in zone.answers if POISON not in answer.context)
    assert sum(engine.crashes for engine in zone.engines) <= 4


def test_superseded_attempt_is_cancelled_at_engine() -> None:
    """Guards against an engine that continues an attempt whose answer is discarded."""

    async def work(zone: Zone) -> None:
        zone.engines[0].behaviour.faults = deque((EngineFault.CROSS,))
        zone.engines[1].behaviour.faults = deque((EngineFault.CROSS,))
        await zone.request_completion('tailors')
        await trio.sleep(1)

    zone = run_zone(work, ZoneLayout(engines=2))
    resumed = [run for engine in zone.engines for run in engine.runs if not run.fault]
    assert [run.payload['offset'] for run in resumed] == [4]
    faulted = [run for engine in zone.engines for run in engine.runs if run.fault]
    cancels = b''.join(
        each.body for engine in zone.engines for each in engine.history if each.path == '/cancel'
    )
    assert faulted
    assert all(run.attempt_id.encode() in cancels for run in faulted)
