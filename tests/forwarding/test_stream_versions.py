"""Tests of streams while endpoints of several software versions serve side by side.

What two versions write does not fit together, so a stream goes on only at the version that began it.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio
from msgspec.structs import replace as replace_struct

from shallotmux.fleet import Listing
from shallotmux.forwarding._state import REFUSAL_BACKOFF_S
from tests.forwarding._harness import (
    NAMES,
    ForwarderHarness,
    ReceivedAnswer,
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    run_forwarder,
)
from tests.forwarding.test_engines import DIALECT as PREFILL_DIALECT
from tests.forwarding.test_engines import ROUTE as ENGINE_ROUTE
from tests.forwarding.test_engines import answer_prefill, configure_engines

#: Events of a whole stream.
LAST_EVENT = 4


def stream_head(received: ReceivedRequest) -> bytes:
    """Return the head of a stream."""
    return (
        b'HTTP/1.1 200 X\r\nX-Request-Id: %s\r\nContent-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n' % received.headers[NAMES.request_id]
    )


def event(number: int, version: str) -> bytes:
    """Return a chunk with an event that names the version that made it."""
    content = f'id: {number}\ndata: {version}\n\n'.encode()
    return b'%x\r\n%s\r\n' % (len(content), content)


def serving(version: str, *, breaks_after: int = LAST_EVENT) -> ScriptedEndpoint:
    """Return an endpoint that streams events after the last one named.

    :param breaks_after: event after which it closes the connection.
    """

    async def send(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        first = int(received.headers.get(NAMES.last_event_id, b'0')) + 1
        await stream.send_all(stream_head(received))
        for number in range(first, LAST_EVENT + 1):
            if number > breaks_after:
                return False
            await stream.send_all(event(number, version))
            await trio.sleep(0.001)
        await stream.send_all(b'0\r\n\r\n')
        return True

    return ScriptedEndpoint(send)


async def refuse(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Refuse a request without running it."""
    await stream.send_all(answer(received, status=503, extra=b'X-Not-Run: 1\r\n'))
    return True


def versions_in(*answers: ReceivedAnswer) -> set[str]:
    """Return the versions that made the events of answers."""
    return {
        line.removeprefix('data: ')
        for each in answers
        for line in each.body.decode().splitlines()
        if line.startswith('data: ')
    }


async def resume(
    harness: ForwarderHarness, began_as: str, *, after: int = 1, request_id: str = 'r-2'
) -> ReceivedAnswer:
    """Take a stream up again after an event."""
    extra = f'Last-Event-Id: {after}\r\nX-Resumed-Request: {began_as}\r\n'
    return await harness.make_request('/resume/', request_id=request_id, extra=extra)


async def test_stream_goes_on_at_its_version_within_one_answer() -> None:
    """Guards against an answer with events of two versions after an endpoint crashed."""
    endpoints = (serving('v1', breaks_after=2), serving('v2'), serving('v1'))
    async with run_forwarder(*endpoints, versions=('v1', 'v2', 'v1')) as harness:
        got = [
            await harness.make_request('/resume/', request_id=f'r-{number}') for number in range(8)
        ]
    for each in got:
        assert len(versions_in(each)) == 1
    assert sum(each.is_complete for each in got) == len(got)


async def test_stream_is_broken_off_without_an_endpoint_of_its_version() -> None:
    """Guards against a stream that goes on at another version since its own has left."""
    endpoints = (serving('v1', breaks_after=2), serving('v2'))
    async with run_forwarder(*endpoints, versions=('v1', 'v2')) as harness:
        got = await harness.make_request('/resume/')
    assert versions_in(got) == {'v1'}
    assert not got.is_complete


async def test_caller_resumes_a_stream_at_its_version() -> None:
    """Guards against a caller's retry that is joined from two versions."""
    # The endpoint of the other version is preferred, and refuses only the request that begins.
    preferred, first = ScriptedEndpoint(refuse), serving('v1', breaks_after=1)
    async with run_forwarder(preferred, first, versions=('v2', 'v1')) as harness:
        began = await harness.make_request('/resume/')
        preferred.script = serving('v2').script
        first.script = serving('v1').script
        await trio.sleep(REFUSAL_BACKOFF_S)
        resumed = await resume(harness, 'r-1')
    assert not began.is_complete
    assert (resumed.status, resumed.is_complete) == (200, True)
    assert versions_in(began, resumed) == {'v1'}


async def test_stream_resumed_several_times_keeps_the_version_of_its_first_event() -> None:
    """Guards against a later retry that is bound to the version of the retry before."""
    first = serving('v1', breaks_after=1)
    endpoints = (first, serving('v2'), serving('v2'))
    async with run_forwarder(*endpoints, versions=('v1', 'v2', 'v2')) as harness:
        answers = [await harness.make_request('/resume/')]
        for after in (1, 2, 3):
            first.script = serving('v1', breaks_after=after + 1).script
            answers.append(await resume(harness, 'r-1', after=after, request_id=f'r-{after + 1}'))
    assert [each.is_complete for each in answers] == [False, False, False, True]
    assert versions_in(*answers) == {'v1'}


@pytest.mark.parametrize('began_as', ['never-seen', ''])
async def test_stream_of_unknown_version_is_refused_at_once(began_as: str) -> None:
    """Guards against a retry whose version is guessed, and against one held until its deadline."""
    endpoints = (serving('v1'), serving('v2'))
    async with run_forwarder(*endpoints, versions=('v1', 'v2')) as harness:
        started_at = trio.current_time()
        got = await resume(harness, began_as)
    assert got.status == 503
    assert trio.current_time() - started_at < 1
    assert not any(each.received for each in endpoints)


async def test_stream_of_unknown_version_goes_on_where_one_version_serves() -> None:
    """Guards against refusals of all streams that began at an instance that is gone."""
    async with run_forwarder(serving('v1'), serving('v1')) as harness:
        got = await resume(harness, 'never-seen')
    assert (got.status, got.is_complete) == (200, True)


async def test_request_id_of_another_customer_or_route_tells_nothing() -> None:
    """Guards against callers that guess request ids of others to resume or learn of their streams."""
    first = serving('v1', breaks_after=1)
    endpoints = (first, serving('v2'))
    async with run_forwarder(*endpoints, versions=('v1', 'v2')) as harness:
        await harness.make_request('/resume/')
        first.script = serving('v1').script
        extra = 'Last-Event-Id: 1\r\nX-Resumed-Request: r-1\r\n'
        other_target = await harness.make_request('/resume/other', request_id='r-2', extra=extra)
        own = await resume(harness, 'r-1', request_id='r-3')
        guessed = await resume(harness, 'r-9', request_id='r-4')
    assert (other_target.status, other_target.body) == (guessed.status, guessed.body)
    assert other_target.status == 503
    assert (own.status, versions_in(own)) == (200, {'v1'})


async def test_new_streams_are_served_by_all_versions() -> None:
    """Guards against endpoints of a version that get no new requests."""
    endpoints = tuple(serving(version) for version in ('v1', 'v2', 'v3'))
    async with run_forwarder(
        *endpoints, versions=('v1', 'v2', 'v3'), zones=('a', 'a', 'a')
    ) as harness:

        async def make_request(number: int) -> None:
            await harness.make_request('/resume/', request_id=f'r-{number}')

        async with trio.open_nursery() as nursery:
            for number in range(30):
                await trio.sleep(0.001)
                nursery.start_soon(make_request, number)
    assert all(each.received for each in endpoints)


async def test_resumed_stream_uses_no_cache_of_another_version() -> None:
    """Guards against a stream that goes on with the KV cache that an engine of another version made."""
    prefill_engine = ScriptedEndpoint(answer_prefill)
    decode_engines = [serving('v1', breaks_after=1), serving('v1')]
    endpoints = (prefill_engine, *decode_engines)
    async with run_forwarder(*endpoints, dialect=PREFILL_DIALECT) as harness:
        route = replace(ENGINE_ROUTE, is_resumable=True, max_attempts=3)
        configure_engines(harness, [prefill_engine], decode_engines, route=route)
        listed = tuple(
            replace_struct(
                state.listed,
                zone='b' if state.identity == 'd-1' else 'a',
                software_version='v2' if state.identity == 'p-0' else 'v1',
            )
            for state in harness.forwarder.directory.usable('llm')
        )
        harness.forwarder.directory.update_listing(Listing(listed))
        got = await harness.make_request('/ask/')
    assert (got.is_complete, versions_in(got)) == (True, {'v1'})
    first, second = (each.received[-1] for each in decode_engines)
    assert NAMES.cache_source in first.headers
    assert NAMES.cache_source not in second.headers
    assert len(prefill_engine.received) == 1
