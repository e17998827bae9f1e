"""Tests of the suspicions against requests that crash engines."""

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
    """Guards against blaming a request that shared the engine with the guilty one."""
    state = ZoneState()
    for number in range(5):
        state.apply(crash(number, 'innocent', f'other-{number}'))
    known = state.quarantine.find('innocent', 1.0)
    assert known is not None
    assert not known.quarantined


def test_crash_on_trial_quarantines_for_a_time() -> None:
    """Guards against a request that crashes a third engine, and against an endless quarantine."""
    state = ZoneState()
    state.apply(crash(1, 'poison', 'innocent'))
    state.apply(StartTrial('t', 'poison', 'entry-1', 1.0, 30.0))
    state.apply(crash(2, 'poison', alone=True, time_s=2))
    known = state.quarantine.find('poison', 301.0)
    assert known is not None
    assert known.quarantined
    assert isinstance(state.apply(StartTrial('u', 'poison', 'entry-1', 3.0, 30.0)), Refused)
    assert state.quarantine.find('poison', 302.0) is None
    assert ZoneState.restore(state.snapshot()) == state


def test_one_trial_at_a_time() -> None:
    """Guards against two instances that each crash an engine with the same suspect."""
    state = ZoneState()
    state.apply(crash(1, 'poison', 'innocent'))
    assert isinstance(state.apply(StartTrial('a', 'poison', 'entry-1', 1.0, 30.0)), Applied)
    state.apply(crash(2, 'poison', 'another', time_s=2))
    assert isinstance(state.apply(StartTrial('b', 'poison', 'entry-2', 3.0, 30.0)), Refused)
    assert isinstance(state.apply(StartTrial('c', 'poison', 'entry-2', 31.0, 30.0)), Applied)


def test_cleared_and_lifted_requests_run_freely() -> None:
    """Guards against a suspicion that outlives its refutation or the operator's decision."""
    state = ZoneState()
    state.apply(crash(1, 'innocent', 'pardoned'))
    state.apply(StartTrial('t', 'innocent', 'entry-1', 1.0, 30.0))
    state.apply(EndTrial('e', 'innocent', 'entry-1', cleared=True))
    state.apply(LiftQuarantine('l', 'pardoned'))
    assert not state.quarantine.suspicions
