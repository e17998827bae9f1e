"""Tests of the estimate of true time."""

from __future__ import annotations

from shallotmux.fleet import TrueClock

#: Bound on the error of an estimate, in seconds.
NEAR_S = 0.01


def test_step_after_start_has_no_effect() -> None:
    """Guards against usage that is counted in another window after a step of the wall clock."""
    wall = [1000.0]
    steady = [10.0]
    clock = TrueClock(lambda: wall[0], lambda: steady[0])
    wall[0] = 9000.0
    steady[0] = 12.0
    assert abs(clock.now() - 1002) < NEAR_S


def test_step_before_start_is_outvoted() -> None:
    """Guards against an instance that starts while its wall clock is off."""
    clock = TrueClock(lambda: 3000.0, lambda: 10.0)
    for number in range(2):
        clock.note_peer(f'peer-{number}', 1000.0 + number / 1000)
    assert abs(clock.now() - 1000) < NEAR_S
    assert abs(clock.own() - 3000) < NEAR_S


def test_one_wrong_peer_moves_nothing() -> None:
    """Guards against a fleet that follows the one instance whose clock stepped."""
    clock = TrueClock(lambda: 1000.0, lambda: 10.0)
    clock.note_peer('right', 1000.001)
    clock.note_peer('wrong', 7000.0)
    assert abs(clock.now() - 1000) < NEAR_S
