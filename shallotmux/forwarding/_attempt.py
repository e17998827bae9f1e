"""Send a request to one endpoint and relay its answer to the caller."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from shallotmux.errors import CallerDisconnected, EndpointError, ShallotmuxError
from shallotmux.forwarding._endpoint import (
    CONNECT_TIMEOUT_S,
    ConnectionUnusable,
    EndpointConnection,
    LocalResourcesSpent,
)
from shallotmux.forwarding._job import Job, WithheldAnswer
from shallotmux.forwarding._messages import AnswerHead
from shallotmux.forwarding._outcome import Outcome, classify_missing_answer
from shallotmux.forwarding._paths import AttemptPath, DirectPath, PeerPath
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.forwarding._quota_gate import OVER_QUOTA, QuotaGate
from shallotmux.forwarding._relay import (
    MIN_ERROR_STATUS,
    AnswerRelay,
    BufferedStart,
    buffer_error,
    buffer_start,
    ends_with_connection,
    is_event_stream,
    may_continue_stream,
)
from shallotmux.forwarding._state import InFlightWork, Target
from shallotmux.origins import StreamOrigins
from shallotmux.quotas import Charge, OverQuota
from shallotmux.routes import RouteKind

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
    :param retry_after_s: time that a peer names in a refusal that is final; None otherwise.
    """

    outcome: Outcome
    reason: str
    is_failure: bool = False
    status: int = 0
    is_end_certain: bool = True
    retry_after_s: float | None = None

    @property
    def is_delivered(self) -> bool:
        """Return whether the caller received the whole answer."""
        return self.outcome is Outcome.DONE and not self.reason

    @property
    def is_success(self) -> bool:
        """Return whether the endpoint certainly served the request."""
        return self.is_delivered and self.status < MIN_ERROR_STATUS and self.is_end_certain


def _reserve_none() -> bool:
    return False


def _ignore_delivery() -> None:
    """Record nothing."""


@dataclass(slots=True, eq=False)
class AttemptControl:
    """What an attempt and its owner tell each other.

    :param may_retry: whether to withhold a server error or a truncated answer from the caller, so that
        another endpoint can be tried.
    :param reserve_retry: asked before the attempt is given up; returns whether another one follows.
    :param on_delivery: called before the first byte of the answer goes to the caller.
    :param scope: scope around the attempt, by which its owner gives it up.
    """

    may_retry: bool = False
    reserve_retry: Callable[[], bool] = _reserve_none
    on_delivery: Callable[[], None] = _ignore_delivery
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    #: Whether the head of an answer has arrived.
    is_answered: bool = False


#: Reason of an attempt whose answer was delivered.
DELIVERED = ''

#: Reason of an attempt that was given up because its service is out of reach.
OUT_OF_REACH = 'the service is out of reach'


@dataclass(slots=True)
class _Attempt:
    """Arguments of :meth:`AttemptRunner.run`, its path and the load that the attempt adds."""

    job: Job
    target: Target
    control: AttemptControl
    work: InFlightWork
    path: AttemptPath
    #: What it has taken of the quota; None without a quota.
    charge: Charge | None = None


class AttemptRunner:
    """Runs attempts over pooled connections.

    :param on_run_started: called once for each job, when an endpoint has started to run it.
    :param origins: is told at which software version streams began.
    :param direct: is used for endpoints.
    :param through_peer: is used for peers.
    :param quota_gate: charges what is sent.
    """

    def __init__(
        self,
        on_run_started: Callable[[Job], None],
        origins: StreamOrigins,
        direct: DirectPath,
        through_peer: PeerPath,
        quota_gate: QuotaGate,
    ) -> None:
        self._quota_gate = quota_gate
        self._on_run_started = on_run_started
        self._origins = origins
        self._direct = direct
        self._through_peer = through_peer
        self._relay = AnswerRelay(self._record_run_started, self._record_events)

    @property
    def peer_pool(self) -> ConnectionPool:
        """Return the pool of connections to peers."""
        return self._through_peer.pool

    async def run(
        self, job: Job, target: Target, control: AttemptControl | None = None
    ) -> AttemptResult:
        """Send a job to an endpoint and relay the answer if it is final."""
        state = target.state
        control = control or AttemptControl()
        path: AttemptPath = self._through_peer if target.peer else self._direct
        sent_at = trio.current_time()
        with InFlightWork(state, target.uncached_tokens, control.reserve_retry) as work:
            attempt = _Attempt(job, target, control, work, path)
            result: AttemptResult | None = None
            with work.scope:
                result = await self._exchange(attempt)
            if result is None:
                return AttemptResult(classify_missing_answer(was_sent=work.was_sent), OUT_OF_REACH)
        if result.is_failure:
            path.record_failure(target, result.reason)
        elif result.outcome is Outcome.DONE:
            state.record_success()
        elif result.status:
            path.record_refusal(target, result.status, sent_at)
        return result

    async def _exchange(self, attempt: _Attempt) -> AttemptResult:
        target, path = attempt.target, attempt.path
        if not path.take_permit(target):
            return AttemptResult(Outcome.NOT_RUN, 'the endpoint takes no request now')
        try:
            connection = await self._connect(attempt)
        except LocalResourcesSpent as error:
            return AttemptResult(Outcome.NOT_RUN, str(error))
        except ConnectionUnusable as error:
            path.record_unreachable(target, str(error))
            return AttemptResult(Outcome.NOT_RUN, str(error))
        attempt.work.connection = connection
        try:
            await path.verify(attempt.job, target, connection)
            if target.state.is_resting(trio.current_time()):
                # It asked for rest while the connection was opened.
                return AttemptResult(Outcome.NOT_RUN, 'the endpoint rests')
            return await self._send_charged(attempt, connection)
        except ConnectionUnusable as error:
            path.record_unreachable(target, str(error))
            return AttemptResult(Outcome.NOT_RUN, str(error))
        except EndpointError as error:
            # A kept connection may end before anything is sent; that is no failure of the endpoint.
            was_sent = connection.was_sent
            if was_sent:
                path.record_broken(attempt.job, target, attempt.work)
            return AttemptResult(
                classify_missing_answer(was_sent=was_sent), str(error), is_failure=was_sent
            )
        finally:
            path.pool.release(target.state.identity, connection)

    async def _connect(self, attempt: _Attempt) -> EndpointConnection:
        job, listed = attempt.job, attempt.target.state.listed
        timeout_s = max(0.01, min(CONNECT_TIMEOUT_S, job.remaining_s))
        return await attempt.path.pool.acquire(
            listed.identity, listed.address, job.max_idle_s, timeout_s
        )

    async def _send_charged(
        self, attempt: _Attempt, connection: EndpointConnection
    ) -> AttemptResult:
        """Send a job if its customer's quota allows it now, and receive the answer."""
        charge = await self._quota_gate.take(attempt.job)
        if isinstance(charge, OverQuota):
            return AttemptResult(Outcome.NOT_RUN, OVER_QUOTA, retry_after_s=charge.retry_after_s)
        attempt.charge = charge
        result: AttemptResult | None = None
        try:
            result = await self._send_and_receive(attempt, connection)
        finally:
            is_refused = result is not None and result.outcome is Outcome.NOT_RUN
            if is_refused or not connection.was_sent:
                self._quota_gate.put_back(attempt.job, attempt.charge)
        return result

    async def _send_and_receive(
        self, attempt: _Attempt, connection: EndpointConnection
    ) -> AttemptResult:
        target = attempt.target
        connection.begin(attempt.path.begin(attempt.job, target, attempt.charge))
        result: AttemptResult | None = None
        failure: ShallotmuxError | None = None
        async with trio.open_nursery() as nursery:
            # Send and receive concurrently: an endpoint may answer before it has read a long body.
            nursery.start_soon(_send_ignoring_errors, connection)
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
        attempt.control.is_answered = True
        attempt.work.record_answer()
        verdict = attempt.path.judge(job, attempt.target, attempt.work, head)
        outcome, head = verdict.outcome, verdict.head
        if verdict.has_used_charge:
            attempt.charge = None
        if outcome is not Outcome.DONE:
            await connection.discard_body()
            return AttemptResult(
                outcome,
                verdict.reason,
                verdict.is_failure,
                head.status,
                retry_after_s=verdict.retry_after_s,
            )
        if job.route.kind is not RouteKind.STREAMING:
            self._record_run_started(job)
        is_error = head.status >= MIN_SERVER_ERROR_STATUS
        if job.reply.is_started and not may_continue_stream(job, head):
            await connection.discard_body()
            reason = f'status {head.status} instead of the rest of a stream'
            return AttemptResult(outcome, reason, is_error, head.status)
        start = BufferedStart()
        if is_error and attempt.control.may_retry:
            start = await buffer_error(connection)
            if start.is_complete:
                job.withheld = WithheldAnswer(head, start.content)
            if start.is_complete or attempt.control.reserve_retry():
                return AttemptResult(outcome, f'status {head.status}', True, head.status)
        elif _is_buffered(attempt, head):
            start = await buffer_start(connection)
        # The attempt may have been given up in the scheduler step in which the answer arrived. Another
        # one goes on then, so nothing of this answer may be relayed.
        await trio.lowlevel.checkpoint_if_cancelled()
        attempt.control.on_delivery()
        await self._relay.relay(job, head, connection, start)
        is_end_certain = not ends_with_connection(job, head)
        if not is_end_certain:
            attempt.path.record_uncertain_end(job, attempt.target)
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


def _is_buffered(attempt: _Attempt, head: AnswerHead) -> bool:
    """Return whether an answer is read ahead, so that another endpoint can replace a truncated one."""
    job = attempt.job
    is_safe = job.route.kind is RouteKind.SAFE
    return attempt.control.may_retry and is_safe and not is_event_stream(job, head)


async def _send_ignoring_errors(connection: EndpointConnection) -> None:
    """Send a request; a broken connection is reported when the answer is read.

    If only the end of the connection marks that of the answer, :meth:`EndpointConnection.receive_part`
    tells whether the connection broke here.
    """
    with suppress(EndpointError):
        await connection.send_request()
