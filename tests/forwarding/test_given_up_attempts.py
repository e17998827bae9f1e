"""Tests of attempts that are given up after their answer has begun, as their service is out of reach."""

from __future__ import annotations

from typing import cast

import pytest
import trio

from shallotmux.forwarding import AnswerHead
from shallotmux.forwarding._endpoint import EndpointConnection
from shallotmux.forwarding._relay import AnswerRelay, BufferedStart
from shallotmux.forwarding._state import InFlightWork
from tests.forwarding._harness import (
    ReceivedRequest,
    ScriptedEndpoint,
    answer,
    build_request,
    run_forwarder,
)
from tests.forwarding._jobs import RecordingReply, make_job
from tests.forwarding._streams import END, STREAM_HEAD, event, parse_body, read_until

HEAD = AnswerHead(
    200, ((b'content-type', b'text/event-stream'), (b'transfer-encoding', b'chunked'))
)


class YieldingReply(RecordingReply):
    """A reply that takes a part as a connection does, unless its task is cancelled."""

    async def send_part(self, content: bytes) -> None:
        """Record a part."""
        await trio.lowlevel.checkpoint()
        await super().send_part(content)


class PartAtGivingUp:
    """A connection of which the second part arrives in the step in which the attempt is given up."""

    peer = 'e-0'

    def __init__(self, scope: trio.CancelScope) -> None:
        self._scope = scope
        self._number = 0

    async def receive_part(self) -> bytes:
        """Return the next event."""
        self._number += 1
        if self._number == 2:
            self._scope.cancel()
        return b'id: %d\ndata: x\n\n' % self._number


async def ignore_events(_: object) -> None:
    """Record nothing."""
    await trio.lowlevel.checkpoint()


async def test_event_that_arrives_as_its_attempt_is_given_up_is_not_missing() -> None:
    """Guards against a resumed stream that lacks the event which arrived as its attempt was given up."""
    reply = YieldingReply()
    job = make_job(reply)
    relay = AnswerRelay(lambda _: None, ignore_events)
    with trio.CancelScope() as scope:
        connection = cast(EndpointConnection, PartAtGivingUp(scope))
        await relay.relay(job, HEAD, connection, BufferedStart())
    assert scope.cancelled_caught
    assert job.events is not None
    assert b''.join(reply.parts) == b'id: 1\ndata: x\n\n'
    assert job.events.last_id == b'1'


@pytest.mark.parametrize('allows', [True, False])
async def test_request_is_given_up_only_if_another_attempt_follows(*, allows: bool) -> None:
    """Guards against requests that are ended before the retry budget and the peers were asked."""
    async with run_forwarder(ScriptedEndpoint(answer_never)) as harness:
        state = harness.forwarder.directory.find('e-0')
        assert state is not None
        asked = []

        def may_abandon() -> bool:
            asked.append(1)
            return allows

        with InFlightWork(state, 0, may_abandon) as work:
            now = trio.current_time()
            work.abandon(now + 1, 2)
            assert not asked
            work.abandon(now + 3, 2)
            work.abandon(now + 4, 2)
    assert work.scope.cancel_called is allows
    assert len(asked) == (1 if allows else 2)


async def answer_never(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Answer nothing until the connection is closed."""
    await stream.receive_some()
    return False


async def answer_in_halves(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Send half of an answer that is longer than what is read ahead, and the rest after a while."""
    content = answer(received, 200_000 * b'x')
    await stream.send_all(content[:100_000])
    await trio.sleep(0.3)
    await stream.send_all(content[100_000:])
    return True


async def stream_in_halves(stream: trio.SocketStream, received: ReceivedRequest) -> bool:
    """Send half of a stream, and the rest after a while."""
    await stream.send_all(STREAM_HEAD % received.headers[b'x-request-id'] + event(1, 'x'))
    await trio.sleep(0.3)
    await stream.send_all(event(2, 'x') + END)
    return True


async def test_answer_that_has_begun_is_not_given_up() -> None:
    """Guards against an answer that is cut in the middle, though no other one can follow it."""
    async with run_forwarder(
        ScriptedEndpoint(answer_in_halves), ScriptedEndpoint(answer_never)
    ) as harness:
        state = harness.forwarder.directory.find('e-0')
        assert state is not None
        stream = await harness.connect()
        async with stream:
            await stream.send_all(build_request('/safe/'))
            content = await read_until(stream, b'xxx')
            # Everything that was sent is relayed, and the next part is awaited.
            await trio.sleep(0.1)
            for work in tuple(state.in_progress):
                work.abandon(trio.current_time() + 60, 1)
            with trio.fail_after(3):
                while content.count(b'x') < 200_000:
                    more = await stream.receive_some()
                    assert more
                    content += more


async def test_stream_is_not_given_up_without_another_endpoint() -> None:
    """Guards against a stream that is cut in the middle, though no endpoint can go on with it."""
    endpoint = ScriptedEndpoint(stream_in_halves)
    async with run_forwarder(endpoint) as harness:
        state = harness.forwarder.directory.find('e-0')
        assert state is not None
        stream = await harness.connect()
        async with stream:
            await stream.send_all(build_request('/resume/'))
            content = await read_until(stream, b'id: 1')
            # Everything that was sent is relayed, and the next part is awaited.
            await trio.sleep(0.1)
            for work in tuple(state.in_progress):
                work.abandon(trio.current_time() + 60, 1)
            content += await read_until(stream, END)
    assert parse_body(content).body == b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'
