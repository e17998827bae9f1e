"""Tests of the time estimate."""

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


def test_step_before_start_is_corrected_by_peers() -> None:
    """Guards against a wrong time on an instance that starts while its wall clock is wrong."""
    clock = TrueClock(lambda: 3000.0, lambda: 10.0)
    for number in range(2):
        clock.record_peer_estimate(f'peer-{number}', 1000.0 + number / 1000)
    assert abs(clock.now() - 1000) < NEAR_S
    assert abs(clock.local_estimate() - 3000) < NEAR_S


def test_estimate_that_is_no_time_is_ignored() -> None:
    """Guards against a message that leaves an instance without a time, so that nothing is counted."""
    clock = TrueClock(lambda: 1000.0, lambda: 10.0)
    for number, estimate in enumerate((float('nan'), float('inf'), -float('inf'), 1e300, -1.0)):
        clock.record_peer_estimate(f'peer-{number}', estimate)
    assert abs(clock.now() - 1000) < NEAR_S


def test_one_wrong_peer_has_no_effect() -> None:
    """Guards against a fleet that adopts the time of one instance whose clock stepped."""
    clock = TrueClock(lambda: 1000.0, lambda: 10.0)
    clock.record_peer_estimate('right', 1000.001)
    clock.record_peer_estimate('wrong', 7000.0)
    assert abs(clock.now() - 1000) < NEAR_S
