"""At-most-once execution of jobs.

A job is claimed before its dispatch, and its answer is committed before it is returned.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from shallotmux.authority import (
    AbandonClaims,
    AbandonJob,
    Authority,
    ClaimFinished,
    ClaimGranted,
    ClaimJob,
    ClaimMismatch,
    ClaimRunning,
    ClaimUnknown,
    FinishJob,
    JobId,
    Refused,
    ReleaseJob,
    Result,
    StoredAnswer,
    drop_answer_body,
)
from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown
from shallotmux.requests._lifecycle import Lifecycle, Outcome, determine_outcome
from shallotmux.requests._request import RequestRefused, ServiceAnswer, ServiceRequest, refuse
from shallotmux.requests._settings import RequestSettings

#: Maximum submissions of a command; the operation id makes it idempotent.
MAX_SUBMISSIONS = 4

#: Seconds between two submissions of a command.
RESUBMIT_DELAY_S = 0.25

#: Maximum number of settlements queued while the authority is unavailable.
MAX_PENDING = 10_000

Settlement = FinishJob | ReleaseJob | AbandonJob | AbandonClaims


@dataclass(frozen=True, slots=True)
class DispatchResult:
    """Result of the dispatch of a call: an answer, or an error.

    :param lifecycle: state of the call, which tells whether it may have run.
    """

    lifecycle: Lifecycle
    answer: ServiceAnswer | None = None
    error: RequestRefused | None = None


@dataclass(slots=True)
class Jobs:
    """Runs jobs under claims in the replicated ledger.

    :param clock: wall clock in seconds, for the timestamps in commands.
    :param instance: name of this instance.
    :param incarnation: changes with each restart, so that claims of a dead process are recognized.
    :param pending: settlements to commit once the authority is available again.
    """

    authority: Authority
    settings: RequestSettings
    clock: Callable[[], float]
    instance: str
    incarnation: str
    pending: deque[Settlement] = field(default_factory=lambda: deque(maxlen=MAX_PENDING))

    async def run(
        self, request: ServiceRequest, dispatch: Callable[[], Awaitable[DispatchResult]]
    ) -> ServiceAnswer:
        """Return the answer of a job, which only the holder of its claim dispatches.

        :param dispatch: runs the job once.
        :raises RequestRefused: if there is no answer; ``not_run`` is set only if it did not run.
        """
        job = JobId(request.customer, request.route.name, request.idempotency_key)
        claimant = f'{self.instance}/{self.incarnation}/{request.request_id}'
        deadline_s = trio.current_time() + min(self.settings.job_wait_s, request.timeout_s)
        number = 0
        while True:
            number += 1
            claim = await self._claim(f'{claimant}/claim-{number}', job, request, claimant)
            if isinstance(claim, ClaimGranted):
                return await self._settle(job, claimant, await dispatch())
            if not isinstance(claim, ClaimRunning):
                return _answer_resend(claim)
            await self._wait_running(claim, job, claimant, deadline_s)

    async def abandon_previous_claims(self) -> None:
        """Mark the claims of earlier incarnations of this instance as unknown.

        Waits for a fresh state, and submits nothing when there are no such claims.
        """
        while not self.authority.is_fresh():
            await trio.sleep(RESUBMIT_DELAY_S)
        jobs = self.authority.read().ledger.jobs.values()
        claimants = (job.claimant for job in jobs if job.answer is None and not job.unknown)
        if any(claimant.startswith(f'{self.instance}/') for claimant in claimants):
            operation_id = f'{self.instance}/{self.incarnation}/start'
            self.pending.append(AbandonClaims(operation_id, self.instance, self.incarnation))

    async def settle_pending(self) -> None:
        """Retry settlements that could not be committed, until cancelled."""
        await self.abandon_previous_claims()
        while True:
            is_available = True
            while self.pending and is_available:
                is_available = await self._settle_first()
            await trio.sleep(RESUBMIT_DELAY_S)

    async def _settle_first(self) -> bool:
        """Submit the first settlement, and remove it unless that failed; returns whether it did not.

        It may have been evicted meanwhile by one that was added to the full queue.
        """
        first = self.pending[0]
        if await self._submit(first) is None:
            return False
        if self.pending and self.pending[0] is first:
            self.pending.popleft()
        return True

    async def _claim(
        self, operation_id: str, job: JobId, request: ServiceRequest, claimant: str
    ) -> Result:
        now = self.clock()
        command = ClaimJob(
            operation_id,
            job,
            request.body_hash,
            claimant,
            now,
            now + self.settings.job_deadline_s,
            self.settings.retention_s,
        )
        uncertain = False
        for _ in range(MAX_SUBMISSIONS):
            try:
                return await self.authority.submit(command)
            except AuthorityUnavailable:
                break
            except OutcomeUnknown:
                uncertain = True
                await trio.sleep(RESUBMIT_DELAY_S)
        if uncertain:
            # The claim may have been committed; it is released, since nothing was dispatched.
            self.pending.append(ReleaseJob(f'{operation_id}/release', job, claimant))
        raise RequestRefused(
            'the job cannot be claimed now',
            code='authority_unavailable',
            not_run=True,
            retry_after_s=1,
        )

    async def _wait_running(
        self, claim: ClaimRunning, job: JobId, claimant: str, deadline_s: float
    ) -> None:
        """Wait until the running job is settled or its claim expires.

        :raises RequestRefused: if the job is still running at the deadline.
        """
        if self.clock() >= claim.deadline_s:
            await self._submit(AbandonJob(f'{claimant}/expire', job, claimant, self.clock()))
            return
        revision = self.authority.read().revision
        if trio.current_time() >= deadline_s:
            raise RequestRefused(
                'the job is running', code='job_running', not_run=False, status=409, retry_after_s=1
            )
        left_s = claim.deadline_s - self.clock()
        with trio.move_on_at(min(deadline_s, trio.current_time() + left_s)):
            await self._wait_settled(job, revision)

    async def _wait_settled(self, job: JobId, revision: int) -> None:
        while True:
            known = self.authority.read().ledger.jobs.get(job)
            if known is not None and (known.answer is not None or known.unknown):
                return
            await self.authority.wait_changed(revision)
            revision = self.authority.read().revision
            if self.authority.read().ledger.jobs.get(job) is None:
                return

    async def _settle(self, job: JobId, claimant: str, run: DispatchResult) -> ServiceAnswer:
        """Commit the result of a job, then return or raise it."""
        operation_id = f'{claimant}/settle'
        if run.answer is not None:
            stored = StoredAnswer(run.answer.status, run.answer.content_type, run.answer.body)
            if len(stored.body) > self.settings.stored_answer_bytes:
                stored = drop_answer_body(stored)
            await self._commit(FinishJob(operation_id, job, claimant, stored), run)
            # Resends get only what is stored, so the first answer carries no other headers either.
            return ServiceAnswer(stored.status, stored.content_type, run.answer.body)
        if determine_outcome(run.lifecycle) == Outcome.NOT_RUN:
            await self._commit(ReleaseJob(operation_id, job, claimant), run)
        else:
            await self._commit(AbandonJob(operation_id, job, claimant), run)
        raise run.error or refuse(run.lifecycle, 'the job failed', code='outcome_unknown')

    async def _commit(self, command: Settlement, run: DispatchResult) -> None:
        if await self._submit(command) is None:
            self.pending.append(command)
            raise refuse(
                run.lifecycle,
                'the outcome of the job cannot be committed now',
                code='outcome_unknown',
                retry_after_s=1,
            )

    async def _submit(self, command: Settlement) -> Result | None:
        for _ in range(MAX_SUBMISSIONS):
            try:
                return await self.authority.submit(command)
            except (AuthorityUnavailable, OutcomeUnknown):
                await trio.sleep(RESUBMIT_DELAY_S)
        return None


def _answer_resend(claim: Result) -> ServiceAnswer:
    """Return the stored answer of a job, or raise the refusal for the state of its claim."""
    match claim:
        case ClaimFinished(answer=StoredAnswer(digest='') as answer):
            return ServiceAnswer(answer.status, answer.content_type, answer.body)
        case ClaimFinished(answer=answer):
            raise RequestRefused(
                f'the job is done; its answer with SHA-256 {answer.digest} is not kept',
                code='answer_not_kept',
                not_run=False,
                status=409,
            )
        case ClaimUnknown():
            raise RequestRefused(
                'the job may have run; it is not run again',
                code='outcome_unknown',
                not_run=False,
                status=409,
            )
        case ClaimMismatch():
            raise RequestRefused(
                'the idempotency key was used with another body',
                code='idempotency_mismatch',
                not_run=True,
                status=422,
            )
        case Refused(reason=reason):
            raise RequestRefused(reason, code='ledger_full', not_run=True, retry_after_s=60)
    raise RuntimeError(f'unexpected claim {claim!r}')
