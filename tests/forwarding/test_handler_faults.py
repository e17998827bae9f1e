"""Tests of unexpected exceptions in the course of a request, and of what follows an error."""

from __future__ import annotations

import pytest
import trio

from shallotmux.forwarding import EndpointDirectory
from shallotmux.forwarding._attempt import AttemptRunner
from tests.forwarding._harness import (
    NAMES,
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    build_request,
    read_answer,
    run_forwarder,
)


async def serve(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Send a valid answer."""
    await stream.send_all(answer(received))
    return True


def fail(*_: object) -> None:
    """Raise an error that nobody expects."""
    raise OverflowError('int too large to convert to float')


@pytest.mark.parametrize('path', ['/once/', '/quick/', '/safe/', '/stream/', '/resume/'])
@pytest.mark.parametrize('is_sent', [True, False])
async def test_unexpected_exception_ends_in_an_answer(
    path: str, monkeypatch: pytest.MonkeyPatch, *, is_sent: bool
) -> None:
    """Guards against a kept connection that is closed without an answer, and a false "not run"."""
    endpoint = ScriptedEndpoint(serve)
    async with run_forwarder(endpoint) as harness:
        stream = await harness.connect()
        async with stream:
            with monkeypatch.context() as patch:
                if is_sent:
                    patch.setattr(AttemptRunner, '_record_run_started', fail)
                    patch.setattr(EndpointDirectory, 'record_head', fail)
                else:
                    patch.setattr(EndpointDirectory, 'usable', fail)
                await stream.send_all(build_request(path))
                got = await read_answer(stream)
            await stream.send_all(build_request('/once/', request_id='r-2'))
            later = await read_answer(stream)
    assert (got.status, got.is_complete) == (502 if is_sent else 503, True)
    assert (NAMES.retry_after in got.headers) is not is_sent
    assert later.status == 200


@pytest.mark.parametrize('path', ['/once/', '/safe/', '/quick/', '/stream/'])
async def test_request_behind_a_failed_one_is_answered(path: str) -> None:
    """Guards against a kept connection that is closed after an error, with a request behind it."""

    async def fail_first(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
        if received.headers[NAMES.request_id] == b'r-1':
            return False
        return await serve(stream, received)

    endpoint = ScriptedEndpoint(fail_first)
    async with run_forwarder(endpoint) as harness:
        stream = await harness.connect()
        async with stream:
            requests = (build_request(path), build_request('/once/', request_id='r-2'))
            await stream.send_all(b''.join(requests))
            content = b''
            with trio.fail_after(3):
                while not content.endswith(b'done'):
                    more = await stream.receive_some()
                    assert more
                    content += more
    assert content.startswith(b'HTTP/1.1 502')
    assert content.count(b'HTTP/1.1 200') == 1
