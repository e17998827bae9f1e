"""Calls to one peer over a kept stream, which costs less than a request with headers for each.

A client asks for such a stream with a header, and a server that knows it says so with the same one.
Servers of earlier builds take the stream for one of envelopes, on which nothing is sent.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio
from eliot import log_message

from shallotmux.transport import _peer_pb2 as wire
from shallotmux.transport._channel import CONNECT_TIMEOUT_S, PeerChannel
from shallotmux.transport._peer_grpc import PeerStub

#: Header by which both sides say that a stream carries calls.
CALLS_HEADER = 'shallotmux-calls'

#: Calls of one stream that a server answers at a time. Further ones wait.
MAX_CALLS_IN_PROGRESS = 64

#: Answers a call: gets its group and command, and returns the answer as a wire message.
AnswerCall = Callable[[Any], Awaitable[Any]]


@dataclass(slots=True)
class _PendingCall:
    """A call without an answer; the event is also set when the stream ends."""

    is_settled: trio.Event
    answer: Any = None


class CallStream:
    """Client side of a stream of calls.

    :param own_headers: headers that name this instance.
    """

    def __init__(self, own_headers: dict[str, str]) -> None:
        self._headers = {**own_headers, CALLS_HEADER: '1'}
        self._pending: dict[str, _PendingCall] = {}
        self._queued: deque[Any] = deque()
        self._wake = asyncio.Event()
        self._number = 0
        #: Whether calls can be sent.
        self.is_open = False
        #: Whether the peer has answered that it knows no such streams.
        self.is_unknown = False

    async def call(self, group: str, command: bytes, timeout_s: float) -> Any:
        """Send a call and return its answer; None if it is late or the stream ends. Runs in trio."""
        self._number += 1
        number = str(self._number)
        pending = _PendingCall(trio.Event())
        self._pending[number] = pending
        self._queued.append(wire.Envelope(group=group, recipient=number, payload=command))
        self._wake.set()
        try:
            with trio.move_on_after(timeout_s):
                await pending.is_settled.wait()
        finally:
            self._pending.pop(number, None)
        return pending.answer

    async def run(self, channel: PeerChannel) -> None:
        """Open the stream and exchange calls until it ends. Runs in asyncio."""
        try:
            async with PeerStub(channel).Exchange.open(metadata=self._headers) as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                    await stream.recv_initial_metadata()
                if CALLS_HEADER in (stream.initial_metadata or {}):
                    self.is_open = True
                    await self._exchange(stream)
                else:
                    self.is_unknown = True
                await stream.cancel()
        except Exception as error:
            # See PeerLink.connect: grpclib raises errors of many kinds.
            log_message(
                message_type='shallotmux:call-stream-broken', level='debug', error=repr(error)
            )
        finally:
            self.is_open = False
            for pending in self._pending.values():
                pending.is_settled.set()

    async def _exchange(self, stream: Any) -> None:
        tasks = (
            asyncio.ensure_future(self._send_all(stream)),
            asyncio.ensure_future(self._receive_all(stream)),
        )
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_all(self, stream: Any) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queued:
                await stream.send_message(wire.Batch(envelopes=[self._queued.popleft()]))

    async def _receive_all(self, stream: Any) -> None:
        async for batch in stream:
            for envelope in batch.envelopes:
                pending = self._pending.get(envelope.recipient)
                if pending is not None:
                    pending.answer = wire.ForwardAnswer.FromString(envelope.payload)
                    pending.is_settled.set()


async def answer_calls(stream: Any, answer: AnswerCall) -> None:
    """Answer the calls of a stream until it ends. Runs in asyncio.

    :param stream: accepted stream whose initial metadata has been sent.
    """
    sending = asyncio.Lock()
    tasks: set[asyncio.Future[None]] = set()

    async def answer_one(envelope: Any) -> None:
        request = wire.ForwardRequest(group=envelope.group, command=envelope.payload)
        payload = (await answer(request)).SerializeToString()
        reply = wire.Envelope(group=envelope.group, recipient=envelope.recipient, payload=payload)
        async with sending:
            await stream.send_message(wire.Batch(envelopes=[reply]))

    try:
        async for batch in stream:
            for envelope in batch.envelopes:
                task = asyncio.ensure_future(answer_one(envelope))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                task.add_done_callback(_log_failed)
            while len(tasks) >= MAX_CALLS_IN_PROGRESS:
                await asyncio.wait(tuple(tasks), return_when=asyncio.FIRST_COMPLETED)
    finally:
        for left in tuple(tasks):
            left.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _log_failed(task: asyncio.Future[None]) -> None:
    """Log the error of a call that got no answer; its caller waits until its time limit."""
    error = None if task.cancelled() else task.exception()
    if error is not None:
        log_message(
            message_type='shallotmux:peer-loop-error',
            level='error',
            reason='a call was not answered',
            error=repr(error),
        )
