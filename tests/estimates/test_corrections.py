"""Tests of what is learned from real times."""

from __future__ import annotations

from random import Random

import pytest

from shallotmux.estimates import TimeCorrection, WorkTime


def test_nothing_is_corrected_at_first() -> None:
    """Guards against estimates that are distorted before anything was seen."""
    assert TimeCorrection().apply(80.0) == 80


@pytest.mark.parametrize('count', [1, 2])
def test_few_outliers_do_not_swing_it(count: int) -> None:
    """Guards against one request that a fault delayed by seconds and that decides all estimates."""
    correction = TimeCorrection()
    for _ in range(count):
        correction.record(30.0, 6000.0)
    assert correction.apply(30.0) < 100


def test_outliers_among_others_have_no_effect() -> None:
    """Guards against timeouts and retries that raise all estimates."""
    correction = TimeCorrection()
    random = Random(1)
    for number in range(24):
        base = random.uniform(10, 300)
        correction.record(base, 9000.0 if number % 5 == 0 else 90 + base)
    assert correction.apply(100.0) == pytest.approx(190.0, rel=0.15)


@pytest.mark.parametrize('count', range(6, 24))
def test_one_slow_answer_has_no_effect_on_the_factor(count: int) -> None:
    """Guards against waits, by which requests are refused, that one slow answer lengthens."""
    correction = TimeCorrection()
    bases = [100.0 + 40.0 * number for number in range(count)]
    for base in bases[:-1]:
        correction.record(base, 900.0 + base)
    correction.record(bases[-1], 20_000.0)
    assert correction.factor == pytest.approx(1.0, abs=0.15)


def test_fixed_part_and_factor_are_told_apart() -> None:
    """Guards against a fixed time of an engine that is learned as a factor, or the reverse."""
    correction = TimeCorrection()
    random = Random(2)
    for _ in range(100):
        base = random.uniform(5, 400)
        correction.record(base, (90 + 1.8 * base) * random.uniform(0.9, 1.1))
    assert correction.apply(20.0) == pytest.approx(126.0, rel=0.15)
    assert correction.apply(200.0) == pytest.approx(450.0, rel=0.1)


def test_equal_estimates_give_no_factor() -> None:
    """Guards against a slope through pairs that differ in noise only."""
    correction = TimeCorrection()
    random = Random(3)
    for _ in range(24):
        correction.record(50.0 + random.random(), random.uniform(80, 400))
    assert correction.factor == 1


def test_estimates_that_are_too_long_are_corrected_without_a_negative_part() -> None:
    """Guards against negative times, when the cost model overestimates."""
    correction = TimeCorrection()
    for base in range(100, 340, 10):
        correction.record(float(base), base / 2 - 40)
    assert not correction.fixed_ms
    assert correction.factor == pytest.approx(0.32, abs=0.05)


def test_correction_follows_a_change() -> None:
    """Guards against a correction that old pairs hold back for good."""
    correction = TimeCorrection()
    for _ in range(200):
        correction.record(50.0, 140.0)
    for _ in range(24):
        correction.record(50.0, 260.0)
    assert correction.apply(50.0) == pytest.approx(260.0)


def test_time_of_plain_work_is_a_median_at_the_usual_pace() -> None:
    """Guards against the times of slow or full endpoints that are taken for the usual time."""
    work = WorkTime()
    for number in range(24):
        units = (1.0, 2.0, 3.0)[number % 3]
        work.record(units, 5000.0 if number == 7 else 90.0 * units)
    assert work.usual_ms == pytest.approx(90.0)
    work.record(0.0, 10.0)
    work.record(float('inf'), 10.0)
    assert work.usual_ms == pytest.approx(90.0)
