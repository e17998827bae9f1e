"""Tests of the cost model of engines."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from shallotmux.measure._clock import EventHeap
from shallotmux.standins import BlockCache, EngineCosts, EngineJob, EngineModel
from shallotmux.world import EngineRole


@dataclass
class RecordingListener:
    """Records the events of jobs."""

    heap: EventHeap
    first_token_times: dict[int, float] = field(default_factory=dict)
    end_times: dict[int, tuple[float, int]] = field(default_factory=dict)
    lost_jobs: list[int] = field(default_factory=list)

    def on_first_token(self, job: EngineJob) -> None:
        """Record the time of a first token."""
        self.first_token_times[job.job_id] = self.heap.now()

    def on_finished(self, job: EngineJob, slow_steps: int) -> None:
        """Record the end of a job and its slow steps."""
        self.end_times[job.job_id] = (self.heap.now(), slow_steps)

    def on_lost(self, job: EngineJob) -> None:
        """Record a lost job."""
        self.lost_jobs.append(job.job_id)


def make_engine(
    costs: EngineCosts | None = None,
) -> tuple[EventHeap, RecordingListener, EngineModel]:
    """Return an event heap with the listener and the engine that it drives."""
    heap = EventHeap()
    listener = RecordingListener(heap)
    return heap, listener, EngineModel(costs or EngineCosts(), heap.schedule, heap.now, listener)


def test_job_durations_follow_from_the_costs() -> None:
    """Guards against job durations that do not follow from the configured costs."""
    heap, listener, engine = make_engine()
    engine.submit(EngineJob(1, (), 4000, 101))
    heap.run(60)
    assert listener.first_token_times[1] == pytest.approx(0.2)
    assert listener.end_times[1][0] == pytest.approx(0.2 + 100 * 0.01225)


def test_prompt_is_prefilled_in_chunks_beside_a_stream() -> None:
    """Guards against a long prompt that stalls streams, or is not started during a step run."""
    heap, listener, engine = make_engine()
    engine.submit(EngineJob(1, (), 100, 200))
    heap.schedule(0.5, lambda: engine.submit(EngineJob(2, (), 8000, 10)))
    heap.run(60)
    assert listener.end_times[1][1] == 0
    assert listener.first_token_times[2] - 0.5 > 8000 / engine.costs.prefill_tokens_per_s


def test_cached_prefix_shortens_the_prefill() -> None:
    """Guards against cache hits that do not reduce the time to first token."""
    heap, listener, engine = make_engine()
    engine.submit(EngineJob(1, (7, 8), 4196, 2))
    heap.schedule(5, lambda: engine.submit(EngineJob(2, (7, 8), 4196, 2)))
    heap.run(60)
    assert listener.first_token_times[2] - 5 == pytest.approx(0.005)
    assert engine.queued_tokens == 0


def test_higher_priority_overtakes_queued_prompts() -> None:
    """Guards against a queue that ignores the priority of jobs."""
    heap, listener, engine = make_engine()
    for number in range(6):
        engine.submit(EngineJob(number, (), 8000, 2, priority=1))
    engine.submit(EngineJob(9, (), 1000, 2, priority=0))
    heap.run(60)
    assert listener.first_token_times[9] < listener.first_token_times[2]


def test_cache_evicts_unused_blocks_only() -> None:
    """Guards against eviction of blocks that a running job uses."""
    cache = BlockCache(5)
    assert cache.pin((1, 2))
    cache.unpin((1, 2))
    assert cache.pin((3, 4, 5))
    assert cache.cached_prefix((3, 4, 5)) == 3
    assert not cache.pin((6, 7))
    assert [each.block for each in cache.changes if not each.stored] == [1]


def test_crash_loses_jobs_and_cache() -> None:
    """Guards against jobs or cached blocks that survive a crash."""
    heap, listener, engine = make_engine()
    engine.submit(EngineJob(1, (7,), 3000, 500))
    heap.schedule(1, lambda: engine.crash(20))
    heap.schedule(2, lambda: engine.submit(EngineJob(2, (7,), 3000, 5)))
    heap.schedule(30, lambda: engine.submit(EngineJob(3, (7,), 3000, 5)))
    heap.run(60)
    assert listener.lost_jobs == [1, 2]
    assert listener.first_token_times[3] - 30 == pytest.approx(0.15)


def test_crash_cancels_role_change() -> None:
    """Guards against a role change that completes although the engine crashed during it."""
    heap, _, engine = make_engine()
    engine.change_role(EngineRole.PREFILL)
    heap.schedule(3, lambda: engine.crash(20))
    heap.run(10)
    assert not engine.available
    heap.run(30)
    assert engine.available
    assert engine.role is EngineRole.MIXED


def test_role_change_makes_engine_unavailable() -> None:
    """Guards against a role change without downtime."""
    heap, listener, engine = make_engine()
    engine.change_role(EngineRole.PREFILL)
    engine.submit(EngineJob(1, (), 100, 5))
    heap.run(engine.costs.role_change_s + 1)
    assert listener.lost_jobs == [1]
    assert engine.role is EngineRole.PREFILL
    assert engine.available
