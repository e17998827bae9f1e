"""Send a request to one endpoint and relay its answer to the caller."""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import trio

from shallotmux.errors import CallerDisconnected, EndpointError, ShallotmuxError
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._endpoint import (
    CONNECT_TIMEOUT_S,
    ConnectionUnusable,
    EndpointConnection,
)
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._messages import OutgoingRequest
from shallotmux.forwarding._names import HeaderNames
from shallotmux.forwarding._outcome import Outcome, classify_answer, classify_missing_answer
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.forwarding._relay import (
    MIN_ERROR_STATUS,
    AnswerRelay,
    BufferedStart,
    buffer_start,
    ends_with_connection,
    is_event_stream,
    may_continue_stream,
)
from shallotmux.forwarding._starts import StartVerifier
from shallotmux.forwarding._state import EndpointState, InFlightWork, Target
from shallotmux.origins import StreamOrigins
from shallotmux.routes import RouteKind

#: Longest idle time of a connection that is reused for a request that must not run twice. The longer
#: a connection was idle, the likelier the peer has closed it without notice.
NON_REPEATABLE_MAX_IDLE_S = 1.0

#: Lowest status that counts as a failure of the endpoint.
MIN_SERVER_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of an attempt.

    :param outcome: whether the endpoint ran the request.
    :param reason: why the answer was not delivered; empty if it was.
    :param is_failure: whether it counts as a failure of the endpoint.
    :param status: status of the answer, 0 if there was none.
    :param is_end_certain: whether more than the end of its connection marked the end of a stream.
    """

    outcome: Outcome
    reason: str
    is_failure: bool = False
    status: int = 0
    is_end_certain: bool = True

    @property
    def is_delivered(self) -> bool:
        """Return whether the caller received the whole answer."""
        return self.outcome is Outcome.DONE and not self.reason

    @property
    def is_success(self) -> bool:
        """Return whether the endpoint certainly served the request."""
        return self.is_delivered and self.status < MIN_ERROR_STATUS and self.is_end_certain


#: Reason of an attempt whose answer was delivered.
DELIVERED = ''


@dataclass(slots=True)
class _Attempt:
    """Arguments of :meth:`AttemptRunner.run` and the load that the attempt adds."""

    job: Job
    target: Target
    timeout_scope: trio.CancelScope
    may_retry: bool
    work: InFlightWork


class AttemptRunner:
    """Runs attempts over pooled connections.

    :param on_run_started: called once for each job, when an endpoint has started to run it.
    :param origins: is told at which software version streams began.
    """

    def __init__(
        self,
        names: HeaderNames,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        on_run_started: Callable[[Job], None],
        origins: StreamOrigins,
        starts: StartVerifier,
    ) -> None:
        self._names = names
        self._pool = pool
        self._directory = directory
        self._on_run_started = on_run_started
        self._origins = origins
        self._starts = starts
        self._relay = AnswerRelay(self._record_run_started, self._record_events)

    async def run(
        self, job: Job, target: Target, timeout_scope: trio.CancelScope, *, may_retry: bool = False
    ) -> AttemptResult:
        """Send a job to an endpoint and relay the answer if it is final.

        :param timeout_scope: scope around this call; its deadline is lifted once the answer begins.
        :param may_retry: whether to withhold a server error or a truncated answer from the caller,
            so that another endpoint can be tried.
        """
        state = target.state
        with InFlightWork(state, target.uncached_tokens) as work:
            result = await self._exchange(_Attempt(job, target, timeout_scope, may_retry, work))
        if result.is_failure:
            self._directory.record_failure(state, result.reason)
        elif result.outcome is Outcome.DONE:
            state.record_success()
        elif result.status:
            state.record_refusal(trio.current_time())
        return result

    async def _exchange(self, attempt: _Attempt) -> AttemptResult:
        state = attempt.target.state
        if not self._directory.take_permit(state):
            return AttemptResult(Outcome.NOT_RUN, 'the limit of the endpoint is reached')
        try:
            connection = await self._connect(attempt.job, state)
        except ConnectionUnusable as error:
            self._directory.record_unreachable(state, str(error))
            return AttemptResult(Outcome.NOT_RUN, str(error))
        try:
            await self._starts.verify(attempt.job, state, connection)
            return await self._send_and_receive(attempt, connection)
        except ConnectionUnusable as error:
            self._directory.record_unreachable(state, str(error))
            return AttemptResult(Outcome.NOT_RUN, str(error))
        except EndpointError as error:
            outcome = classify_missing_answer(was_sent=connection.was_sent)
            if connection.was_sent:
                self._directory.record_suspected_crash(state, attempt.job, attempt.work.sent_at)
            return AttemptResult(outcome, str(error), is_failure=True)
        finally:
            self._pool.release(state.identity, connection)

    async def _connect(self, job: Job, state: EndpointState) -> EndpointConnection:
        max_idle_s = float('inf') if job.route.is_repeatable else NON_REPEATABLE_MAX_IDLE_S
        timeout_s = max(0.01, min(CONNECT_TIMEOUT_S, job.remaining_s))
        listed = state.listed
        return await self._pool.acquire(listed.identity, listed.address, max_idle_s, timeout_s)

    async def _send_and_receive(
        self, attempt: _Attempt, connection: EndpointConnection
    ) -> AttemptResult:
        target = attempt.target
        outgoing = attempt.job.build_outgoing(self._names, target.state.identity, target.extra)
        attempt.job.sends += 1
        attempt.job.attempt_version = target.state.listed.software_version
        attempt.job.cache_source_uses += bool(attempt.job.cache_source)
        result: AttemptResult | None = None
        failure: ShallotmuxError | None = None
        async with trio.open_nursery() as nursery:
            # Send and receive concurrently: an endpoint may answer before it has read a long body.
            nursery.start_soon(_send_ignoring_errors, connection, outgoing)
            try:
                result = await self._receive(attempt, connection)
            except (EndpointError, CallerDisconnected) as error:
                # Re-raised outside the nursery, which would wrap it in an exception group.
                failure = error
            nursery.cancel_scope.cancel()
        if result is None:
            raise failure or EndpointError('no answer', step='receive', peer=target.state.identity)
        return result

    async def _receive(self, attempt: _Attempt, connection: EndpointConnection) -> AttemptResult:
        job = attempt.job
        head = await connection.receive_head()
        if attempt.timeout_scope.cancel_called:
            # The timeout expired in the same scheduler step in which the head arrived. Another
            # endpoint is tried, so nothing of this answer may be relayed.
            await trio.lowlevel.checkpoint()
        attempt.timeout_scope.deadline = math.inf
        attempt.work.record_answer()
        limit = head.header(self._names.limit)
        self._directory.record_answer(attempt.target.state, attempt.work.sent_at, limit)
        attempt.target.state.record_load(head.header(self._names.load), trio.current_time())
        outcome = classify_answer(head, self._names)
        if outcome is not Outcome.DONE:
            await connection.discard_body()
            reason = f'status {head.status}'
            return AttemptResult(outcome, reason, outcome is Outcome.UNKNOWN, head.status)
        if job.route.kind is not RouteKind.STREAMING:
            self._record_run_started(job)
        is_error = head.status >= MIN_SERVER_ERROR_STATUS
        if is_error and attempt.may_retry:
            await connection.discard_body()
            return AttemptResult(outcome, f'status {head.status}', True, head.status)
        if job.reply.is_started and not may_continue_stream(job, head):
            await connection.discard_body()
            reason = f'status {head.status} instead of the rest of a stream'
            return AttemptResult(outcome, reason, is_error, head.status)
        start = BufferedStart()
        if (
            attempt.may_retry
            and job.route.kind is RouteKind.SAFE
            and not is_event_stream(job, head)
        ):
            start = await buffer_start(connection)
        await self._relay.relay(job, head, connection, start)
        is_end_certain = not ends_with_connection(job, head)
        if not is_end_certain:
            self._directory.record_uncertain_end(attempt.target.state, job)
        return AttemptResult(outcome, DELIVERED, is_error, head.status, is_end_certain)

    async def _record_events(self, job: Job) -> None:
        """Bind the stream to the version that sends its first event, and let others know."""
        if job.stream_version is None:
            job.stream_version = job.attempt_version
        job.is_origin_recorded = True
        # The endpoint has taken the cache handle, which can be used once and may be of another version.
        job.cache_source = b''
        await self._origins.record(
            job.origin_key(job.request_id),
            job.service,
            job.stream_version,
            job.request_id.decode('latin-1'),
        )

    def _record_run_started(self, job: Job) -> None:
        if not job.has_run_started:
            job.has_run_started = True
            self._on_run_started(job)


async def _send_ignoring_errors(connection: EndpointConnection, outgoing: OutgoingRequest) -> None:
    """Send a request; a broken connection is reported when the answer is read."""
    with suppress(EndpointError):
        await connection.send_request(outgoing)
