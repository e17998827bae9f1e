"""Tests of sound endpoints that need longer than the time after which a request may be repeated."""

from __future__ import annotations

from typing import cast

import pytest
import trio
from eliot import add_destinations, remove_destination
from trio.testing import MockClock

from shallotmux.fleet import ListedEndpoint
from shallotmux.forwarding import RetryBudgetLimits
from shallotmux.forwarding._job import SilentAttempt
from shallotmux.forwarding._state import EndpointState, Target
from shallotmux.forwarding._supervision import AttemptSupervisor, _Attempts
from shallotmux.routes import RouteKind
from tests.forwarding import _harness
from tests.forwarding._harness import (
    NAMES,
    ForwarderHarness,
    ReceivedRequest,
    Script,
    ScriptedEndpoint,
    answer,
    build_request,
    read_answer,
    run_forwarder,
)
from tests.forwarding._jobs import RecordingReply, make_job
from tests.forwarding._streams import END, STREAM_HEAD, event

#: Time that a slow endpoint needs. Requests to ``/quick/`` and ``/live/`` may be repeated after 0.1 s.
SLOW_S = 0.4

SPENT = RetryBudgetLimits(ratio=0, slack=0, window_s=10)


def serve_after(delay_s: float, body: bytes = b'slow') -> Script:
    """Return a script that answers after a time."""

    async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await trio.sleep(delay_s)
        await stream.send_all(answer(received, body))
        return True

    return serve


def stream_after(delay_s: float, mark: str) -> Script:
    """Return a script that sends three events after a time."""

    async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await trio.sleep(delay_s)
        await stream.send_all(STREAM_HEAD % received.headers[b'x-request-id'])
        for number in range(1, 4):
            await stream.send_all(event(number, mark))
        await stream.send_all(END)
        return True

    return serve


async def refuse(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Refuse a request without running it."""
    extra = b'%s: 1\r\n' % NAMES.not_run
    await stream.send_all(answer(received, b'full', status=503, extra=extra))
    return True


async def close_unanswered(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Close the connection without an answer."""
    return False


async def never_answer(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer nothing until the connection is closed."""
    await stream.receive_some()
    return False


async def fail(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer 500."""
    await stream.send_all(answer(received, b'oops', status=500, extra=b'X-Stamp: s\r\n'))
    return True


def count_runs(*endpoints: ScriptedEndpoint) -> int:
    """Return the number of requests that reached endpoints."""
    return sum(len(each.received) for each in endpoints)


def exclude(harness: ForwarderHarness, identity: str, how: str) -> None:
    """Make an endpoint unusable."""
    state = harness.forwarder.directory.find(identity)
    assert state is not None
    now = trio.current_time()
    match how:
        case 'avoided':
            state.avoided_until = now + 60
        case 'backing off':
            state.refused_until = now + 60
        case 'leaving':
            state.mark_leaving()
        case 'out of reach':
            state.reach.failing_since = now
        case 'resting':
            state.record_rest(now + 60)
        case 'unreachable':
            # Nothing listens on the reserved port 1 of the loopback.
            state.listed = ListedEndpoint(identity, 'desk', '127.0.0.1:1', 'b', 4)


@pytest.mark.parametrize('path', ['/quick/', '/live/'])
@pytest.mark.parametrize('budget', [SPENT, None])
async def test_only_endpoint_is_awaited(path: str, budget: RetryBudgetLimits | None) -> None:
    """Guards against a request that is cut though no other endpoint is left."""
    script = serve_after(SLOW_S) if path == '/quick/' else stream_after(SLOW_S, 'x')
    endpoint = ScriptedEndpoint(script)
    async with run_forwarder(endpoint, budget=budget) as harness:
        got = await harness.make_request(path)
    assert (got.status, got.is_complete, count_runs(endpoint)) == (200, True, 1)


@pytest.mark.parametrize('path', ['/quick/', '/live/'])
async def test_endpoint_is_awaited_once_the_budget_is_spent(path: str) -> None:
    """Guards against a request that is cut before the budget has allowed another attempt."""
    script = serve_after(SLOW_S) if path == '/quick/' else stream_after(SLOW_S, 'x')
    endpoints = [ScriptedEndpoint(script) for _ in range(2)]
    async with run_forwarder(*endpoints, budget=SPENT) as harness:
        got = await harness.make_request(path)
    assert (got.status, got.is_complete, count_runs(*endpoints)) == (200, True, 1)


@pytest.mark.parametrize('path', ['/quick/', '/live/'])
@pytest.mark.parametrize('how', ['avoided', 'backing off', 'leaving', 'out of reach', 'resting'])
async def test_endpoint_is_awaited_if_no_other_is_usable(path: str, how: str) -> None:
    """Guards against a request that is cut for an endpoint that can't take it."""
    script = serve_after(SLOW_S) if path == '/quick/' else stream_after(SLOW_S, 'x')
    slow, other = ScriptedEndpoint(script), ScriptedEndpoint(close_unanswered)
    async with run_forwarder(slow, other) as harness:
        exclude(harness, 'e-1', how)
        got = await harness.make_request(path)
    assert (got.status, got.is_complete, count_runs(slow, other)) == (200, True, 1)


@pytest.mark.parametrize('script', [refuse, close_unanswered, fail])
async def test_first_attempt_outlives_a_second_one_that_fails(script: Script) -> None:
    """Guards against a sound attempt that is cut for one that is refused, breaks or fails."""
    slow, other = ScriptedEndpoint(serve_after(SLOW_S)), ScriptedEndpoint(script)
    async with run_forwarder(slow, other) as harness:
        got = await harness.make_request('/quick/')
    assert (got.status, got.body, got.is_complete) == (200, b'slow', True)
    assert (len(slow.received), len(other.received)) == (1, 1)


async def test_first_attempt_outlives_a_second_one_that_is_unreachable() -> None:
    """Guards against a sound attempt that is cut for one that is never sent."""
    slow, other = ScriptedEndpoint(serve_after(SLOW_S)), ScriptedEndpoint(fail)
    async with run_forwarder(slow, other) as harness:
        exclude(harness, 'e-1', 'unreachable')
        got = await harness.make_request('/quick/')
    assert (got.status, got.body, got.is_complete) == (200, b'slow', True)


async def test_attempts_go_on_when_no_further_one_is_allowed() -> None:
    """Guards against cuts at the last allowed attempt, and against attempts beyond it."""
    endpoints = [ScriptedEndpoint(serve_after(SLOW_S)) for _ in range(4)]
    async with run_forwarder(*endpoints) as harness:
        got = await harness.make_request('/quick/')
    assert (got.status, got.is_complete) == (200, True)
    assert count_runs(*endpoints) == 2


async def test_first_whole_answer_is_taken_and_the_other_attempt_ends() -> None:
    """Guards against callers that wait for a silent endpoint, and work there for nobody."""
    silent, quick = ScriptedEndpoint(never_answer), ScriptedEndpoint(serve_after(0, b'quick'))
    async with run_forwarder(silent, quick) as harness:
        began_at = trio.current_time()
        stream = await harness.connect()
        async with stream:
            await stream.send_all(build_request('/quick/'))
            got = await read_answer(stream)
            took_s = trio.current_time() - began_at
            with trio.fail_after(0.5):
                await silent.closed.wait()
    assert (got.status, got.body) == (200, b'quick')
    assert took_s < SLOW_S
    assert harness.started_customers == ['tailors']


async def test_attempts_end_when_their_caller_disconnects() -> None:
    """Guards against endpoints that work on for a caller that has disconnected."""
    endpoints = [ScriptedEndpoint(never_answer) for _ in range(2)]
    async with run_forwarder(*endpoints) as harness:
        stream = await harness.connect()
        await stream.send_all(build_request('/quick/'))
        with trio.fail_after(2):
            while count_runs(*endpoints) < 2:
                await trio.sleep(0.01)
        await trio.aclose_forcefully(stream)
        with trio.fail_after(0.5):
            for each in endpoints:
                await each.closed.wait()


async def test_attempts_end_at_the_timeout_of_the_route() -> None:
    """Guards against callers that get no answer at the timeout while several attempts run."""
    endpoints = [ScriptedEndpoint(never_answer) for _ in range(2)]
    async with run_forwarder(*endpoints) as harness:
        began_at = trio.current_time()
        got = await harness.make_request('/quick/', extra='X-Deadline-Ms: 500\r\n')
        took_s = trio.current_time() - began_at
    assert got.status == 504
    assert took_s * 1000 < 900


async def test_stream_is_not_joined_from_two_runs() -> None:
    """Guards against a stream of events of an attempt that was given up, and of its successor."""
    slow = ScriptedEndpoint(stream_after(SLOW_S, 'slow'))
    quick = ScriptedEndpoint(stream_after(0.35, 'quick'))
    async with run_forwarder(slow, quick) as harness:
        got = await harness.make_request('/live/')
    assert (got.status, got.is_complete) == (200, True)
    events = [b'id: %d' % number for number in range(1, 4)]
    assert [each for each in got.body.split(b'\n') if each.startswith(b'id')] == events
    assert (b'slow' in got.body) is not (b'quick' in got.body)


async def test_stream_runs_at_one_endpoint_at_a_time() -> None:
    """Guards against a stream that holds two engines, of which one works in vain."""
    silent, quick = ScriptedEndpoint(never_answer), ScriptedEndpoint(stream_after(0.3, 'quick'))
    async with run_forwarder(silent, quick) as harness:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.make_request, '/live/')
            with trio.fail_after(2):
                while not quick.received:
                    await trio.sleep(0.01)
            with trio.fail_after(0.2):
                await silent.closed.wait()
    assert len(quick.received) == 1


@pytest.mark.parametrize('script', [refuse, close_unanswered])
async def test_replaced_endpoint_is_tried_again_if_no_other_serves(script: Script) -> None:
    """Guards against a stream that gets no answer since the endpoint that replaced a sound one failed."""
    slow, other = ScriptedEndpoint(stream_after(0.3, 'slow')), ScriptedEndpoint(script)
    async with run_forwarder(slow, other) as harness:
        got = await harness.make_request('/live/')
    assert (got.status, got.is_complete) == (200, True)
    assert (len(slow.received), len(other.received)) == (2, 1)


async def test_endpoints_of_an_even_pace_are_not_avoided(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against sound endpoints that are left out since all need long."""
    # A busy machine may stand still for longer than the usual timeout of the routes.
    patient = _harness.route('quick', RouteKind.SAFE, latency_objective_ms=50, timeout_ms=20_000)
    monkeypatch.setattr(_harness, 'ROUTES', (patient,))
    endpoints = [ScriptedEndpoint(serve_after(0.2)) for _ in range(3)]
    async with run_forwarder(*endpoints) as harness:
        for number in range(12):
            got = await harness.make_request('/quick/', request_id=f'r-{number}')
            assert got.status == 200
        states = [harness.forwarder.directory.find(each) for each in ('e-0', 'e-1', 'e-2')]
    assert all(state is not None and state.avoided_until < 0 for state in states)


@pytest.mark.parametrize('path', ['/quick/', '/live/'])
async def test_slow_fleet_costs_few_repeats(path: str) -> None:
    """Guards against a retry budget that is spent on repeats which are no sooner than the first run."""
    script = serve_after(0.2) if path == '/quick/' else stream_after(0.2, 'x')
    endpoints = [ScriptedEndpoint(script) for _ in range(3)]
    async with run_forwarder(*endpoints) as harness:
        for number in range(12):
            got = await harness.make_request(path, request_id=f'r-{number}')
            assert (got.status, got.is_complete) == (200, True)
    # The usual time is known after the first answer, to which further attempts may contribute.
    assert count_runs(*endpoints) <= 12 + 2


async def test_silent_endpoint_is_found() -> None:
    """Guards against a dead endpoint that goes on getting its share of the requests."""
    silent = ScriptedEndpoint(never_answer)
    sound = [ScriptedEndpoint(serve_after(0)) for _ in range(2)]
    async with run_forwarder(silent, *sound) as harness:
        for number in range(8):
            got = await harness.make_request('/quick/', request_id=f'r-{number}')
            assert got.status == 200
        state = harness.forwarder.directory.find('e-0')
    assert state is not None
    assert not state.is_available(trio.current_time())
    assert len(silent.received) == 3


async def test_busy_endpoint_is_not_taken_for_a_failing_one() -> None:
    """Guards against an endpoint that is left out though it answers others meanwhile."""

    async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        if received.target != b'/once/':
            await trio.sleep(1)
        await stream.send_all(answer(received, b'slow'))
        return True

    busy, quick = ScriptedEndpoint(serve), ScriptedEndpoint(serve_after(0, b'quick'))
    async with run_forwarder(busy, quick) as harness:
        other = await harness.connect()
        async with other:
            for number in range(5):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(harness.make_request, '/quick/')
                    await trio.sleep(0.05)
                    await other.send_all(build_request('/once/', request_id=f'o-{number}'))
                    assert (await read_answer(other)).status == 200
        state = harness.forwarder.directory.find('e-0')
    assert state is not None
    assert (state.failures, state.avoided_until < 0) == (0, True)


@pytest.mark.parametrize(
    ('path', 'budget', 'decisions'),
    [
        ('/quick/', None, [('beside', 'e-1'), ('awaited', None)]),
        ('/quick/', SPENT, [('awaited', None)]),
        ('/live/', None, [('replaced', None), ('awaited', None)]),
    ],
)
async def test_decisions_about_silent_attempts_are_logged(
    path: str, budget: RetryBudgetLimits | None, decisions: list[tuple[str, str | None]]
) -> None:
    """Guards against a repeat, a replaced attempt or a wait of which the log does not tell."""
    script = serve_after(SLOW_S) if path == '/quick/' else stream_after(SLOW_S, 'x')
    endpoints = [ScriptedEndpoint(script) for _ in range(2)]
    lines: list[dict[str, object]] = []
    add_destinations(lines.append)
    # The first destination also gets the lines that were written before it was added.
    lines.clear()
    try:
        async with run_forwarder(*endpoints, budget=budget) as harness:
            await harness.make_request(path, request_id='logged')
    finally:
        remove_destination(lines.append)
    logged = [each for each in lines if each['message_type'] == 'shallotmux:attempt-silent']
    assert [(each['decision'], each['added']) for each in logged] == decisions
    assert logged[0]['endpoints'] == ['e-0']


@pytest.mark.parametrize(
    ('waited_s', 'took_s', 'answered_s_ago', 'failures'),
    [(0.4, 0.2, 5, 1), (0.4, 0.3, 5, 0), (1.3, 1, 5, 1), (1, 1.2, 5, 0), (0.4, 0.1, 0.1, 0)],
)
async def test_silence_is_judged_by_the_pace_of_others(
    waited_s: float, took_s: float, answered_s_ago: float, failures: int
) -> None:
    """Guards against slow endpoints that are left out, and dead ones that are not."""
    async with run_forwarder(ScriptedEndpoint(never_answer)) as harness:
        directory = harness.forwarder.directory
        state = directory.find('e-0')
        assert state is not None
        now = trio.current_time()
        state.answered_at = now - answered_s_ago
        directory.record_overtaken(SilentAttempt('e-0', now - waited_s, waited_s), took_s)
    assert state.failures == failures


async def test_attempt_that_ends_as_its_timeout_expires_is_over(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a decision about an attempt that ended in the same scheduler step."""
    decided_among: list[int] = []
    monkeypatch.setattr(
        _Attempts, '_act_on_silence', lambda each: decided_among.append(len(each.running))
    )
    for _ in range(40):
        attempts = _Attempts(make_job(RecordingReply()), cast(AttemptSupervisor, None))
        target = Target(EndpointState(ListedEndpoint('e-0', 'desk', '127.0.0.1:1', 'a', 4)))
        attempts._add(target)  # noqa: SLF001

        async def end_attempt(ended: _Attempts = attempts) -> None:
            await trio.sleep(1)
            ended.running.clear()
            ended.has_ended.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(end_attempt)
            assert await attempts._wait(1) is None  # noqa: SLF001
    assert 0 not in decided_among
