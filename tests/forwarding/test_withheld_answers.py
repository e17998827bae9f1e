"""Tests of error answers that are withheld from callers in favour of another endpoint's answer."""

from __future__ import annotations

import pytest
import trio

from shallotmux.forwarding import RetryBudgetLimits
from tests.forwarding._harness import (
    NAMES,
    ReceivedAnswer,
    ReceivedRequest,
    Script,
    ScriptedEndpoint,
    answer,
    run_forwarder,
)

SPENT = RetryBudgetLimits(ratio=0, slack=0, window_s=10)

#: Body of an error that is not read ahead as a whole.
LONG_BODY = 100_000 * b'x'


def fail_with(body: bytes) -> Script:
    """Return a script that answers 500."""

    async def fail(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        await stream.send_all(answer(received, body, status=500, extra=b'X-Stamp: s\r\n'))
        return True

    return fail


async def fail_slowly(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer 500, the last byte after a while."""
    content = answer(received, b'oops', status=500, extra=b'X-Stamp: s\r\n')
    await stream.send_all(content[:-1])
    await trio.sleep(0.5)
    await stream.send_all(content[-1:])
    return True


async def refuse(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Refuse a request without running it."""
    extra = b'%s: 1\r\n' % NAMES.not_run
    await stream.send_all(answer(received, b'full', status=503, extra=extra))
    return True


async def refuse_unmarked(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer 503 without proof that the request did not run."""
    await stream.send_all(answer(received, b'busy', status=503))
    return True


async def close_unanswered(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Close the connection without an answer."""
    return False


async def never_answer(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer nothing until the connection is closed."""
    await stream.receive_some()
    return False


async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Send a valid answer."""
    await stream.send_all(answer(received))
    return True


def is_failure_of_endpoint(got: ReceivedAnswer, body: bytes = b'oops') -> bool:
    """Return whether an answer is the whole error of an endpoint."""
    stamp = got.headers.get(b'x-stamp')
    return (got.status, got.body, stamp, got.is_complete) == (500, body, b's', True)


@pytest.mark.parametrize('path', ['/safe/', '/quick/', '/resume/'])
@pytest.mark.parametrize('body', [b'oops', LONG_BODY])
@pytest.mark.parametrize('others', [0, 1])
async def test_error_is_delivered_once_the_budget_is_spent(
    path: str, body: bytes, others: int
) -> None:
    """Guards against an endpoint's error that is replaced by one of our own, without a retry."""
    endpoints = [ScriptedEndpoint(fail_with(body)) for _ in range(1 + others)]
    async with run_forwarder(*endpoints, budget=SPENT) as harness:
        got = await harness.make_request(path)
    assert is_failure_of_endpoint(got, body)
    assert sum(len(each.received) for each in endpoints) == 1


@pytest.mark.parametrize('path', ['/safe/', '/quick/', '/resume/'])
async def test_slow_error_is_delivered_once_the_budget_is_spent(path: str) -> None:
    """Guards against an endpoint's error that is lost since it could not be read at once."""
    async with run_forwarder(ScriptedEndpoint(fail_slowly), budget=SPENT) as harness:
        got = await harness.make_request(path)
    assert is_failure_of_endpoint(got)


@pytest.mark.parametrize('path', ['/safe/', '/resume/'])
async def test_error_of_the_only_endpoint_is_delivered(path: str) -> None:
    """Guards against an endpoint's error that is replaced by our own as no other endpoint is left."""
    async with run_forwarder(ScriptedEndpoint(fail_with(b'oops'))) as harness:
        got = await harness.make_request(path)
    assert is_failure_of_endpoint(got)


@pytest.mark.parametrize('script', [refuse, refuse_unmarked, close_unanswered])
@pytest.mark.parametrize('path', ['/safe/', '/resume/'])
async def test_error_is_delivered_if_the_retry_fails(script: Script, path: str) -> None:
    """Guards against an endpoint's error that is replaced by our own as the retry failed."""
    first, second = ScriptedEndpoint(fail_with(b'oops')), ScriptedEndpoint(script)
    async with run_forwarder(first, second) as harness:
        got = await harness.make_request(path)
    assert is_failure_of_endpoint(got)
    assert (len(first.received), len(second.received)) == (1, 1)


async def test_error_is_delivered_if_the_retry_outlasts_the_timeout() -> None:
    """Guards against an endpoint's error that is replaced by our own at the timeout."""
    first, second = ScriptedEndpoint(fail_with(b'oops')), ScriptedEndpoint(never_answer)
    async with run_forwarder(first, second) as harness:
        got = await harness.make_request('/safe/', extra='X-Deadline-Ms: 300\r\n')
    assert is_failure_of_endpoint(got)


@pytest.mark.parametrize('script', [fail_with(b'oops'), fail_with(LONG_BODY), fail_slowly])
async def test_better_answer_comes_first(script: Script) -> None:
    """Guards against errors to callers while another endpoint serves."""
    first, second = ScriptedEndpoint(script), ScriptedEndpoint(serve)
    async with run_forwarder(first, second) as harness:
        got = await harness.make_request('/safe/')
    assert (got.status, got.body) == (200, b'done')
