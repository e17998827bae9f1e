"""Relay the body of an endpoint's answer to the caller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from shallotmux.errors import EndpointError
from shallotmux.forwarding._endpoint import DISCARD_TIMEOUT_S, EMPTY_STATUSES, EndpointConnection
from shallotmux.forwarding._events import EventSplitter
from shallotmux.forwarding._headers import drop_connection_headers, drop_named
from shallotmux.forwarding._job import Job, WithheldAnswer
from shallotmux.forwarding._messages import AnswerHead
from shallotmux.routes import RouteKind

#: Lowest status of an answer that does not show that the request was served.
MIN_ERROR_STATUS = 400

EVENT_STREAM_TYPE = b'text/event-stream'

#: Bytes of an answer that are buffered before it is relayed. While all of it is in the buffer, a
#: truncated answer can be retried without the caller noticing.
MAX_BUFFERED_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class BufferedStart:
    """Start of an answer body that was not relayed yet."""

    content: bytes = b''
    is_complete: bool = False


def is_event_stream(job: Job, head: AnswerHead) -> bool:
    """Return whether the body of an answer consists of events.

    The type of the answer decides; without one, that of the route.
    """
    if job.request.method == b'HEAD' or head.status in EMPTY_STATUSES:
        return False
    content_type = head.header(b'content-type')
    if content_type is not None:
        return content_type.partition(b';')[0].strip().lower() == EVENT_STREAM_TYPE
    return job.route.kind is RouteKind.STREAMING and head.status < MIN_ERROR_STATUS


def ends_with_connection(job: Job, head: AnswerHead) -> bool:
    """Return whether only the connection marks the end of a stream of events."""
    return is_event_stream(job, head) and not head.has_length


def may_continue_stream(job: Job, head: AnswerHead) -> bool:
    """Return whether an answer may follow the events that the caller already has."""
    return head.status < MIN_ERROR_STATUS and is_event_stream(job, head)


async def buffer_start(connection: EndpointConnection) -> BufferedStart:
    """Read an answer up to its end or :data:`MAX_BUFFERED_BYTES`, less if the budget is short."""
    parts: list[bytes] = []
    is_complete = await _fill(parts, connection)
    return BufferedStart(b''.join(parts), is_complete=is_complete)


async def buffer_error(connection: EndpointConnection) -> BufferedStart:
    """Read an error answer for a short time, up to its end or :data:`MAX_BUFFERED_BYTES`."""
    parts: list[bytes] = []
    is_complete = False
    with trio.move_on_after(DISCARD_TIMEOUT_S):
        is_complete = await _fill(parts, connection)
    return BufferedStart(b''.join(parts), is_complete=is_complete)


async def send_withheld(job: Job, withheld: WithheldAnswer) -> None:
    """Send an answer that was withheld in favour of another one, which has not come."""
    head = withheld.head
    await job.reply.send_head(head.status, drop_connection_headers(head.headers))
    await job.reply.send_part(withheld.content)
    await job.reply.finish()


async def _fill(parts: list[bytes], connection: EndpointConnection) -> bool:
    """Append the parts of an answer to a list; returns whether its end was reached."""
    size = 0
    while size < MAX_BUFFERED_BYTES:
        part = await connection.receive_part()
        if part is None:
            return True
        parts.append(part)
        size += len(part)
        connection.held.add(len(part))
        if connection.held.budget.is_short:
            break
    return False


@dataclass(frozen=True, slots=True)
class AnswerRelay:
    """Relays the answers of endpoints.

    :param record_started: called after the first part of a body, or its end.
    :param record_events: called before the first events of a resumable stream are relayed.
    """

    record_started: Callable[[Job], None]
    record_events: Callable[[Job], Awaitable[None]]

    async def relay(
        self, job: Job, head: AnswerHead, connection: EndpointConnection, start: BufferedStart
    ) -> None:
        """Relay an answer to its end; a resumed stream keeps the head of its first attempt.

        :raises EndpointError: if the answer breaks off. A stream that ends inside an event has broken
            off, even if its length or last chunk says otherwise.
        """
        is_stream = is_event_stream(job, head)
        await _send_head(job, head, is_stream=is_stream)
        splitter = job.events or EventSplitter()
        splitter.start_attempt()
        part: bytes | None = start.content
        if not part:
            part = None if start.is_complete else await connection.receive_part()
        self.record_started(job)
        while part is not None:
            # The attempt may have been given up in the scheduler step in which the part arrived. An
            # event that is taken and not sent would be missing from the stream.
            await trio.lowlevel.checkpoint_if_cancelled()
            job.record_part(len(part))
            complete = splitter.feed(part) if is_stream else part
            await self._send(job, part if job.events is None else complete)
            part = None if start.is_complete else await connection.receive_part()
        if is_stream:
            _check_end(head, splitter, connection.peer)
        if job.events is not None:
            await self._send(job, job.events.flush())
        await job.reply.finish()

    async def _send(self, job: Job, content: bytes) -> None:
        if content and job.events is not None and not job.is_origin_recorded:
            await self.record_events(job)
        await job.reply.send_part(content)


async def _send_head(job: Job, head: AnswerHead, *, is_stream: bool) -> None:
    """Send the head of a first attempt.

    A stream is relayed in chunks: a length would mark its end although its last event is incomplete,
    or another endpoint continues it.
    """
    if job.reply.is_started:
        return
    headers = drop_connection_headers(head.headers)
    if is_stream:
        headers = drop_named(headers, frozenset((b'content-length',)))
        if job.route.has_resumable_streams:
            job.events = EventSplitter()
    await job.reply.send_head(head.status, headers)


def _check_end(head: AnswerHead, splitter: EventSplitter, peer: str) -> None:
    has_end = head.has_length or splitter.has_events
    if not (splitter.is_whole and has_end):
        raise EndpointError('the stream broke off inside an event', step='receive body', peer=peer)
