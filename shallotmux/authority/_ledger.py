"""Ledger that prevents non-repeatable jobs from being dispatched twice."""

from __future__ import annotations

import hashlib
import heapq
import math
from dataclasses import astuple, dataclass, field, replace

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied, Refused

#: Default time in seconds for which a job is kept after its claim.
RETENTION_S = 86_400.0

#: Maximum number of jobs. A full ledger refuses claims, since an evicted job could run again.
MAX_JOBS = 100_000

#: Maximum size of all answer bodies. Beyond it, the oldest bodies are replaced by digests.
MAX_ANSWER_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class JobId:
    """Identity of a non-repeatable job."""

    customer: str
    route: str
    idempotency_key: str


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of a finished job, returned to every resend of the request.

    :param digest: SHA-256 of the body if the body has been dropped, otherwise empty.
    """

    status: int
    content_type: str
    body: bytes
    digest: str = ''


def drop_answer_body(answer: StoredAnswer) -> StoredAnswer:
    """Return the answer with its body replaced by a digest."""
    if answer.digest:
        return answer
    digest = hashlib.sha256(answer.body).hexdigest()
    return replace(answer, body=b'', digest=digest)


@dataclass(frozen=True, slots=True)
class ClaimJob:
    """Claims a job before its only dispatch.

    :param claimant: request that will dispatch the job, as ``instance/incarnation/request``.
    :param time_s: wall-clock time of the claim, in seconds.
    :param deadline_s: wall-clock time from which any instance may abandon the claim.
    :param retention_s: time in seconds for which the job is kept after its claim.
    """

    operation_id: str
    job: JobId
    body_hash: str
    claimant: str
    time_s: float
    deadline_s: float = math.inf
    retention_s: float = RETENTION_S


@dataclass(frozen=True, slots=True)
class FinishJob:
    """Stores the answer of a job."""

    operation_id: str
    job: JobId
    claimant: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ReleaseJob:
    """Releases a claim because the job is known not to have run."""

    operation_id: str
    job: JobId
    claimant: str


@dataclass(frozen=True, slots=True)
class AbandonJob:
    """Marks the outcome of a job as unknown: it may have run, and is never dispatched again.

    :param time_s: wall-clock time of the command; from the deadline of the claim on, a claimant
        other than the holder may abandon the job.
    """

    operation_id: str
    job: JobId
    claimant: str
    time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AbandonClaims:
    """Marks the unfinished jobs of earlier incarnations of an instance as unknown."""

    operation_id: str
    instance: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claimant may dispatch the job once."""

    claimant: str


@dataclass(frozen=True, slots=True)
class ClaimRunning:
    """Another claimant is running the job, until its deadline at the latest."""

    claimant: str
    deadline_s: float = math.inf


@dataclass(frozen=True, slots=True)
class ClaimFinished:
    """The job has run and has this answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ClaimUnknown:
    """The job may have run and is never dispatched again."""


@dataclass(frozen=True, slots=True)
class ClaimMismatch:
    """The idempotency key was used before with a different body."""


@dataclass(frozen=True, slots=True)
class Job:
    """Ledger entry of a job."""

    job: JobId
    body_hash: str
    claimant: str
    time_s: float
    answer: StoredAnswer | None = None
    unknown: bool = False
    deadline_s: float = math.inf
    retention_s: float = RETENTION_S

    @property
    def retained_until_s(self) -> float:
        """Return the wall-clock time at which the job may be forgotten."""
        return self.time_s + self.retention_s


LedgerCommand = ClaimJob | FinishJob | ReleaseJob | AbandonJob | AbandonClaims
LedgerResult = (
    ClaimGranted | ClaimRunning | ClaimFinished | ClaimUnknown | ClaimMismatch | Applied | Refused
)

registry.register(JobId, StoredAnswer, ClaimJob, FinishJob, ReleaseJob, AbandonJob, Job)
registry.register(AbandonClaims)
registry.register(ClaimGranted, ClaimRunning, ClaimFinished, ClaimUnknown, ClaimMismatch)


@dataclass(slots=True)
class JobLedger:
    """Jobs by identity, in the order of their claims.

    :param answer_bytes: total size of the stored answer bodies.
    """

    jobs: dict[JobId, Job] = field(default_factory=dict)
    answer_bytes: int = 0
    #: End of retention of each claim, the earliest first; claims that were released remain until it.
    _retention_ends: list[tuple[float, tuple[str, str, str]]] = field(default_factory=list)

    def apply(self, command: LedgerCommand, revision: int) -> LedgerResult:
        """Claim a job, or finish, release or abandon a claim."""
        match command:
            case ClaimJob():
                self._evict(command.time_s)
                return self._claim(command)
            case AbandonClaims():
                return self._abandon_incarnations(command, revision)
            case _:
                return self._settle(command, revision)

    def dump(self) -> list[bytes]:
        """Return the jobs for a snapshot."""
        return [registry.encode(job) for job in self.jobs.values()]

    def restore(self, dumped: list[bytes]) -> None:
        """Load the jobs of a snapshot."""
        for each in dumped:
            job: Job = registry.decode(each)
            self.jobs[job.job] = job
            self.answer_bytes += _answer_size(job)
            self._add_retention_end(job)

    def _claim(self, command: ClaimJob) -> LedgerResult:
        job = self.jobs.get(command.job)
        if job is None:
            return self._grant(command)
        if job.body_hash != command.body_hash:
            return ClaimMismatch()
        if job.answer is not None:
            return ClaimFinished(job.answer)
        return ClaimUnknown() if job.unknown else ClaimRunning(job.claimant, job.deadline_s)

    def _grant(self, command: ClaimJob) -> ClaimGranted | Refused:
        if len(self.jobs) >= MAX_JOBS:
            return Refused('the job ledger is full')
        job = Job(
            command.job,
            command.body_hash,
            command.claimant,
            command.time_s,
            deadline_s=command.deadline_s,
            retention_s=command.retention_s,
        )
        self.jobs[command.job] = job
        self._add_retention_end(job)
        return ClaimGranted(command.claimant)

    def _settle(
        self, command: FinishJob | ReleaseJob | AbandonJob, revision: int
    ) -> Applied | Refused:
        job = self.jobs.get(command.job)
        if job is None or not _may_settle(job, command):
            return Refused(f'{command.claimant!r} does not hold the claim')
        match command:
            case FinishJob(answer=answer):
                self._store(replace(job, answer=answer, unknown=False))
            case ReleaseJob() if job.answer is not None or job.unknown:
                return Refused('the job is settled already')
            case ReleaseJob():
                self.jobs.pop(command.job)
            case AbandonJob() if job.answer is None:
                self._store(replace(job, unknown=True))
        return Applied(revision)

    def _store(self, job: Job) -> None:
        self.answer_bytes += _answer_size(job) - _answer_size(self.jobs[job.job])
        self.jobs[job.job] = job
        if self.answer_bytes > MAX_ANSWER_BYTES:
            self._drop_answer_bodies()

    def _drop_answer_bodies(self) -> None:
        for job in list(self.jobs.values()):
            if self.answer_bytes <= MAX_ANSWER_BYTES:
                return
            if job.answer is not None and job.answer.body:
                self.answer_bytes -= _answer_size(job)
                self.jobs[job.job] = replace(job, answer=drop_answer_body(job.answer))

    def _abandon_incarnations(self, command: AbandonClaims, revision: int) -> Applied:
        abandoned = False
        for job in list(self.jobs.values()):
            instance, _, rest = job.claimant.partition('/')
            is_earlier = instance == command.instance and rest.split('/')[0] != command.incarnation
            if is_earlier and job.answer is None:
                self.jobs[job.job] = replace(job, unknown=True)
                abandoned = True
        # Every instance submits this command at its start, and it mostly changes nothing: it then
        # takes no new revision.
        return Applied(revision if abandoned else revision - 1)

    def _add_retention_end(self, job: Job) -> None:
        heapq.heappush(self._retention_ends, (job.retained_until_s, astuple(job.job)))

    def _evict(self, time_s: float) -> None:
        """Remove the jobs whose retention time has passed.

        Retention differs between claims, so the oldest job need not be the first to go.
        """
        while self._retention_ends and self._retention_ends[0][0] <= time_s:
            _, identity = heapq.heappop(self._retention_ends)
            job = self.jobs.get(JobId(*identity))
            # A released job may have been claimed again, with a later end.
            if job is not None and job.retained_until_s <= time_s:
                self.answer_bytes -= _answer_size(job)
                self.jobs.pop(job.job)


def _answer_size(job: Job) -> int:
    return 0 if job.answer is None else len(job.answer.body)


def _may_settle(job: Job, command: FinishJob | ReleaseJob | AbandonJob) -> bool:
    if job.claimant == command.claimant:
        return True
    return isinstance(command, AbandonJob) and command.time_s >= job.deadline_s
