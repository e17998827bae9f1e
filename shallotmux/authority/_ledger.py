"""Ledger of non-repeatable jobs: claims, answers, outcomes that stay unknown."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied, Refused


@dataclass(frozen=True, slots=True)
class JobId:
    """Identity of a non-repeatable job."""

    customer: str
    route: str
    idempotency_key: str


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of a finished job, returned to every repeat."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimJob:
    """Claims a job before its only dispatch.

    :param claimant: instance and request that will dispatch the job.
    :param time_s: wall-clock time of the claim, in seconds.
    """

    operation_id: str
    job: JobId
    body_hash: str
    claimant: str
    time_s: float


@dataclass(frozen=True, slots=True)
class FinishJob:
    """Stores the answer of a job."""

    operation_id: str
    job: JobId
    claimant: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ReleaseJob:
    """Gives a claim back because the job certainly did not run."""

    operation_id: str
    job: JobId
    claimant: str


@dataclass(frozen=True, slots=True)
class AbandonJob:
    """Marks a job as unknown: it may have run, and is never dispatched again."""

    operation_id: str
    job: JobId
    claimant: str


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claimant may dispatch the job, once."""

    claimant: str


@dataclass(frozen=True, slots=True)
class ClaimRunning:
    """Another claimant is running the job."""

    claimant: str


@dataclass(frozen=True, slots=True)
class ClaimFinished:
    """The job has run; this is its answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ClaimUnknown:
    """The job may have run; it is never dispatched again."""


@dataclass(frozen=True, slots=True)
class ClaimMismatch:
    """The idempotency key was used before with another body."""


@dataclass(frozen=True, slots=True)
class Job:
    """Ledger entry of a job."""

    job: JobId
    body_hash: str
    claimant: str
    time_s: float
    answer: StoredAnswer | None = None
    unknown: bool = False


LedgerCommand = ClaimJob | FinishJob | ReleaseJob | AbandonJob
LedgerResult = (
    ClaimGranted | ClaimRunning | ClaimFinished | ClaimUnknown | ClaimMismatch | Applied | Refused
)

registry.register(JobId, StoredAnswer, ClaimJob, FinishJob, ReleaseJob, AbandonJob, Job)
registry.register(ClaimGranted, ClaimRunning, ClaimFinished, ClaimUnknown, ClaimMismatch)


@dataclass(slots=True)
class JobLedger:
    """Jobs by identity, in the order of their claims."""

    jobs: dict[JobId, Job] = field(default_factory=dict)

    def apply(self, command: LedgerCommand, revision: int) -> LedgerResult:
        """Claim a job, or settle a claim that its claimant holds."""
        match command:
            case ClaimJob():
                return self._claim(command)
            case _:
                return self._settle(command, revision)

    def dump(self) -> list[bytes]:
        """Return the jobs for a snapshot."""
        return [registry.encode(job) for job in self.jobs.values()]

    def restore(self, dumped: list[bytes]) -> None:
        """Take the jobs of a snapshot."""
        for each in dumped:
            job: Job = registry.decode(each)
            self.jobs[job.job] = job

    def _claim(self, command: ClaimJob) -> LedgerResult:
        job = self.jobs.get(command.job)
        if job is None:
            self.jobs[command.job] = Job(
                command.job, command.body_hash, command.claimant, command.time_s
            )
            return ClaimGranted(command.claimant)
        if job.body_hash != command.body_hash:
            return ClaimMismatch()
        if job.answer is not None:
            return ClaimFinished(job.answer)
        return ClaimUnknown() if job.unknown else ClaimRunning(job.claimant)

    def _settle(
        self, command: FinishJob | ReleaseJob | AbandonJob, revision: int
    ) -> Applied | Refused:
        job = self.jobs.get(command.job)
        if job is None or job.claimant != command.claimant:
            return Refused(f'{command.claimant!r} does not hold the claim')
        match command:
            case FinishJob(answer=answer):
                self.jobs[command.job] = replace(job, answer=answer, unknown=False)
            case ReleaseJob():
                self.jobs.pop(command.job)
            case AbandonJob():
                self.jobs[command.job] = replace(job, unknown=True)
        return Applied(revision)
