"""Tests of the estimated times of endpoints."""

from __future__ import annotations

import math

import pytest

from shallotmux.estimates import Estimator, LoadReport, Work
from shallotmux.fleet import EngineRole
from shallotmux.placement import PhaseTime
from tests.estimates._endpoints import PlainEndpoint, endpoint


def feed_plain(estimator: Estimator, worker: PlainEndpoint, real_ms: float) -> None:
    """Record enough plain work of one duration, apart from each other."""
    for number in range(24):
        now = -1000.0 + number
        estimator.record(worker, estimator.estimate_plain(worker, now), real_ms, now)


def test_idle_endpoint_takes_the_usual_time() -> None:
    """Guards against a wait that is estimated where nothing waits."""
    estimator = Estimator()
    worker = endpoint('w', slots=6)
    feed_plain(estimator, worker, 90.0)
    got = estimator.estimate_plain(worker, 0.0)
    assert (got.wait_ms, got.pace, got.age_s) == (0.0, 1.0, math.inf)
    assert got.service_ms == pytest.approx(90.0, rel=0.01)


def test_queue_and_pace_lengthen_plain_work() -> None:
    """Guards against the queue and the pace that an endpoint reports, and that nothing uses."""
    estimator = Estimator()
    worker = endpoint('w', slots=6)
    feed_plain(estimator, worker, 90.0)
    estimator.receive(worker, LoadReport(6, 11, 6, 200, 0.0))
    got = estimator.estimate_plain(worker, 0.0)
    # 12 requests come before the slot, 6 at a time.
    assert got.wait_ms == pytest.approx(2 * 2 * 90.0, rel=0.01)
    assert got.service_ms == pytest.approx(180.0, rel=0.01)
    assert got.pace == 2


def test_report_loses_weight_and_returns_to_what_is_usual() -> None:
    """Guards against an endpoint that is avoided long after it has recovered."""
    estimator = Estimator()
    slow, other = endpoint('w-0', slots=6), endpoint('w-1', slots=6)
    estimator.receive(slow, LoadReport(6, 12, 6, 300, 0.0))
    assert estimator.rank_plain(slow, 0.0) > 2 * estimator.rank_plain(other, 0.0)
    late = estimator.rank_plain(slow, 3.0) / estimator.rank_plain(other, 3.0)
    assert late == pytest.approx(1.0, abs=0.1)
    # A recovery that is reported counts at once.
    estimator.receive(slow, LoadReport(1, 0, 6, 100, 0.3))
    assert estimator.rank_plain(slow, 0.3) < estimator.rank_plain(other, 0.3) + 0.5


def test_endpoint_without_reports_is_like_its_peers() -> None:
    """Guards against all requests that go to the one endpoint of which nothing was heard."""
    estimator = Estimator()
    for number in range(100):
        estimator.receive(endpoint(f'w-{number}', slots=6), LoadReport(5, 0, 6, at=number / 10))
    assert estimator.estimate_plain(endpoint('new', slots=6), 10.0).wait_ms == 0
    assert estimator.rank_plain(endpoint('new', slots=6), 10.0) == pytest.approx(1.83, abs=0.05)


def test_refusal_counts_as_full() -> None:
    """Guards against the next requests that go to an endpoint that has just refused one."""
    estimator = Estimator()
    full, other = endpoint('w-0'), endpoint('w-1')
    full.model.record_refusal(0.0)
    assert estimator.rank_plain(full, 0.1) > 1.5 * estimator.rank_plain(other, 0.1)
    assert estimator.rank_plain(full, 5.0) == pytest.approx(estimator.rank_plain(other, 5.0), 0.01)


def test_reported_prompts_are_a_backlog() -> None:
    """Guards against prompts of unheard instances, by which a prefill engine looks idle."""
    estimator = Estimator()
    estimator.record_prompt('s', 5000.0)
    engine = endpoint('p', EngineRole.PREFILL, 64)
    estimator.receive(engine, LoadReport(1, 40, 64, at=0.0))
    got = estimator.estimate_prompt(engine, 5000.0, 0.0)
    assert got.work is Work.PREFILL
    assert got.wait_ms == pytest.approx(40.5 * 5000 / 50)


def test_peers_and_reports_do_not_add_up() -> None:
    """Guards against prompts that count twice: in the datagram of a peer, and in the report."""
    estimator = Estimator(peer_tokens=lambda _: 10_000.0)
    estimator.record_prompt('s', 5000.0)
    engine = endpoint('p', EngineRole.PREFILL, 64)
    estimator.receive(engine, LoadReport(0, 2, 64, at=0.0))
    assert estimator.view(engine, 0.0).backlog_tokens == 10_000


def test_waiting_requests_of_decode_engines_wait() -> None:
    """Guards against a decode engine that is full by memory with free slots, and looks idle."""
    estimator = Estimator()
    engine = endpoint('d', EngineRole.DECODE, 64)
    estimator.receive(engine, LoadReport(24, 10, 64, at=0.0))
    assert estimator.estimate_handover(engine, 15.0, 0.0).wait_ms == pytest.approx(200.0)


def test_pace_slows_prefill() -> None:
    """Guards against a slowed engine that is expected to be as fast as the others."""
    estimator = Estimator()
    engine = endpoint('p', EngineRole.PREFILL, 64)
    usual = estimator.estimate_prompt(engine, 5000.0, 0.0).total_ms
    estimator.receive(engine, LoadReport(0, 0, 64, 200, 0.0))
    got = estimator.estimate_prompt(engine, 5000.0, 0.0)
    assert got.total_ms == pytest.approx(2 * usual)


def test_slower_endpoint_is_told_from_its_service() -> None:
    """Guards against a slow endpoint that reports no pace and gets as much as the others."""
    estimator = Estimator()
    slow, other = endpoint('w-0'), endpoint('w-1')
    for number in range(40):
        now = number / 4
        for worker, real_ms in ((slow, 270.0), (other, 90.0)):
            estimator.record(worker, estimator.estimate_plain(worker, now), real_ms, now)
    assert estimator.rank_plain(slow, 10.0) > 1.5 * estimator.rank_plain(other, 10.0)
    assert estimator.rank_plain(slow, 90.0) == pytest.approx(estimator.rank_plain(other, 90.0), 0.1)


def test_small_deviations_do_not_decide() -> None:
    """Guards against a quiet service on which a new endpoint, or one slower by chance, gets nothing."""
    estimator = Estimator()
    known = [endpoint('w-0'), endpoint('w-1')]
    for number in range(60):
        now = number / 4
        for worker, real_ms in zip(known, (85.0, 95.0), strict=True):
            estimator.record(worker, estimator.estimate_plain(worker, now), real_ms, now)
    ranks = {estimator.rank_plain(each, 15.0) for each in (*known, endpoint('new'))}
    assert len(ranks) == 1


@pytest.mark.parametrize('real_ms', [0.0, -5.0, math.inf, math.nan])
def test_impossible_real_time_is_not_learned(real_ms: float) -> None:
    """Guards against a clock that stood still, and a logarithm that fails."""
    estimator = Estimator()
    worker = endpoint('w')
    for _ in range(20):
        estimator.record(worker, estimator.estimate_plain(worker, 0.0), real_ms, 0.0)
    assert estimator.estimate_plain(worker, 0.0).service_ms == 50


def test_kinds_of_work_are_corrected_apart() -> None:
    """Guards against the fixed time of a prefill that is added to an answer on one engine."""
    estimator = Estimator()
    engine = endpoint('e')
    for _ in range(24):
        handover = estimator.estimate_handover(engine, 10.0, 0.0)
        estimator.record(engine, handover, handover.base + 90, 0.0)
    assert estimator.estimate_handover(engine, 10.0, 0.0).total_ms == pytest.approx(100.0, rel=0.1)
    direct = estimator.estimate_phase(engine, Work.DIRECT, PhaseTime(0.0, 40.0), 0.0)
    assert direct.total_ms == pytest.approx(40.0)
