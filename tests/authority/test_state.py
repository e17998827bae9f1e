"""Tests of the replicated state of a zone."""

from __future__ import annotations

from shallotmux.authority import (
    Applied,
    ClaimFinished,
    ClaimGranted,
    ClaimJob,
    ClaimMismatch,
    ClaimRunning,
    Conflict,
    CreateKey,
    FinishJob,
    JobId,
    PutObject,
    Refused,
    StoredAnswer,
    ZoneState,
    decode_command,
    encode_command,
)
from shallotmux.world import Contract, Customer, CustomerKey, Endpoint, EndpointPool

JOB = JobId('tailors', 'orders', 'order-1')


def test_put_equal_revision_one_writer_wins() -> None:
    """Guards against two writes that both succeed with the same expected revision."""
    state = ZoneState()
    first = state.apply(PutObject('a', Customer('tailors'), 0))
    second = state.apply(PutObject('b', Customer('tailors', Contract(2)), 0))
    assert first == Applied(1)
    assert second == Conflict('customer/tailors', 1)


def test_repeated_operation_returns_first_result() -> None:
    """Guards against a retry that is refused as a conflict with its own first write."""
    state = ZoneState()
    command = PutObject('a', Customer('tailors'), 0)
    assert state.apply(command) == state.apply(command)
    assert state.revision == 1


def test_operation_id_of_another_command_is_refused() -> None:
    """Guards against a command answered with the result of another one."""
    state = ZoneState()
    state.apply(PutObject('a', Customer('tailors'), 0))
    assert isinstance(state.apply(PutObject('a', Customer('cutters'), 0)), Refused)
    assert state.customer('cutters') is None


def test_claim_is_granted_once() -> None:
    """Guards against dispatching a non-repeatable job twice."""
    state = ZoneState()
    assert state.apply(ClaimJob('1', JOB, 'hash', 'entry-1', 0)) == ClaimGranted('entry-1')
    assert state.apply(ClaimJob('2', JOB, 'hash', 'entry-2', 0)) == ClaimRunning('entry-1')
    assert state.apply(ClaimJob('3', JOB, 'other', 'entry-2', 0)) == ClaimMismatch()
    answer = StoredAnswer(200, 'text/plain', b'booked')
    state.apply(FinishJob('4', JOB, 'entry-1', answer))
    assert state.apply(ClaimJob('5', JOB, 'hash', 'entry-2', 0)) == ClaimFinished(answer)


def test_encoding_round_trip_of_put() -> None:
    """Guards against a log entry that decodes to a different command."""
    command = PutObject('a', Customer('tailors', Contract(2)), 3)
    assert decode_command(encode_command(command)) == command


def test_snapshot_restores_equal_state() -> None:
    """Guards against state lost when the log is truncated after a snapshot."""
    state = ZoneState()
    state.apply(PutObject('a', Customer('tailors'), 0))
    state.apply(PutObject('p', EndpointPool('sorting', 'z', (Endpoint('e', 'z', '1'),)), 0))
    state.apply(CreateKey('k', CustomerKey('key-1', 'tailors', 'digest')))
    state.apply(ClaimJob('c', JOB, 'hash', 'entry-1', 0))
    state.apply(FinishJob('f', JOB, 'entry-1', StoredAnswer(200, 'text/plain', b'booked')))
    assert ZoneState.restore(state.snapshot()) == state
