"""Forward the requests of callers to the endpoints of their routes."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import trio
from eliot import log_message

from shallotmux.fleet import FleetView
from shallotmux.forwarding._admission import Admitted, Dialect, admit_request
from shallotmux.forwarding._attempt import AttemptEnd, AttemptRunner
from shallotmux.forwarding._budget import RepeatBudget
from shallotmux.forwarding._directory import EndpointDirectory, choose_least_busy
from shallotmux.forwarding._engines import EnginePlacer
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._lateness import Postponed
from shallotmux.forwarding._messages import CallerRequest, Reply
from shallotmux.forwarding._metrics import ForwardingMetrics
from shallotmux.forwarding._outcome import Outcome
from shallotmux.forwarding._refusals import Refusal, refuse_not_run, refuse_unknown
from shallotmux.forwarding._state import EndpointState, Target

#: Time after the deadline within which the endpoint's own answer to it is still awaited.
DEADLINE_GRACE_S = 0.1

#: Attempts at endpoints that all refuse a request, before it is refused.
MAX_SENDS = 4

#: Endpoints that are tried for a request, those that could not be reached included. Each may take
#: the time limit of a connection.
MAX_TRIES = 6

#: Time after which a request may come back that found no endpoint, or only full ones.
RETRY_SOON_S = 0.5

#: Share of its latency objective after which a repeatable request is tried elsewhere.
PATIENCE = 2.0


@dataclass(slots=True)
class Forwarder:
    """Admits requests, chooses endpoints, repeats what may be repeated.

    :param zone: availability zone of this instance.
    """

    zone: str
    view: FleetView
    dialect: Dialect
    directory: EndpointDirectory
    runner: AttemptRunner
    placer: EnginePlacer
    budget: RepeatBudget
    metrics: ForwardingMetrics
    random: Random = field(default_factory=Random)

    async def handle(self, request: CallerRequest, reply: Reply) -> None:
        """Answer one request."""
        admitted = admit_request(request, reply, self.view.table, self.dialect, self.random.random)
        with self.metrics.in_flight.track_inprogress():
            match admitted:
                case Refusal():
                    self._log_refusal(request, admitted)
                    await admitted.send(reply, self.dialect.names.retry_after)
                case Admitted(job=job):
                    await self._run(job)

    async def _run(self, job: Job) -> None:
        self.budget.note_request(job.service)
        refusal: Refusal | None = None
        limit = trio.move_on_at(job.deadline + DEADLINE_GRACE_S)
        with limit:
            refusal = await self._attempt_repeatedly(job)
        if limit.cancelled_caught:
            refusal = refuse_unknown('deadline reached', is_late=True)
            if not job.sends:
                refusal = refuse_not_run('deadline reached', RETRY_SOON_S)
        if refusal is None:
            return
        self._log_end(job, refusal)
        if job.reply.is_started:
            job.reply.abort()
        else:
            await refusal.send(job.reply, self.dialect.names.retry_after)

    async def _attempt_repeatedly(self, job: Job) -> Refusal | None:
        """Try endpoints until one has answered; returns the refusal if none did."""
        reason = 'no endpoint'
        while job.sends < MAX_SENDS and len(job.excluded) < MAX_TRIES:
            if self._is_harmful(job):
                reason = 'crashes endpoints'
                break
            target = await self._choose(job)
            if isinstance(target, Postponed):
                return refuse_not_run('engines are busy', target.return_after_s)
            if target is None:
                break
            end = await self._attempt_once(job, target)
            self._log_attempt(job, target.state, end)
            if end.is_delivered:
                self._note_delivered(job, end)
                return None
            reason = end.reason
            job.excluded.add(target.state.identity)
            if not self._may_go_on(job, end):
                return _final_refusal(job, end)
        if job.runs:
            return refuse_unknown(reason, is_late=False)
        return refuse_not_run(reason, RETRY_SOON_S)

    async def _attempt_once(self, job: Job, target: Target) -> AttemptEnd:
        may_hold_back = job.route.is_repeatable and self._has_attempts(job, job.runs + 1)
        patience_s = self._patience_s(job) if may_hold_back else float('inf')
        end = AttemptEnd(Outcome.UNKNOWN, 'no answer in time', is_failure=True)
        waiting = trio.move_on_after(patience_s)
        with waiting:
            end = await self.runner.run(job, target, waiting, may_hold_back=may_hold_back)
        if waiting.cancelled_caught:
            self.directory.note_failure(target.state, end.reason)
        if end.outcome is not Outcome.NOT_RUN:
            job.runs += 1
        return end

    def _patience_s(self, job: Job) -> float:
        """Return how long an endpoint may take to begin its answer before another one is tried."""
        objective_s = job.route.latency_objective_ms / 1000
        return PATIENCE * objective_s if objective_s else float('inf')

    def _has_attempts(self, job: Job, runs: int) -> bool:
        return runs < job.route.max_attempts and job.sends + 1 < MAX_SENDS

    def _may_go_on(self, job: Job, end: AttemptEnd) -> bool:
        """Return whether another attempt is allowed after one that did not deliver."""
        if job.reply.is_started and job.events is None:
            # Only a stream with numbered events can go on where it was broken off.
            return False
        if end.outcome is not Outcome.NOT_RUN:
            if not job.route.is_repeatable or job.runs >= job.route.max_attempts:
                return False
        # What did not leave this instance is no repeat.
        return not job.sends or self.budget.take(job.service)

    def _is_harmful(self, job: Job) -> bool:
        crashes = self.directory.crashes
        return crashes.has_reports and crashes.is_harmful(job.fingerprint())

    async def _choose(self, job: Job) -> Target | Postponed | None:
        usable = self.directory.usable(job.service, job.excluded)
        if job.prompt is not None and usable:
            return await self.placer.place(job, usable)
        state = choose_least_busy(usable, self.zone, self.random.random)
        return None if state is None else Target(state)

    def _note_delivered(self, job: Job, end: AttemptEnd) -> None:
        crashes = self.directory.crashes
        if crashes.has_reports:
            crashes.record_served(job.fingerprint())
        self.metrics.requests.labels(job.route.name, end.status).inc()
        self.metrics.first_byte.labels(job.route.name).observe(job.first_part_s)

    def _log_attempt(self, job: Job, state: EndpointState, end: AttemptEnd) -> None:
        outcome = 'delivered' if end.is_delivered else end.outcome.value
        self.metrics.attempts.labels(job.route.name, outcome).inc()
        log_message(
            message_type='shallotmux:attempt',
            request=job.request_id.decode('latin-1'),
            route=job.route.name,
            endpoint=state.identity,
            outcome=outcome,
            status=end.status,
            reason=end.reason,
            number=job.sends,
            version=self.view.version,
            first_ms=int(job.first_part_s * 1000),
            gap_ms=int(job.longest_gap_s * 1000),
            left_ms=int(job.remaining_s * 1000),
        )

    def _log_end(self, job: Job, refusal: Refusal) -> None:
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


def _final_refusal(job: Job, end: AttemptEnd) -> Refusal:
    """Return the answer for a job that is not tried again."""
    if end.outcome is Outcome.NOT_RUN and not job.runs:
        return refuse_not_run(end.reason, RETRY_SOON_S)
    return refuse_unknown(end.reason, is_late=False)
