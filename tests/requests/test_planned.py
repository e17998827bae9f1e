"""Planned changes, disconnected or stalled callers, loss of keys, equality with direct calls."""

from __future__ import annotations

from collections import deque

import msgspec
import pytest
import trio

from shallotmux.authority import WithdrawKey
from shallotmux.http import HttpRequest
from shallotmux.requests import CallerStalled, RequestSettings
from shallotmux.requests._request import CallerRequest
from shallotmux.standins import EngineFault
from shallotmux.world import Route
from tests.requests._checker import check_histories
from tests.requests._zone import Zone, ZoneLayout, run_zone

SLOW_ENGINE = {'token_s': 0.05}


def test_drain_stops_new_work_and_moves_streams() -> None:
    """Guards against new requests on a draining endpoint, and streams cut at its deadline."""

    async def work(zone: Zone) -> None:
        leaving = zone.engines[0]
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(zone.request_completion, 'tailors')
            nursery.start_soon(lambda: zone.request_completion('cutters', tokens=100))
            await trio.sleep(0.2)
            started = len(leaving.runs)
            assert started
            drained = await zone.entries[0].executor.drain(leaving.name, trio.current_time() + 3)
            for _ in range(6):
                assert (await zone.request_completion('tailors')).done
            assert len(leaving.runs) == started
            zone.network.stop(zone.address(leaving.name))
            assert drained.remaining == 0

    zone = run_zone(work, ZoneLayout(engines=2, entries=1, behaviour=SLOW_ENGINE))
    check_histories(zone)
    assert all(answer.done for answer in zone.answers)
    assert not any(suspicion for suspicion in zone.authority.read().quarantine.suspicions)


def test_drained_endpoint_is_readmitted() -> None:
    """Guards against an endpoint that gets no requests after its role change."""

    async def work(zone: Zone) -> None:
        executor = zone.entries[0].executor
        await executor.drain('engine-0', trio.current_time() + 3)
        executor.readmit('engine-0')
        assert (await zone.request_completion('tailors')).done

    run_zone(work, ZoneLayout(engines=1, entries=1))


def test_shutdown_finishes_open_streams() -> None:
    """Guards against streams interrupted by a shutdown, and requests lost while it runs."""

    async def work(zone: Zone) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(zone.request_completion, 'tailors')
            await trio.sleep(0.2)
            nursery.start_soon(zone.entries[0].executor.finish)
            await trio.sleep(0.01)
            late = await zone.request_completion('cutters')
            assert (late.code, late.not_run) == ('shutting_down', True)

    zone = run_zone(work, ZoneLayout(entries=1, behaviour=SLOW_ENGINE))
    check_histories(zone)
    assert zone.answers[0].done


@pytest.mark.parametrize('cause', ['withdrawn', 'stale'])
def test_keyed_stream_ends_without_authority(cause: str) -> None:
    """Guards against a stream that outlives its key, and an engine that continues it."""

    async def work(zone: Zone) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: zone.request_completion('tailors', tokens=1000, connections=1)
            )
            await trio.sleep(0.5)
            if cause == 'withdrawn':
                await zone.authority.submit(WithdrawKey('w', zone.keys['tailors']))
            else:
                zone.entries[0].authority.fresh = False
            await trio.sleep(3)
            assert (
                zone.answers[0].code == f'{"key" if cause == "withdrawn" else "authority"}_{cause}'
            )
            assert not any(engine.running for engine in zone.engines)

    check_histories(run_zone(work, ZoneLayout(entries=1, behaviour=SLOW_ENGINE)))


def test_keyed_requests_are_refused_without_authority_and_open_ones_served() -> None:
    """Guards against an isolated instance that accepts keys, or refuses requests without one."""

    async def work(zone: Zone) -> None:
        entry = zone.entries[0]
        entry.authority.fresh = False
        answer = await zone.request_completion('tailors')
        assert (answer.code, answer.not_run) == ('authority_stale', True)
        request = HttpRequest('POST', entry.address, '/v1/services/stock/x', b'job')
        async with zone.network.client('10.9.0.1:0').stream(request) as response:
            assert response.status == 200

    check_histories(run_zone(work, ZoneLayout(entries=1)))


def test_engine_is_cancelled_when_caller_leaves() -> None:
    """Guards against an engine that continues a stream after its caller disconnected."""

    async def work(zone: Zone) -> None:
        await zone.request_completion('tailors', tokens=1000, connections=1, leave_after=3)
        await trio.sleep(0.5)
        assert not any(engine.running for engine in zone.engines)

    zone = run_zone(work, ZoneLayout(entries=1, behaviour=SLOW_ENGINE))
    assert any(each.path == '/cancel' for engine in zone.engines for each in engine.history)


def build_request(tokens: int) -> CallerRequest:
    """Return a request as the caller interface passes it on."""
    payload = {'model': 'sorter', 'messages': [], 'max_tokens': tokens}
    return CallerRequest('chatcmpl-1', '', '', Route('sorter', 'sorting'), payload, 'hash')


def test_stalled_caller_is_dropped_with_bounded_memory() -> None:
    """Guards against a caller that stops reading and fills the memory of the instance."""
    settings = RequestSettings(buffer_bytes=2_000, stalled_caller_s=2)

    async def work(zone: Zone) -> None:
        with pytest.raises(CallerStalled):
            async with zone.entries[0].executor.stream(build_request(10_000)):
                await trio.sleep(60)
        assert trio.current_time() < 5
        await trio.sleep(0.5)
        assert not any(engine.running for engine in zone.engines)
        assert sum(run.tokens for engine in zone.engines for run in engine.runs) < 25

    # The stand-in's channel is unbounded, so a low token rate bounds the number of tokens sent.
    run_zone(work, ZoneLayout(entries=1, settings=settings, behaviour={'token_s': 0.2}))


def test_caller_that_reads_again_gets_everything() -> None:
    """Guards against events lost while the buffer is full."""
    settings = RequestSettings(buffer_bytes=1_000, stalled_caller_s=5)

    async def work(zone: Zone) -> None:
        async with zone.entries[0].executor.stream(build_request(40)) as events:
            await trio.sleep(3)
            body = b''.join([block async for block in events])
        ids = [int(event.split(b'\n')[0][4:]) for event in body.split(b'\n\n')[:-2]]
        assert ids == list(range(1, 41))

    run_zone(work, ZoneLayout(entries=1, settings=settings))


def test_pause_before_first_token_costs_one_timeout() -> None:
    """Guards against a request that waits for a paused engine until its own deadline."""
    settings = RequestSettings(first_token_timeout_s=1, token_gap_timeout_s=1)

    async def work(zone: Zone) -> None:
        zone.engines[0].behaviour.paused = True
        zone.engines[1].behaviour.faults = deque((EngineFault.PAUSE,))
        for _ in range(6):
            assert (await zone.request_completion('tailors')).done
        assert trio.current_time() < 12

    check_histories(run_zone(work, ZoneLayout(engines=3, entries=1, settings=settings)))


def test_answers_equal_the_direct_path() -> None:
    """Guards against answers that differ from those of a direct request to the engine."""

    async def work(zone: Zone) -> None:
        for number in range(20):
            answer = await zone.request_completion('tailors', tokens=number + 1)
            payload = {
                'model': 'sorter',
                'messages': [{'role': 'user', 'content': answer.prompt}],
                'max_tokens': answer.tokens,
                'offset': 0,
                'attempt_id': f'direct-{number}',
                'response_id': answer.response_id,
                'chat': True,
            }
            request = HttpRequest(
                'POST', zone.address('engine-0'), '/run', msgspec.json.encode(payload)
            )
            async with zone.network.client('10.9.0.1:0').stream(request) as response:
                direct = b''.join([chunk async for chunk in response.chunks()])
            assert direct == b'\n\n'.join((*answer.events, b'data: [DONE]', b''))

    run_zone(work, ZoneLayout())
