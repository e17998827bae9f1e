"""Tests of forwarding: what passes through, what is repeated, what callers are told."""

from __future__ import annotations

import pytest
import trio

from shallotmux.fleet import CrashNews, CrashReport, ListedEndpoint, Listing
from shallotmux.forwarding import AnswerHead, BudgetBounds, Forwarder
from shallotmux.forwarding._state import Target
from tests.forwarding._jobs import RecordedReply, make_job
from tests.forwarding._stage import (
    NAMES,
    ScriptedEndpoint,
    Seen,
    answer,
    build_request,
    read_answer,
    run_stage,
)


async def serve(stream: trio.SocketStream, seen: Seen) -> bool:
    """Answer properly."""
    await stream.send_all(answer(seen))
    return True


async def hang_up(stream: trio.SocketStream, seen: Seen) -> bool:
    """Close the connection without an answer."""
    return False


async def refuse(stream: trio.SocketStream, seen: Seen) -> bool:
    """Say that the request did not run."""
    await stream.send_all(answer(seen, b'full', status=503, extra=b'X-Not-Run: 1\r\n'))
    return True


async def refuse_unmarked(stream: trio.SocketStream, seen: Seen) -> bool:
    """Answer 503 without a word on whether the request ran."""
    await stream.send_all(answer(seen, b'busy', status=503))
    return True


async def fail(stream: trio.SocketStream, seen: Seen) -> bool:
    """Run the request and fail."""
    await stream.send_all(answer(seen, b'oops', status=500, extra=b'X-Stamp: s\r\n'))
    return True


async def stay_silent(stream: trio.SocketStream, seen: Seen) -> bool:
    """Read the request and answer nothing."""
    await stream.receive_some()
    return False


async def test_request_passes_unchanged() -> None:
    """Guards against endpoints that run another request than the caller's."""
    endpoint = ScriptedEndpoint(serve)
    async with run_stage(endpoint) as stage:
        body = bytes(range(256)) * 200
        got = await stage.ask('/once/a%20b?q=1&q=2', body=body, extra='X-Model: m\r\n')
    assert (got.status, got.body) == (200, b'done')
    seen = endpoint.seen[0]
    assert (seen.method, seen.target, seen.body) == (b'POST', b'/once/a%20b?q=1&q=2', body)
    assert seen.headers[b'x-model'] == b'm'
    assert seen.headers[NAMES.request_id] == b'r-1'
    assert seen.headers[NAMES.expected_endpoint] == b'e-0'


async def test_endpoint_learns_the_customer_and_not_the_key() -> None:
    """Guards against keys that reach endpoints, and customers that callers choose."""
    endpoint = ScriptedEndpoint(serve)
    async with run_stage(endpoint) as stage:
        await stage.ask('/once/', extra='X-Customer: other\r\nX_Customer: other\r\n')
    seen = endpoint.seen[0]
    assert seen.headers[NAMES.customer] == b'tailors'
    assert b'x_customer' not in seen.headers
    assert b'authorization' not in seen.headers
    assert stage.begun == ['tailors']


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [('/once/', 'wrong', 401), ('/once/', '', 401), ('/none/', 'k1', 404), ('/open/', '', 200)],
)
async def test_callers_need_a_route_and_a_key(path: str, key: str, status: int) -> None:
    """Guards against requests that run without a key, and open routes that ask for one."""
    endpoint = ScriptedEndpoint(serve)
    async with run_stage(endpoint) as stage:
        got = await stage.ask(path, key=key)
    assert got.status == status
    assert len(endpoint.seen) == (1 if status == 200 else 0)


async def test_remaining_time_is_passed_on() -> None:
    """Guards against endpoints that work on after the caller or the route has given up."""
    endpoint = ScriptedEndpoint(serve)
    async with run_stage(endpoint) as stage:
        await stage.ask('/once/', extra='X-Deadline-Ms: 500\r\n')
        await stage.ask('/once/', extra='X-Deadline-Ms: 90000\r\n')
        await stage.ask('/once/')
    told = [int(each.headers[NAMES.deadline]) for each in endpoint.seen]
    assert 0 < told[0] <= 500
    assert all(1000 < each <= 2000 for each in told[1:])


@pytest.mark.parametrize(('path', 'runs'), [('/once/', 1), ('/stream/', 1), ('/safe/', 2)])
async def test_only_repeatable_requests_run_again(path: str, runs: int) -> None:
    """Guards against a booking that runs twice after its answer was lost."""
    first, second = ScriptedEndpoint(hang_up), ScriptedEndpoint(hang_up)
    async with run_stage(first, second) as stage:
        got = await stage.ask(path)
    assert got.status == 502
    assert len(first.seen) + len(second.seen) == runs


async def test_proven_refusal_is_tried_elsewhere() -> None:
    """Guards against refused requests while another endpoint is free."""
    full, free = ScriptedEndpoint(refuse), ScriptedEndpoint(serve)
    async with run_stage(full, free) as stage:
        statuses = [
            (await stage.ask('/once/', request_id=f'r-{number}')).status for number in range(4)
        ]
    assert set(statuses) == {200}
    assert len(free.seen) == 4


async def test_refusal_everywhere_says_not_run() -> None:
    """Guards against refusals without the promise and the time that callers need to come back."""
    async with run_stage(ScriptedEndpoint(refuse), ScriptedEndpoint(refuse)) as stage:
        got = await stage.ask('/once/')
    assert got.status == 503
    assert float(got.headers[NAMES.retry_after]) > 0


@pytest.mark.parametrize('path', ['/once/', '/stream/'])
async def test_unmarked_refusal_is_not_passed_on_as_promise(path: str) -> None:
    """Guards against a 503 to a caller whose request may have run."""
    async with run_stage(ScriptedEndpoint(refuse_unmarked)) as stage:
        got = await stage.ask(path)
    assert got.status == 502


async def test_failure_of_safe_request_is_tried_elsewhere() -> None:
    """Guards against failures that another endpoint could have mended."""
    broken, sound = ScriptedEndpoint(fail), ScriptedEndpoint(serve)
    async with run_stage(broken, sound) as stage:
        statuses = {
            (await stage.ask('/safe/', request_id=f'r-{number}')).status for number in range(4)
        }
    assert statuses == {200}


async def test_last_failure_is_passed_on_unchanged() -> None:
    """Guards against an endpoint's answer that loses its status, body or headers."""
    async with run_stage(ScriptedEndpoint(fail)) as stage:
        got = await stage.ask('/once/')
    assert (got.status, got.body, got.headers[b'x-stamp']) == (500, b'oops', b's')


async def test_spent_budget_stops_repeats() -> None:
    """Guards against repeats that multiply the load of a struggling service."""
    first, second = ScriptedEndpoint(hang_up), ScriptedEndpoint(hang_up)
    budget = BudgetBounds(ratio=0, slack=0, window_s=10)
    async with run_stage(first, second, budget=budget) as stage:
        got = await stage.ask('/safe/')
    assert got.status == 502
    assert len(first.seen) + len(second.seen) == 1


async def test_slow_endpoint_is_left_for_another() -> None:
    """Guards against repeatable requests that wait for a silent endpoint until their deadline."""
    silent, sound = ScriptedEndpoint(stay_silent), ScriptedEndpoint(serve)
    async with run_stage(silent, sound) as stage:
        statuses = {
            (await stage.ask('/quick/', request_id=f'r-{number}')).status for number in range(2)
        }
    assert statuses == {200}


async def test_timeout_ends_in_an_answer() -> None:
    """Guards against callers that wait beyond the timeout of their route."""
    async with run_stage(ScriptedEndpoint(stay_silent)) as stage:
        began_at = trio.current_time()
        got = await stage.ask('/short/')
        took_s = trio.current_time() - began_at
    assert got.status == 504
    assert took_s * 1000 < 500


async def test_work_ends_when_its_caller_leaves() -> None:
    """Guards against endpoints that work for callers who are gone."""
    endpoint = ScriptedEndpoint(stay_silent)
    async with run_stage(endpoint) as stage:
        stream = await stage.connect()
        await stream.send_all(build_request('/once/'))
        while not endpoint.seen:
            await trio.sleep(0.001)
        await trio.aclose_forcefully(stream)
        with trio.fail_after(0.5):
            await endpoint.closed.wait()


async def test_unreachable_endpoint_is_proof_of_not_run() -> None:
    """Guards against requests that are lost though they were never sent."""
    gone, sound = ScriptedEndpoint(serve), ScriptedEndpoint(serve)
    async with run_stage(gone, sound) as stage:
        state = stage.forwarder.directory.find('e-0')
        assert state is not None
        # Nothing listens on the reserved port 1 of the loopback.
        state.listed = ListedEndpoint('e-0', 'desk', '127.0.0.1:1', 'a', 4)
        statuses = {
            (await stage.ask('/once/', request_id=f'r-{number}')).status for number in range(4)
        }
    assert statuses == {200}


class TimelyConnection:
    """A connection whose head arrives in the same turn in which the patience ends."""

    was_sent = True
    is_reusable = False

    def __init__(self, waiting: trio.CancelScope) -> None:
        self._waiting = waiting

    async def send_request(self, request: object) -> None:
        """Send nothing."""
        await trio.lowlevel.checkpoint()

    async def receive_head(self) -> AnswerHead:
        """Return a head after the time was up."""
        self._waiting.cancel()
        return AnswerHead(200, ())

    def close(self) -> None:
        """Close nothing."""


class TakeOne:
    """Stands in for a pool's ``take``."""

    def __init__(self, connection: TimelyConnection) -> None:
        self._connection = connection

    async def __call__(self, *wanted: object) -> TimelyConnection:
        """Return the connection."""
        await trio.lowlevel.checkpoint()
        return self._connection


async def test_answer_after_patience_is_not_mixed_with_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against parts of a second answer without a head: MIXED on kockica-mux quiet-1."""
    waiting = trio.CancelScope()
    reply = RecordedReply()
    async with run_stage(ScriptedEndpoint(serve)) as stage:
        state = stage.forwarder.directory.find('e-0')
        assert state is not None
        monkeypatch.setattr(stage.pool, 'take', TakeOne(TimelyConnection(waiting)))
        with waiting:
            await stage.forwarder.runner.run(make_job(reply), Target(state), waiting)
    assert waiting.cancelled_caught
    assert not reply.is_started


async def test_pipelined_requests_are_answered_in_order() -> None:
    """Guards against answers that belong to another request on the same connection."""

    async def echo(stream: trio.SocketStream, seen: Seen) -> bool:
        await stream.send_all(answer(seen, seen.headers[NAMES.request_id]))
        return True

    async with run_stage(ScriptedEndpoint(echo)) as stage:
        stream = await stage.connect()
        async with stream:
            requests = (build_request('/once/', request_id=f'r-{number}') for number in range(3))
            await stream.send_all(b''.join(requests))
            for number in range(3):
                content = b''
                while f'r-{number}'.encode() not in content:
                    content += await stream.receive_some()


async def test_caller_of_draining_instance_is_told_to_leave() -> None:
    """Guards against callers that keep their connection to an instance that ends."""
    async with run_stage(ScriptedEndpoint(serve)) as stage:
        stage.listener.drain()
        got = await stage.ask('/once/')
        assert got.status == 200
        assert got.headers[b'connection'] == b'close'
        stage.listener.close_idle()
        with pytest.raises(OSError, match='all attempts to connect'):
            await stage.connect()


async def test_open_request_outlives_the_listener() -> None:
    """Guards against requests that a planned stop cuts."""
    release = trio.Event()

    async def wait(stream: trio.SocketStream, seen: Seen) -> bool:
        await release.wait()
        return await serve(stream, seen)

    endpoint = ScriptedEndpoint(wait)
    async with run_stage(endpoint) as stage:
        stream = await stage.connect()
        await stream.send_all(build_request('/once/'))
        while not endpoint.seen:
            await trio.sleep(0.001)
        stage.listener.drain()
        stage.listener.close_idle()
        release.set()
        got = await read_answer(stream)
        assert (got.status, got.is_complete) == (200, True)


async def test_fault_of_a_handler_ends_only_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a fault in one request that ends the process and all others."""

    async def fail_once(*taken: object) -> None:
        monkeypatch.undo()
        raise KeyError('fault')

    async with run_stage(ScriptedEndpoint(serve)) as stage:
        monkeypatch.setattr(Forwarder, '_run', fail_once)
        broken = await stage.ask('/once/')
        assert not broken.is_complete
        assert (await stage.ask('/once/')).status == 200


async def test_finished_requests_are_counted() -> None:
    """Guards against metrics that show failures alone."""
    async with run_stage(ScriptedEndpoint(serve)) as stage:
        await stage.ask('/once/')
        await stage.ask('/none/')
        registry = stage.forwarder.metrics.registry
        served = {'route': 'once', 'status': '200'}
        assert registry.get_sample_value('shallotmux_forwarded_total', served) == 1
        refused = {'route': '', 'status': '404'}
        assert registry.get_sample_value('shallotmux_forwarded_total', refused) == 1
        seconds = registry.get_sample_value('shallotmux_first_byte_seconds_sum', {'route': 'once'})
        assert seconds


async def test_request_that_crashes_endpoints_is_not_sent_on() -> None:
    """Guards against a request that takes down one endpoint after the other."""
    endpoints = [ScriptedEndpoint(crash_at_bad_body) for _ in range(6)]
    async with run_stage(*endpoints) as stage:
        bad = [
            await stage.ask('/safe/x', body=b'bad', request_id=f'r-{number}') for number in range(6)
        ]
        good = await stage.ask('/safe/x', body=b'good', request_id='r-9')
    assert [each.status for each in bad[-2:]] == [503, 503]
    assert good.status == 200
    crashed = [each for each in endpoints if any(seen.body == b'bad' for seen in each.seen)]
    assert len(crashed) == 3


async def test_crashes_seen_elsewhere_keep_a_request_from_endpoints() -> None:
    """Guards against instances that learn only from their own endpoints' crashes."""
    endpoint = ScriptedEndpoint(serve)
    async with run_stage(endpoint) as stage:
        job = make_job(RecordedReply())
        job.customer = 'tailors'
        reports = tuple(CrashReport(job.fingerprint(), number, 1.0) for number in range(3))
        stage.forwarder.directory.crashes.merge(CrashNews(reports))
        refused = await stage.ask('/resume/', body=b'')
        served = await stage.ask('/resume/', body=b'other')
    assert (refused.status, served.status) == (503, 200)
    assert len(endpoint.seen) == 1


async def crash_at_bad_body(stream: trio.SocketStream, seen: Seen) -> bool:
    """Break off when the body is bad."""
    if seen.body == b'bad':
        return False
    return await serve(stream, seen)


async def test_endpoint_that_cannot_be_reached_costs_no_repeat() -> None:
    """Guards against budgets spent on calls that reached nobody: hornknap-drift scale-2."""
    endpoint = ScriptedEndpoint(serve)
    budget = BudgetBounds(ratio=0, slack=0, window_s=60)
    async with run_stage(endpoint, budget=budget) as stage:
        gone = ListedEndpoint('e-gone', 'desk', '127.0.0.1:1', 'a', 4)
        here = ListedEndpoint('e-0', 'desk', endpoint.address, 'b', 4)
        stage.forwarder.directory.update_listing(Listing((gone, here)))
        got = await stage.ask('/once/')
        state = stage.forwarder.directory.find('e-gone')
        assert state is not None
        assert not state.is_sound(trio.current_time())
    assert got.status == 200
