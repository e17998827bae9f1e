"""Tests of what is known of an endpoint from its reports."""

from __future__ import annotations

import math

import pytest

from shallotmux.estimates import EndpointModel, LoadReport, UsualLoads
from shallotmux.fleet import EngineRole


def test_own_requests_are_not_counted_twice() -> None:
    """Guards against own requests that count in a report of another instance and on their own."""
    model = EndpointModel()
    model.record_in_flight(1, 1.0)
    model.record_in_flight(2, 2.0)
    model.record_in_flight(3, 3.0)
    # The report was written when two of them were there, and arrives through another instance later.
    assert model.receive(LoadReport(5, 0, 8, at=2.5))
    assert model.others_running == 3


def test_waiting_requests_of_others_stay_apart() -> None:
    """Guards against a queue that disappears since running requests are subtracted from it."""
    model = EndpointModel()
    model.record_in_flight(2, 1.0)
    model.receive(LoadReport(4, 40, 4, at=1.0))
    assert (model.others_running, model.others_waiting) == (2, 40)


def test_younger_report_stays() -> None:
    """Guards against a report that arrives late through another instance and replaces a newer one."""
    model = EndpointModel()
    assert model.receive(LoadReport(4, 9, 4, at=2.0))
    assert not model.receive(LoadReport(0, 0, 4, at=1.9))
    assert not model.receive(LoadReport(0, 0, 4, at=2.0))
    assert model.report == LoadReport(4, 9, 4, at=2.0)


def test_forgotten_changes_leave_the_oldest_known_number() -> None:
    """Guards against requests that count as those of others once many have begun after the report."""
    model = EndpointModel()
    for number in range(1, 101):
        model.record_in_flight(number, float(number))
    assert model.own_at(10.0) == 69
    assert model.own_at(100.0) == 100
    assert not EndpointModel().own_at(1.0)


def test_age_is_that_of_the_report() -> None:
    """Guards against an age of 0 where nothing was ever heard."""
    model = EndpointModel()
    assert model.age_s(5.0) == math.inf
    model.receive(LoadReport(0, 0, 4, at=4.0))
    assert model.age_s(5.0) == 1


def test_factor_of_an_endpoint_fades_and_is_bounded() -> None:
    """Guards against an endpoint that was slow once and is never used again."""
    model = EndpointModel()
    for number in range(200):
        model.record_ratio(1e9, number / 10)
    assert model.factor(20.0) == pytest.approx(4.0, rel=0.1)
    assert model.factor(30.0) == pytest.approx(2, rel=0.05)
    assert model.factor(100.0) == pytest.approx(1.0, abs=0.01)


@pytest.mark.parametrize(
    'report',
    [
        LoadReport(-1, 0, 4),
        LoadReport(99_999, 2, 4),
        LoadReport(0, 0, 200_000),
        LoadReport(1, 1, 4, 0),
        LoadReport(1, 1, 4, 10_001),
    ],
)
def test_absurd_report_is_not_plausible(report: LoadReport) -> None:
    """Guards against numbers that attract all requests, or keep all off."""
    assert not report.is_plausible


def test_pace_that_is_believed_is_bounded() -> None:
    """Guards against a machine that claims to be far faster than usual and gets all requests."""
    assert LoadReport(1, 1, 4, 1).pace == pytest.approx(0.25)
    assert LoadReport(1, 1, 4, 10_000).pace == 16


def test_usual_load_is_an_average_that_fades() -> None:
    """Guards against a load that is taken for usual long after the requests have ended."""
    usual = UsualLoads()
    for number in range(100):
        usual.record('s', EngineRole.MIXED, 6.0, 2.0, number / 10)
    assert usual.usual('s', EngineRole.MIXED, 9.9) == pytest.approx((6.0, 2.0), rel=0.01)
    assert usual.usual('s', EngineRole.MIXED, 19.9) == pytest.approx((3.0, 1.0), rel=0.01)
    assert usual.usual('s', EngineRole.DECODE, 9.9) == (0.0, 0.0)
