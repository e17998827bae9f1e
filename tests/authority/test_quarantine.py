"""Tests of the quarantine of requests that crash engines."""

from __future__ import annotations

from shallotmux.authority import (
    Applied,
    ClearParts,
    EndTrial,
    LiftQuarantine,
    RecordCrash,
    Refused,
    StartTrial,
    ZoneState,
)
from shallotmux.authority._part_crashes import MAX_CRASHES, MAX_PARTS


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


def part_crash(number: int, *parts: int, engine: str = '', time_s: float = 0) -> RecordCrash:
    """Return the report of a crash of an engine that ran prompts with these parts."""
    name = engine or f'engine-{number}'
    fingerprint = (f'request-{number}',)
    return RecordCrash(f'crash-{number}', name, fingerprint, False, time_s, 300.0, parts)


def test_part_of_different_requests_is_quarantined() -> None:
    """Guards against requests that share one part and crash engines without being alike."""
    state = ZoneState()
    for number in range(3):
        assert state.quarantine.parts.find_culprit((1, 7), 2.0) is None
        state.apply(part_crash(number, 7, 10 + number, time_s=number))
    culprit = state.quarantine.parts.find_culprit((1, 7), 3.0)
    assert culprit is not None
    assert state.quarantine.parts.find_culprit((1, 10), 3.0) is None
    assert state.quarantine.parts.find_culprit((1, 7), culprit.ends_at) is None
    assert ZoneState.restore(state.snapshot()) == state


def test_crash_seen_by_several_instances_counts_once() -> None:
    """Guards against a quarantine after one crash that three instances report."""
    state = ZoneState()
    for number in range(3):
        state.apply(part_crash(number, 7, engine='engine-1', time_s=number))
    assert state.quarantine.parts.find_culprit((7,), 3.0) is None


def test_served_part_is_cleared() -> None:
    """Guards against a frequent part that is refused since it ran beside the cause."""
    state = ZoneState()
    for number in range(3):
        state.apply(part_crash(number, 7, 8, time_s=number))
    state.apply(ClearParts('c', (8,), 3.0))
    assert not state.quarantine.parts.are_suspect((8,))
    assert state.quarantine.parts.find_culprit((8,), 4.0) is None
    assert state.quarantine.parts.find_culprit((7,), 4.0) is not None


def test_crashes_of_parts_are_bounded() -> None:
    """Guards against requests with ever new parts that fill the state of a zone."""
    state = ZoneState()
    for number in range(200):
        state.apply(part_crash(number, *range(1000 * number, 1000 * number + 500)))
    crashes = state.quarantine.parts.crashes
    assert len(crashes) == MAX_CRASHES
    assert max(len(each.parts) for each in crashes) == MAX_PARTS
