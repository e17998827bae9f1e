"""Tests that the counted usage matches what callers received."""

from __future__ import annotations

from collections import Counter

import pytest
import trio

from shallotmux.authority import Figures, PutObject
from shallotmux.http import HttpRequest
from shallotmux.requests import EventBuffer
from shallotmux.world import Endpoint, EndpointPool
from tests.requests._zone import Zone, ZoneLayout, run_zone
from tests.requests.test_failures import FAILURES, run_schedule


def read_usage(zone: Zone) -> dict[str, Figures]:
    """Record the usage of all instances and return the totals by customer."""
    for counter in zone.counters:
        trio.run(counter.flush, zone.authority)
    sums: dict[str, Figures] = {}
    for window in zone.authority.read().usage.windows.values():
        sums[window.customer] = sums.get(window.customer, Figures()).plus(window.figures)
    return sums


@pytest.mark.parametrize('names', [*((name, 'resend') for name in FAILURES), ('crash', 'cut')])
@pytest.mark.parametrize('seed', [3, 7])
def test_usage_matches_received_tokens(names: tuple[str, str], seed: int) -> None:
    """Guards against tokens billed twice after a resumption, or not at all."""
    zone = run_schedule([(0.1, FAILURES[names[0]]), (0.15, FAILURES[names[1]])], seed)
    received: Counter[str] = Counter()
    started: Counter[str] = Counter()
    for answer in zone.answers:
        received[answer.customer] += len(answer.events)
        started[answer.customer] += bool(answer.events)
    usage = read_usage(zone)
    assert {name: each.output_tokens for name, each in usage.items()} == +received
    assert {name: each.requests for name, each in usage.items()} == +started


def test_cheap_tokens_and_prompts_are_counted() -> None:
    """Guards against reports without the share of work done by cheap endpoints."""

    async def work(zone: Zone) -> None:
        state = zone.authority.read()
        pool = state.pool('sorting')
        assert pool is not None
        cheap = Endpoint('engine-0', 'z', zone.address('engine-0'), cheap=True)
        revision = state.configuration.objects['pool', 'sorting'].revision
        changed = EndpointPool(pool.name, 'z', (cheap,), pool.model)
        await zone.authority.submit(PutObject('cheap', changed, revision))
        await zone.request_completion('tailors', 'sheet ' * 1000)

    usage = read_usage(run_zone(work, ZoneLayout()))['tailors']
    assert usage.output_tokens == 20
    assert 1500 <= usage.prompt_tokens <= 1600
    assert usage.cheap_tokens == usage.output_tokens + usage.prompt_tokens


def test_jobs_count_once() -> None:
    """Guards against a resent job that is counted although it did not run again."""

    async def work(zone: Zone) -> None:
        for entry in (*zone.entries, *zone.entries):
            await zone.call_job('tailors', 'dispatch-1', entry)

    assert read_usage(run_zone(work, ZoneLayout()))['tailors'] == Figures(requests=1)


def test_block_that_was_not_sent_is_not_counted() -> None:
    """Guards against tokens billed to a caller that has disconnected."""
    charged = []

    async def main() -> None:
        event_buffer = EventBuffer(100, 0, lambda tokens, cheap: charged.append((tokens, cheap)))
        event_buffer.put(b'a', 2, 1)
        await anext(event_buffer)
        event_buffer.put(b'b', 3)
        await anext(event_buffer)

    trio.run(main)
    assert charged == [(2, 1)]


@pytest.mark.parametrize('stream', [b'true', b'false'])
def test_streamed_and_complete_answers_are_counted(stream: bytes) -> None:
    """Guards against answers that are not streamed and not billed."""

    async def work(zone: Zone) -> None:
        body = b'{"model":"sorter","messages":[{"role":"user","content":"a"}],"stream":%s}'
        request = HttpRequest(
            'POST',
            zone.entries[0].address,
            '/v1/chat/completions',
            body % stream,
            {
                'authorization': f'Bearer {zone.secrets["tailors"]}',
                'content-type': 'application/json',
            },
        )
        async with zone.network.client('10.9.0.3:0').stream(request) as response:
            body = b''.join([chunk async for chunk in response.chunks()])
            assert response.status == 200, body

    usage = read_usage(run_zone(work, ZoneLayout()))['tailors']
    assert usage.requests == 1
    assert usage.output_tokens > 1
