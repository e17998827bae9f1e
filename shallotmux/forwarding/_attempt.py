"""One attempt: send a request to one endpoint and pass its answer on."""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import trio

from shallotmux.errors import CallerGone, EndpointError, ShallotmuxError
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._endpoint import (
    CONNECT_TIMEOUT_S,
    ConnectionUnusable,
    EndpointConnection,
)
from shallotmux.forwarding._events import EventSplitter
from shallotmux.forwarding._headers import drop_connection_headers
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._messages import AnswerHead, OutgoingRequest
from shallotmux.forwarding._names import HeaderNames
from shallotmux.forwarding._outcome import Outcome, judge_head, judge_silence
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.forwarding._state import EndpointState, OpenWork, Target
from shallotmux.routes import RouteKind

#: Idle time up to which a connection takes a request that must not be repeated.
FRESH_IDLE_S = 1.0

#: Status from which an answer is a failure of the endpoint.
SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended.

    :param outcome: what is known of the request at this endpoint.
    :param is_failure: whether the endpoint is to blame.
    :param status: status of the answer, 0 if there was none.
    """

    outcome: Outcome
    reason: str
    is_failure: bool = False
    status: int = 0

    @property
    def is_delivered(self) -> bool:
        """Return whether the caller has the whole answer."""
        return self.outcome is Outcome.DONE and not self.reason


DELIVERED = ''


@dataclass(slots=True)
class _Attempt:
    """One attempt under way; the fields are those of :meth:`AttemptRunner.run`."""

    job: Job
    target: Target
    waiting: trio.CancelScope
    may_hold_back: bool
    work: OpenWork


#: Bytes of an answer that are held until it is complete, so that a torn one can be tried again.
MAX_HELD_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class _Held:
    """Start of an answer that was not passed on yet."""

    content: bytes = b''
    is_complete: bool = False


class AttemptRunner:
    """Runs attempts over kept connections.

    :param on_begun: is called when an endpoint has begun to run a job, once for each job.
    """

    def __init__(
        self,
        names: HeaderNames,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        on_begun: Callable[[Job], None],
    ) -> None:
        self._names = names
        self._pool = pool
        self._directory = directory
        self._on_begun = on_begun

    async def run(
        self, job: Job, target: Target, waiting: trio.CancelScope, *, may_hold_back: bool = False
    ) -> AttemptEnd:
        """Send a job to an endpoint and pass the answer on if it is final.

        :param waiting: scope whose deadline no longer holds once the answer has begun.
        :param may_hold_back: whether a failed answer is kept from the caller for another attempt.
        """
        state = target.state
        with OpenWork(state, target.unread_tokens) as work:
            end = await self._exchange(_Attempt(job, target, waiting, may_hold_back, work))
        if end.is_failure:
            self._directory.note_failure(state, end.reason)
        elif end.outcome is Outcome.DONE:
            state.note_success()
        elif end.status:
            state.note_refusal(trio.current_time())
        return end

    async def _exchange(self, attempt: _Attempt) -> AttemptEnd:
        state = attempt.target.state
        try:
            connection = await self._connect(attempt.job, state)
        except ConnectionUnusable as error:
            self._directory.note_silence(state, str(error))
            return AttemptEnd(Outcome.NOT_RUN, str(error))
        try:
            return await self._converse(attempt, connection)
        except EndpointError as error:
            outcome = judge_silence(was_sent=connection.was_sent)
            if connection.was_sent:
                self._directory.note_break(state, attempt.job.fingerprint())
            return AttemptEnd(outcome, str(error), is_failure=True)
        finally:
            self._pool.put(state.identity, connection)

    async def _connect(self, job: Job, state: EndpointState) -> EndpointConnection:
        longest_idle_s = float('inf') if job.route.is_repeatable else FRESH_IDLE_S
        timeout_s = max(0.01, min(CONNECT_TIMEOUT_S, job.remaining_s))
        listed = state.listed
        return await self._pool.take(listed.identity, listed.address, longest_idle_s, timeout_s)

    async def _converse(self, attempt: _Attempt, connection: EndpointConnection) -> AttemptEnd:
        target = attempt.target
        outgoing = attempt.job.outgoing(self._names, target.state.identity, target.extra)
        attempt.job.sends += 1
        end: AttemptEnd | None = None
        fault: ShallotmuxError | None = None
        async with trio.open_nursery() as nursery:
            # An endpoint may answer before it has read a long body.
            nursery.start_soon(_send_quietly, connection, outgoing)
            try:
                end = await self._receive(attempt, connection)
            except (EndpointError, CallerGone) as error:
                # Raised outside of the nursery, which would wrap it into a group.
                fault = error
            nursery.cancel_scope.cancel()
        if end is None:
            raise fault or EndpointError('no answer', step='receive', peer=target.state.identity)
        return end

    async def _receive(self, attempt: _Attempt, connection: EndpointConnection) -> AttemptEnd:
        job = attempt.job
        head = await connection.receive_head()
        if attempt.waiting.cancel_called:
            # The time was up at the moment at which the head came. Nothing of this answer may be
            # passed on any more, since another endpoint is tried.
            await trio.lowlevel.checkpoint()
        attempt.waiting.deadline = math.inf
        attempt.work.note_answered()
        attempt.target.state.note_load(head.header(self._names.load), trio.current_time())
        outcome = judge_head(head, self._names)
        if outcome is not Outcome.DONE:
            await connection.receive_body()
            reason = f'status {head.status}'
            return AttemptEnd(outcome, reason, outcome is Outcome.UNKNOWN, head.status)
        if job.route.kind is not RouteKind.STREAMING:
            self._note_begun(job)
        is_error = head.status >= SERVER_ERROR
        if is_error and attempt.may_hold_back:
            await connection.receive_body()
            return AttemptEnd(outcome, f'status {head.status}', True, head.status)
        if attempt.may_hold_back and job.route.kind is RouteKind.SAFE:
            held = await _hold(connection)
        else:
            held = _Held()
        await self._relay(job, head, connection, held)
        return AttemptEnd(outcome, DELIVERED, is_error, head.status)

    def _note_begun(self, job: Job) -> None:
        if not job.has_begun:
            job.has_begun = True
            self._on_begun(job)

    async def _relay(
        self, job: Job, head: AnswerHead, connection: EndpointConnection, held: _Held
    ) -> None:
        """Pass an answer on; a stream that goes on elsewhere keeps its first head."""
        if not job.reply.is_started:
            if job.route.kind is RouteKind.STREAMING and job.route.is_resumable:
                job.events = EventSplitter()
            await job.reply.send_head(head.status, drop_connection_headers(head.headers))
        if job.events is not None:
            job.events.drop_held()
        if held.content:
            job.note_part()
            await job.reply.send_part(held.content)
        part = None if held.is_complete else await connection.receive_part()
        self._note_begun(job)
        while part is not None:
            job.note_part()
            await job.reply.send_part(part if job.events is None else job.events.add(part))
            part = await connection.receive_part()
        if job.events is not None:
            await job.reply.send_part(job.events.take_held())
        await job.reply.finish()


async def _send_quietly(connection: EndpointConnection, outgoing: OutgoingRequest) -> None:
    """Send a request; a broken connection shows when the answer is read."""
    with suppress(EndpointError):
        await connection.send_request(outgoing)


async def _hold(connection: EndpointConnection) -> _Held:
    """Read an answer up to its end or the most that is held."""
    content = b''
    while len(content) < MAX_HELD_BYTES:
        part = await connection.receive_part()
        if part is None:
            return _Held(content, is_complete=True)
        content += part
    return _Held(content)
