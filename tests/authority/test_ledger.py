"""Tests of the ledger of non-repeatable jobs."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shallotmux.authority import (
    AbandonClaims,
    AbandonJob,
    Applied,
    ClaimFinished,
    ClaimGranted,
    ClaimJob,
    ClaimRunning,
    ClaimUnknown,
    FinishJob,
    JobId,
    Refused,
    ReleaseJob,
    StoredAnswer,
    ZoneState,
    _ledger,
)

JOB = JobId('tailors', 'orders', 'order-1')
CLAIMANT = 'entry-1/a/r1'
ANSWER = StoredAnswer(200, 'text/plain', b'booked')


def claim(number: int, *, job: JobId = JOB, time_s: float = 0) -> ClaimJob:
    """Return a claim with a deadline of 60 s and a retention of 100 s."""
    return ClaimJob(f'claim-{number}', job, 'hash', CLAIMANT, time_s, 60.0, 100.0)


def test_any_instance_abandons_claim_past_deadline() -> None:
    """Guards against a job that stays running for ever after its claimant has crashed."""
    state = ZoneState()
    state.apply(claim(1))
    assert isinstance(state.apply(AbandonJob('a', JOB, 'entry-2/b/r2', 59.0)), Refused)
    assert state.apply(claim(2, time_s=59)) == ClaimRunning(CLAIMANT, 60.0)
    assert isinstance(state.apply(AbandonJob('b', JOB, 'entry-2/b/r2', 60.0)), Applied)
    assert state.apply(claim(3, time_s=61)) == ClaimUnknown()


def test_restart_abandons_claims_of_earlier_incarnation() -> None:
    """Guards against jobs lost in a restart that are still reported as running."""
    state = ZoneState()
    state.apply(claim(1))
    state.apply(AbandonClaims('a', 'entry-1', 'a'))
    assert state.apply(claim(2)) == ClaimRunning(CLAIMANT, 60.0)
    state.apply(AbandonClaims('b', 'entry-1', 'b'))
    assert state.apply(claim(3)) == ClaimUnknown()


def test_unknown_job_is_not_released() -> None:
    """Guards against a second run of a job that may have run and is released late."""
    state = ZoneState()
    state.apply(claim(1))
    state.apply(AbandonJob('a', JOB, CLAIMANT))
    assert isinstance(state.apply(ReleaseJob('r', JOB, CLAIMANT)), Refused)
    assert state.apply(claim(2)) == ClaimUnknown()


def test_late_answer_settles_unknown_job() -> None:
    """Guards against the loss of an answer that arrives after the claim was abandoned."""
    state = ZoneState()
    state.apply(claim(1))
    state.apply(AbandonJob('a', JOB, 'entry-2/b/r2', 60.0))
    state.apply(FinishJob('f', JOB, CLAIMANT, ANSWER))
    assert state.apply(claim(2)) == ClaimFinished(ANSWER)


def test_retention_evicts_oldest_only() -> None:
    """Guards against unbounded growth, and against eviction before the retention has passed."""
    state = ZoneState()
    later = JobId('tailors', 'orders', 'order-2')
    state.apply(claim(1))
    state.apply(claim(2, job=later, time_s=50))
    state.apply(claim(3, job=JobId('tailors', 'orders', 'order-3'), time_s=100))
    assert list(state.ledger.jobs)[0] == later
    assert state.apply(claim(4, time_s=101)) == ClaimGranted(CLAIMANT)


def test_full_ledger_refuses_claims(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the eviction of a job that may still be resent."""
    monkeypatch.setattr(_ledger, 'MAX_JOBS', 1)
    state = ZoneState()
    state.apply(claim(1))
    refused = state.apply(claim(2, job=JobId('tailors', 'orders', 'order-2'), time_s=1))
    assert isinstance(refused, Refused)
    assert JOB in state.ledger.jobs


def test_answer_bodies_over_size_limit_are_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against unbounded memory for answers, and against jobs evicted with their answers."""
    monkeypatch.setattr(_ledger, 'MAX_ANSWER_BYTES', 8)
    state = ZoneState()
    second = JobId('tailors', 'orders', 'order-2')
    for number, job in enumerate((JOB, second)):
        state.apply(claim(number, job=job))
        state.apply(FinishJob(f'f{number}', job, CLAIMANT, ANSWER))
    first = state.apply(claim(8))
    assert isinstance(first, ClaimFinished)
    assert first.answer.body == b''
    assert first.answer.digest
    assert state.apply(claim(9, job=second)) == ClaimFinished(ANSWER)
    assert ZoneState.restore(state.snapshot()).ledger.answer_bytes == state.ledger.answer_bytes


def test_answers_are_not_kept_as_results() -> None:
    """Guards against answers kept in memory and snapshots as the results of repeated claims."""
    state = ZoneState()
    state.apply(claim(1))
    state.apply(FinishJob('f', JOB, CLAIMANT, ANSWER))
    size = len(state.snapshot())
    for number in range(2, 50):
        assert state.apply(claim(number)) == ClaimFinished(ANSWER)
    assert len(state.snapshot()) == size


def test_long_retention_does_not_keep_expired_jobs() -> None:
    """Guards against one old job with a long retention that fills the ledger with expired ones."""
    state = ZoneState()
    kept = JobId('tailors', 'orders', 'kept')
    state.apply(replace(claim(0, job=kept), retention_s=1000.0))
    for number in range(1, 4):
        state.apply(claim(number, job=JobId('tailors', 'orders', f'order-{number}')))
    state.apply(claim(9, job=JobId('tailors', 'orders', 'later'), time_s=200))
    assert {job.idempotency_key for job in state.ledger.jobs} == {'kept', 'later'}
    restored = ZoneState.restore(state.snapshot())
    restored.apply(claim(10, time_s=1500))
    assert {job.idempotency_key for job in restored.ledger.jobs} == {JOB.idempotency_key}
