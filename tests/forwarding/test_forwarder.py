"""Tests of forwarding: headers and bodies, retries, refusals."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio

from shallotmux.crashes import CrashNews, CrashReport
from shallotmux.fleet import ListedEndpoint, Listing
from shallotmux.forwarding import AnswerHead, Forwarder, RetryBudgetLimits
from shallotmux.forwarding._attempt import AttemptControl
from shallotmux.forwarding._state import Target
from tests.forwarding._harness import (
    NAMES,
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    build_request,
    run_forwarder,
)
from tests.forwarding._jobs import RecordingReply, make_job


async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Send a valid answer."""
    await stream.send_all(answer(received))
    return True


async def close_unanswered(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Close the connection without an answer."""
    return False


async def refuse(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Refuse with the not-run header."""
    await stream.send_all(answer(received, b'full', status=503, extra=b'X-Not-Run: 1\r\n'))
    return True


async def refuse_unmarked(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer 503 without the not-run header."""
    await stream.send_all(answer(received, b'busy', status=503))
    return True


async def fail(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer 500."""
    await stream.send_all(answer(received, b'oops', status=500, extra=b'X-Stamp: s\r\n'))
    return True


async def never_answer(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Read the request and answer nothing."""
    await stream.receive_some()
    return False


async def test_request_passes_unchanged() -> None:
    """Guards against requests that are altered on the way to the endpoint."""
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        body = bytes(range(256)) * 200
        got = await harness.make_request('/once/a%20b?q=1&q=2', body=body, extra='X-Model: m\r\n')
    assert (got.status, got.body) == (200, b'done')
    received = endpoint.received[0]
    assert (received.method, received.target, received.body) == (
        b'POST',
        b'/once/a%20b?q=1&q=2',
        body,
    )
    assert received.headers[b'x-model'] == b'm'
    assert received.headers[NAMES.request_id] == b'r-1'
    assert received.headers[NAMES.expected_endpoint] == b'e-0'


async def test_endpoint_receives_the_customer_but_not_the_key() -> None:
    """Guards against keys that leak to endpoints, and customer headers that callers forge."""
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        await harness.make_request('/once/', extra='X-Customer: other\r\nX_Customer: other\r\n')
    received = endpoint.received[0]
    assert received.headers[NAMES.customer] == b'tailors'
    assert b'x_customer' not in received.headers
    assert b'authorization' not in received.headers
    assert harness.started_customers == ['tailors']


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/once/', 'wrong', 401), ('/once/', '', 401), ('/none/', 'k1', 404), ('/open/', '', 200)],
)
async def test_callers_need_a_route_and_a_key(path: str, key: str, status: int) -> None:
    """Guards against requests that run without a key, and open routes that ask for one."""
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        got = await harness.make_request(path, key=key)
    assert got.status == status
    assert len(endpoint.received) == (1 if status == 200 else 0)


async def test_remaining_time_is_passed_on() -> None:
    """Guards against endpoints that work on after the timeout of the caller or the route."""
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        await harness.make_request('/once/', extra='X-Deadline-Ms: 500\r\n')
        await harness.make_request('/once/', extra='X-Deadline-Ms: 90000\r\n')
        await harness.make_request('/once/')
    deadlines_ms = [int(each.headers[NAMES.deadline]) for each in endpoint.received]
    assert 0 < deadlines_ms[0] <= 500
    assert all(1000 < each <= 2000 for each in deadlines_ms[1:])


@pytest.mark.parametrize(('path', 'runs'), [('/once/', 1), ('/stream/', 1), ('/safe/', 2)])
async def test_only_repeatable_requests_run_again(path: str, runs: int) -> None:
    """Guards against a non-repeatable request that runs twice after its answer was lost."""
    first, second = ScriptedEndpoint(close_unanswered), ScriptedEndpoint(close_unanswered)
    async with run_forwarder(first, second) as harness:
        got = await harness.make_request(path)
    assert got.status == 502
    assert len(first.received) + len(second.received) == runs


async def test_marked_refusal_is_retried_elsewhere() -> None:
    """Guards against refusals to callers while another endpoint is free."""
    full, free = ScriptedEndpoint(refuse), ScriptedEndpoint(serve)
    async with run_forwarder(full, free) as harness:
        statuses = [
            (await harness.make_request('/once/', request_id=f'r-{number}')).status
            for number in range(4)
        ]
    assert set(statuses) == {200}
    assert len(free.received) == 4


async def test_refusal_everywhere_says_not_run() -> None:
    """Guards against refusals without the not-run status and the retry-after time."""
    async with run_forwarder(ScriptedEndpoint(refuse), ScriptedEndpoint(refuse)) as harness:
        got = await harness.make_request('/once/')
    assert got.status == 503
    assert float(got.headers[NAMES.retry_after]) > 0


@pytest.mark.parametrize('path', ['/once/', '/stream/'])
async def test_unmarked_refusal_is_not_passed_on_as_not_run(path: str) -> None:
    """Guards against a 503, which means "not run", for a request that may have run."""
    async with run_forwarder(ScriptedEndpoint(refuse_unmarked)) as harness:
        got = await harness.make_request(path)
    assert got.status == 502


async def test_failure_of_safe_request_is_retried_elsewhere() -> None:
    """Guards against errors to callers while another endpoint could answer."""
    failing, healthy = ScriptedEndpoint(fail), ScriptedEndpoint(serve)
    async with run_forwarder(failing, healthy) as harness:
        statuses = {
            (await harness.make_request('/safe/', request_id=f'r-{number}')).status
            for number in range(4)
        }
    assert statuses == {200}


async def test_last_failure_is_passed_on_unchanged() -> None:
    """Guards against an endpoint's answer that loses its status, body or headers."""
    async with run_forwarder(ScriptedEndpoint(fail)) as harness:
        got = await harness.make_request('/once/')
    assert (got.status, got.body, got.headers[b'x-stamp']) == (500, b'oops', b's')


async def test_exhausted_budget_stops_retries() -> None:
    """Guards against retries that multiply the load of an overloaded service."""
    first, second = ScriptedEndpoint(close_unanswered), ScriptedEndpoint(close_unanswered)
    budget = RetryBudgetLimits(ratio=0, slack=0, window_s=10)
    async with run_forwarder(first, second, budget=budget) as harness:
        got = await harness.make_request('/safe/')
    assert got.status == 502
    assert len(first.received) + len(second.received) == 1


async def test_slow_endpoint_is_replaced() -> None:
    """Guards against repeatable requests that wait for an unresponsive endpoint until the deadline."""
    unresponsive, healthy = ScriptedEndpoint(never_answer), ScriptedEndpoint(serve)
    async with run_forwarder(unresponsive, healthy) as harness:
        statuses = {
            (await harness.make_request('/quick/', request_id=f'r-{number}')).status
            for number in range(2)
        }
    assert statuses == {200}


async def test_timeout_ends_in_an_answer() -> None:
    """Guards against callers that wait beyond the timeout of their route."""
    async with run_forwarder(ScriptedEndpoint(never_answer)) as harness:
        began_at = trio.current_time()
        got = await harness.make_request('/short/')
        took_s = trio.current_time() - began_at
    assert got.status == 504
    assert took_s * 1000 < 500


async def test_work_is_cancelled_when_its_caller_disconnects() -> None:
    """Guards against endpoints that work for callers that have disconnected."""
    endpoint = ScriptedEndpoint(never_answer)
    async with run_forwarder(endpoint) as harness:
        stream = await harness.connect()
        await stream.send_all(build_request('/once/'))
        while not endpoint.received:
            await trio.sleep(0.001)
        await trio.aclose_forcefully(stream)
        with trio.fail_after(0.5):
            await endpoint.closed.wait()


async def test_unreachable_endpoint_is_proof_of_not_run() -> None:
    """Guards against errors for requests that were never sent and can be retried."""
    unreachable, healthy = ScriptedEndpoint(serve), ScriptedEndpoint(serve)
    async with run_forwarder(unreachable, healthy) as harness:
        state = harness.forwarder.directory.find('e-0')
        assert state is not None
        # Nothing listens on the reserved port 1 of the loopback.
        state.listed = ListedEndpoint('e-0', 'desk', '127.0.0.1:1', 'a', 4)
        statuses = {
            (await harness.make_request('/once/', request_id=f'r-{number}')).status
            for number in range(4)
        }
    assert statuses == {200}


class HeadAtTimeoutConnection:
    """A connection whose head arrives in the scheduler step in which the attempt is given up."""

    was_sent = True
    is_reusable = False
    received_at = float('-inf')

    def __init__(self, give_up: Callable[[], None]) -> None:
        self._give_up = give_up

    def begin(self, request: object) -> None:
        """Begin nothing."""

    async def send_request(self) -> None:
        """Send nothing."""
        await trio.lowlevel.checkpoint()

    async def receive_head(self) -> AnswerHead:
        """Return a head after the attempt was given up."""
        self._give_up()
        return AnswerHead(200, ())

    def close(self) -> None:
        """Close nothing."""


class AcquireStub:
    """Replaces ``acquire`` of a pool."""

    def __init__(self, connection: HeadAtTimeoutConnection) -> None:
        self._connection = connection

    async def __call__(self, *wanted: object) -> HeadAtTimeoutConnection:
        """Return the connection."""
        await trio.lowlevel.checkpoint()
        return self._connection


@pytest.mark.parametrize('by', ['its owner', 'the reach monitor'])
async def test_answer_at_timeout_is_not_mixed_with_another(
    by: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a mix of two answers.

    The head arrived in the step in which the attempt was given up, so the first answer was started while
    another endpoint was tried.
    """
    control = AttemptControl()
    reply = RecordingReply()
    async with run_forwarder(ScriptedEndpoint(serve)) as harness:
        state = harness.forwarder.directory.find('e-0')
        assert state is not None

        def give_up() -> None:
            scopes = [each.scope for each in state.in_progress]
            for scope in [control.scope] if by == 'its owner' else scopes:
                scope.cancel()

        monkeypatch.setattr(harness.pool, 'acquire', AcquireStub(HeadAtTimeoutConnection(give_up)))
        with control.scope:
            result = await harness.forwarder.runner.run(make_job(reply), Target(state), control)
            assert not result.is_delivered
    assert control.scope.cancelled_caught is (by == 'its owner')
    assert not reply.is_started


async def test_pipelined_requests_are_answered_in_order() -> None:
    """Guards against answers that belong to another request on the same connection."""

    async def echo(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await stream.send_all(answer(received, received.headers[NAMES.request_id]))
        return True

    async with run_forwarder(ScriptedEndpoint(echo)) as harness:
        stream = await harness.connect()
        async with stream:
            requests = (build_request('/once/', request_id=f'r-{number}') for number in range(3))
            await stream.send_all(b''.join(requests))
            for number in range(3):
                content = b''
                while f'r-{number}'.encode() not in content:
                    content += await stream.receive_some()


async def test_handler_exception_ends_only_its_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an exception in one request that ends the process."""

    async def fail_once(*taken: object) -> None:
        monkeypatch.undo()
        raise KeyError('fault')

    async with run_forwarder(ScriptedEndpoint(serve)) as harness:
        monkeypatch.setattr(Forwarder, '_run', fail_once)
        failed = await harness.make_request('/once/')
        assert (failed.status, failed.is_complete) == (502, True)
        assert (await harness.make_request('/once/')).status == 200


async def test_finished_requests_are_counted() -> None:
    """Guards against metrics that count only failures."""
    async with run_forwarder(ScriptedEndpoint(serve)) as harness:
        await harness.make_request('/once/')
        await harness.make_request('/none/')
        registry = harness.forwarder.metrics.registry
        served = {'route': 'once', 'status': '200'}
        assert registry.get_sample_value('shallotmux_forwarded_total', served) == 1
        refused = {'route': '', 'status': '404'}
        assert registry.get_sample_value('shallotmux_forwarded_total', refused) == 1
        seconds = registry.get_sample_value('shallotmux_first_byte_seconds_sum', {'route': 'once'})
        assert seconds


async def test_request_that_crashes_endpoints_is_not_sent_on() -> None:
    """Guards against a request that crashes one endpoint after another."""
    endpoints = [ScriptedEndpoint(close_on_bad_body) for _ in range(6)]
    async with run_forwarder(*endpoints) as harness:
        bad = [
            await harness.make_request('/safe/x', body=b'bad', request_id=f'r-{number}')
            for number in range(6)
        ]
        good = await harness.make_request('/safe/x', body=b'good', request_id='r-9')
    assert [each.status for each in bad[-2:]] == [503, 503]
    assert good.status == 200
    crashed = [
        each for each in endpoints if any(received.body == b'bad' for received in each.received)
    ]
    assert len(crashed) == 3


async def test_crashes_reported_by_other_instances_count() -> None:
    """Guards against instances that count only the crashes they saw themselves."""
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        job = make_job(RecordingReply())
        job.customer = 'tailors'
        reports = tuple(CrashReport(job.fingerprint(), number, 1.0 + number) for number in range(3))
        harness.forwarder.directory.crashes.merge(CrashNews(crashes=reports))
        refused = await harness.make_request('/resume/', body=b'')
        served = await harness.make_request('/resume/', body=b'other')
    assert (refused.status, served.status) == (503, 200)
    assert len(endpoint.received) == 1


async def close_on_bad_body(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Close the connection without an answer if the body is ``bad``."""
    if received.body == b'bad':
        # Crashes in quick succession would count as one with a shared cause.
        await trio.sleep(0.15)
        return False
    return await serve(stream, received)


async def test_unreachable_endpoint_costs_no_retry() -> None:
    """Guards against connect failures that use up the retry budget."""
    endpoint = ScriptedEndpoint(serve)
    budget = RetryBudgetLimits(ratio=0, slack=0, window_s=60)
    async with run_forwarder(endpoint, budget=budget) as harness:
        unreachable = ListedEndpoint('e-gone', 'desk', '127.0.0.1:1', 'a', 4)
        reachable = ListedEndpoint('e-0', 'desk', endpoint.address, 'b', 4)
        harness.forwarder.directory.update_listing(Listing((unreachable, reachable)))
        got = await harness.make_request('/once/')
        state = harness.forwarder.directory.find('e-gone')
        assert state is not None
        assert not state.is_available(trio.current_time())
    assert got.status == 200
