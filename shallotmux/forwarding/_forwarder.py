"""Forward requests of callers to the endpoints of their routes, with retries."""

from __future__ import annotations

import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from eliot import log_message

from shallotmux.errors import CallerDisconnected
from shallotmux.fleet import FleetView
from shallotmux.forwarding._admission import Admitted, Dialect, admit_request
from shallotmux.forwarding._attempt import AttemptResult, AttemptRunner
from shallotmux.forwarding._budget import SharedRetryBudget
from shallotmux.forwarding._deadlines import RequestDeadlines
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._engines import EnginePlacer
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._load_shedding import LoadShed
from shallotmux.forwarding._messages import CallerRequest, Reply
from shallotmux.forwarding._metrics import ForwardingMetrics
from shallotmux.forwarding._outcome import Outcome
from shallotmux.forwarding._outlook import OutlookCheck
from shallotmux.forwarding._quota_gate import OVER_QUOTA, OVER_QUOTA_STATUS, QuotaGate
from shallotmux.forwarding._refusals import Refusal, refuse_not_run, refuse_unknown
from shallotmux.forwarding._relay import send_withheld
from shallotmux.forwarding._retries import MAX_SENDS, RetryPolicy
from shallotmux.forwarding._state import Target
from shallotmux.forwarding._supervision import AttemptSupervisor
from shallotmux.forwarding._targets import MAX_ENDPOINTS_TRIED, TargetChooser
from shallotmux.origins import Continuation, StreamOrigins, Unknown
from shallotmux.relaying import RelayPeers

#: Time after the deadline for which an endpoint's own timeout answer is still awaited.
DEADLINE_GRACE_S = 0.1

#: Lines at the end of a traceback that are logged.
TRACEBACK_LINES = 6

#: Retry-after time when there was no endpoint, or all refused.
RETRY_AFTER_S = 0.5


#: Answers a job, or returns a refusal.
_Run = Callable[[Job], Awaitable[Refusal | None]]


@dataclass(slots=True)
class Forwarder:
    """Admits requests, chooses endpoints and retries requests that may run again.

    :param zone: availability zone of this instance.
    """

    zone: str
    view: FleetView
    dialect: Dialect
    directory: EndpointDirectory
    runner: AttemptRunner
    placer: EnginePlacer
    budget: SharedRetryBudget
    metrics: ForwardingMetrics
    origins: StreamOrigins
    peers: RelayPeers = field(default_factory=RelayPeers)
    random: Random = field(default_factory=Random)
    quota_gate: QuotaGate = field(default_factory=QuotaGate)
    _deadlines: RequestDeadlines = field(default_factory=RequestDeadlines)
    _targets: TargetChooser = field(init=False)
    _outlooks: OutlookCheck = field(init=False)
    _retries: RetryPolicy = field(init=False)
    _supervisor: AttemptSupervisor = field(init=False)

    def __post_init__(self) -> None:
        """Build the parts that choose endpoints and allow retries."""
        self._targets = TargetChooser(
            self.zone, self.directory, self.placer, self.peers, self.random
        )
        self._outlooks = OutlookCheck(self.placer.estimator, self.metrics, self.directory.zones)
        self._retries = RetryPolicy(self.directory, self.budget)
        self._supervisor = AttemptSupervisor(
            self.directory, self.runner, self._targets, self._retries, self._log_attempt
        )

    def close(self, end_at: float) -> None:
        """Refuse further requests, and answer those in progress until a local time."""
        self._deadlines.end_at(end_at)

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Answer one request."""
        admitted = self.admit(request, reply)
        with self.metrics.in_flight.track_inprogress():
            match admitted:
                case Refusal():
                    await admitted.send(reply, self.dialect.names.retry_after)
                case Admitted(job=job):
                    await self._run(job)

    def admit(self, request: CallerRequest, reply: Reply) -> Admitted | Refusal:
        """Return the job for a request, or its refusal."""
        if self._deadlines.is_ending:
            # Its last byte came after the instance closed; it might not be finished in time.
            leaving = refuse_not_run('the instance is leaving', 0)
            self._log_refusal(request, leaving)
            return leaving
        admitted = admit_request(request, reply, self.view.table, self.dialect, self.random.random)
        if isinstance(admitted, Refusal):
            self._log_refusal(request, admitted)
        return admitted

    async def run_relayed(self, job: Job) -> Refusal | None:
        """Forward a job for another instance; returns a refusal if it was not answered.

        The instance that took the request has counted it, and has bound a resumed stream.
        """
        return await self._limit(
            job, lambda each: self.quota_gate.run_relayed(each, self._try_endpoints)
        )

    async def _run(self, job: Job) -> None:
        refusal = await self._limit(job, self._bind_and_try)
        if refusal is None:
            return
        if job.reply.is_started:
            job.reply.abort()
        else:
            await refusal.send(job.reply, self.dialect.names.retry_after)

    async def _limit(self, job: Job, run: _Run) -> Refusal | None:
        """Run a job until its deadline; returns a refusal if it was not answered."""
        refusal: Refusal | None = None
        deadline_scope = self._deadlines.open_scope(job.deadline + DEADLINE_GRACE_S)
        with deadline_scope:
            refusal = await self._contain_faults(job, run)
        if deadline_scope.cancelled_caught:
            refusal = _refuse_late(job)
        if refusal is None or await self._send_withheld(job, refusal):
            return None
        self._log_failure(job, refusal)
        return refusal

    async def _contain_faults(self, job: Job, run: _Run) -> Refusal | None:
        """Run a job; an unexpected exception is logged, and its caller still gets an answer."""
        try:
            return await run(job)
        except CallerDisconnected:
            raise
        except Exception as error:  # noqa: BLE001
            log_message(
                message_type='shallotmux:handler-fault',
                level='error',
                request=job.request_id.decode('latin-1'),
                error=repr(error),
                at=traceback.format_exc().splitlines()[-TRACEBACK_LINES:],
            )
        if job.sends:
            return refuse_unknown('internal error', is_late=False)
        return refuse_not_run('internal error', RETRY_AFTER_S)

    async def _bind_and_try(self, job: Job) -> Refusal | None:
        refusal = await self._bind_resumed_stream(job)
        self.budget.record_request(job.service)
        return refusal or await self.quota_gate.run(job, self._try_endpoints)

    async def _send_withheld(self, job: Job, refusal: Refusal) -> bool:
        """Send the answer of an endpoint that was withheld for a retry, instead of a refusal.

        :returns: whether there was one.
        """
        withheld = job.withheld
        if withheld is None or job.reply.is_started:
            return False
        status = withheld.head.status
        self.metrics.requests.labels(job.route.name, status).inc()
        log_message(
            message_type='shallotmux:withheld-answer',
            request=job.request_id.decode('latin-1'),
            route=job.route.name,
            status=status,
            instead_of=refusal.reason,
            left_ms=int(job.remaining_s * 1000),
        )
        await send_withheld(job, withheld)
        return True

    async def _bind_resumed_stream(self, job: Job) -> Refusal | None:
        """Bind a stream of which the caller has events to the software version that began it.

        :returns: a refusal if it cannot go on, so that the caller can begin a new one at once.
        """
        names = self.dialect.names
        if not job.resumes_stream(names):
            return None
        resumed = job.request.header(names.resumed_request) or b''
        found = await self.origins.find(job.origin_key(resumed), job.service)
        match found:
            case Unknown():
                reason = found.reason
            case Continuation():
                job.service = found.service
                job.stream_version = found.version
                reason = self._why_not_continued(job, found)
        self._log_resumed(job, found, reason)
        if not reason:
            return None
        self.metrics.resumptions.labels(job.route.name, 'refused').inc()
        return refuse_not_run(reason, RETRY_AFTER_S)

    def _why_not_continued(self, job: Job, found: Continuation) -> str:
        """Return why a stream whose version is known cannot go on; empty if it can."""
        if all(share.service != found.service for share in job.route.shares):
            return 'the route does not lead to the service of the stream any more'
        if not self.directory.has_version(found.service, found.version):
            return 'no endpoint of the version that began the stream is left'
        self.metrics.resumptions.labels(job.route.name, found.known_from.value).inc()
        return ''

    async def _try_endpoints(self, job: Job) -> Refusal | None:
        """Try endpoints until one answers; returns a refusal if none does."""
        reason = 'no endpoint'
        while job.sends < MAX_SENDS and len(job.excluded) < MAX_ENDPOINTS_TRIED:
            target = await self._find_target(job, reason)
            if isinstance(target, Refusal):
                return target
            result = await self._supervisor.run(job, target)
            if result.is_delivered:
                self._record_delivered(job, result)
                return None
            reason = result.reason
            if not self._retries.may_retry(job, result):
                return _final_refusal(job, result, self._returns_in(job))
        return _refuse(job, reason, self._returns_in(job))

    def _returns_in(self, job: Job) -> float:
        """Return the time after which a caller may come back."""
        return self.directory.returns_in(job.service) or RETRY_AFTER_S

    async def _find_target(self, job: Job, reason: str) -> Target | Refusal:
        """Return the endpoint for the next attempt.

        :param reason: why the attempt before failed.
        """
        quarantine_s = self.directory.quarantine_ends_in(job)
        target = None if quarantine_s else await self._choose_target(job)
        # A prompt may have been prefilled meanwhile, which takes long enough for more crashes.
        quarantine_s = quarantine_s or self.directory.quarantine_ends_in(job)
        if quarantine_s:
            self.metrics.quarantine_refusals.labels(job.route.name).inc()
            return _refuse(job, 'crashes endpoints', quarantine_s)
        match target:
            case Target():
                return target
            case LoadShed():
                return refuse_not_run('engines are busy', target.retry_after_s)
        return _refuse(job, reason, self._returns_in(job))

    async def _choose_target(self, job: Job) -> Target | LoadShed | None:
        target = await self._targets.choose(job)
        if target is not None or not job.silent_attempts:
            return target
        # The endpoint of an attempt that was replaced may be slow and sound.
        job.excluded -= {each.endpoint for each in job.silent_attempts}
        return await self._targets.choose(job)

    def _record_delivered(self, job: Job, result: AttemptResult) -> None:
        if result.is_success:
            self.directory.record_served(job)
        self.metrics.requests.labels(job.route.name, result.status).inc()
        self.metrics.first_byte.labels(job.route.name).observe(job.first_part_s)

    def _log_resumed(self, job: Job, found: Continuation | Unknown, reason: str) -> None:
        """Log at which version a stream goes on and where that is known from, or why it does not."""
        known_from = found.known_from.value if isinstance(found, Continuation) else None
        log_message(
            message_type='shallotmux:stream-resumed',
            request=job.request_id.decode('latin-1'),
            resumes=job.request.text(self.dialect.names.resumed_request),
            after_event=job.request.text(self.dialect.names.last_event_id),
            service=job.service,
            software=job.stream_version,
            known_from=known_from,
            refused=reason or None,
        )

    def _log_attempt(self, job: Job, target: Target, result: AttemptResult) -> None:
        self._outlooks.check(job, target, result)
        outcome = 'delivered' if result.is_delivered else result.outcome.value
        self.metrics.attempts.labels(job.route.name, outcome).inc()
        if target.peer is not None:
            self.metrics.relayed.labels('sent', outcome).inc()
        log_message(
            message_type='shallotmux:attempt',
            request=job.request_id.decode('latin-1'),
            route=job.route.name,
            endpoint=None if target.peer else target.state.identity,
            peer=target.peer.name if target.peer else None,
            outcome=outcome,
            status=result.status,
            reason=result.reason,
            number=job.sends,
            version=self.view.version,
            software=target.state.listed.software_version or job.attempt_version,
            after_event=job.after_event(self.dialect.names),
            resumes=job.request.text(self.dialect.names.resumed_request),
            relayed_for=job.relayed_for or None,
            expected_ms=round(target.outlook.expected_ms, 1) if target.outlook else None,
            first_ms=int(job.first_part_s * 1000),
            gap_ms=int(job.longest_gap_s * 1000),
            left_ms=int(job.remaining_s * 1000),
        )

    def _log_failure(self, job: Job, refusal: Refusal) -> None:
        self.metrics.requests.labels(job.route.name, refusal.status).inc()
        log_message(
            message_type='shallotmux:request-failed',
            request=job.request_id.decode('latin-1'),
            route=job.route.name,
            status=refusal.status,
            reason=refusal.reason,
            sends=job.sends,
            runs=job.runs,
            was_started=job.reply.is_started,
            left_ms=int(job.remaining_s * 1000),
        )

    def _log_refusal(self, request: CallerRequest, refusal: Refusal) -> None:
        self.metrics.requests.labels('', refusal.status).inc()
        log_message(
            message_type='shallotmux:request-refused',
            request=request.text(self.dialect.names.request_id),
            status=refusal.status,
            reason=refusal.reason,
            version=self.view.version,
        )


def _final_refusal(job: Job, result: AttemptResult, returns_in_s: float) -> Refusal:
    """Return the refusal for a job that is not retried."""
    if result.outcome is Outcome.NOT_RUN and not job.runs:
        retry_after_s = returns_in_s if result.retry_after_s is None else result.retry_after_s
        if result.reason == OVER_QUOTA:
            return Refusal(OVER_QUOTA_STATUS, OVER_QUOTA, retry_after_s)
        return refuse_not_run(result.reason, retry_after_s)
    return refuse_unknown(result.reason, is_late=False)


def _refuse_late(job: Job) -> Refusal:
    """Return the refusal for a job whose deadline has passed."""
    if job.sends:
        return refuse_unknown('deadline reached', is_late=True)
    return refuse_not_run('deadline reached', RETRY_AFTER_S)


def _refuse(job: Job, reason: str, retry_after_s: float) -> Refusal:
    """Return the refusal for a job that is sent to no other endpoint."""
    if job.runs:
        return refuse_unknown(reason, is_late=False)
    return refuse_not_run(reason, retry_after_s)
