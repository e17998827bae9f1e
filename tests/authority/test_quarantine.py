"""Tests of the quarantine of requests that crash engines."""

from __future__ import annotations

from shallotmux.authority import (
    Applied,
    EndTrial,
    LiftQuarantine,
    RecordCrash,
    Refused,
    StartTrial,
    ZoneState,
)


def crash(number: int, *fingerprints: str, alone: bool = False, time_s: float = 0) -> RecordCrash:
    """Return the report of a crash, with a quarantine of 300 s."""
    return RecordCrash(f'crash-{number}', 'engine-1', fingerprints, alone, time_s, 300.0)


def test_shared_crashes_never_quarantine() -> None:
    """Guards against the quarantine of a request that shared the engine with the cause."""
    state = ZoneState()
    for number in range(5):
        state.apply(crash(number, 'harmless', f'other-{number}'))
    suspicion = state.quarantine.find('harmless', 1.0)
    assert suspicion is not None
    assert not suspicion.quarantined


def test_crash_on_trial_quarantines_for_a_time() -> None:
    """Guards against a request that crashes a third engine, and an endless quarantine."""
    state = ZoneState()
    state.apply(crash(1, 'poison', 'harmless'))
    state.apply(StartTrial('t', 'poison', 'entry-1', 1.0, 30.0))
    state.apply(crash(2, 'poison', alone=True, time_s=2))
    suspicion = state.quarantine.find('poison', 301.0)
    assert suspicion is not None
    assert suspicion.quarantined
    assert isinstance(state.apply(StartTrial('u', 'poison', 'entry-1', 3.0, 30.0)), Refused)
    assert state.quarantine.find('poison', 302.0) is None
    assert ZoneState.restore(state.snapshot()) == state


def test_one_trial_at_a_time() -> None:
    """Guards against two instances that each crash an engine with the same request."""
    state = ZoneState()
    state.apply(crash(1, 'poison', 'harmless'))
    assert isinstance(state.apply(StartTrial('a', 'poison', 'entry-1', 1.0, 30.0)), Applied)
    state.apply(crash(2, 'poison', 'another', time_s=2))
    assert isinstance(state.apply(StartTrial('b', 'poison', 'entry-2', 3.0, 30.0)), Refused)
    assert isinstance(state.apply(StartTrial('c', 'poison', 'entry-2', 31.0, 30.0)), Applied)


def test_cleared_and_lifted_requests_are_not_suspect() -> None:
    """Guards against a suspicion kept after a passed trial or a lift by the operator."""
    state = ZoneState()
    state.apply(crash(1, 'cleared', 'lifted'))
    state.apply(StartTrial('t', 'cleared', 'entry-1', 1.0, 30.0))
    state.apply(EndTrial('e', 'cleared', 'entry-1', cleared=True))
    state.apply(LiftQuarantine('l', 'lifted'))
    assert not state.quarantine.suspicions
