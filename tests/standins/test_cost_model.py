"""Tests of the engine's cost model."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from shallotmux.measure._clock import EventHeap
from shallotmux.standins import BlockCache, EngineCosts, EngineJob, EngineModel
from shallotmux.world import EngineRole


@dataclass
class Listener:
    """Keeps what became of jobs."""

    heap: EventHeap
    first: dict[int, float] = field(default_factory=dict)
    ended: dict[int, tuple[float, int]] = field(default_factory=dict)
    lost_jobs: list[int] = field(default_factory=list)

    def first_token(self, job: EngineJob) -> None:
        """Note a first token."""
        self.first[job.job_id] = self.heap.now()

    def finished(self, job: EngineJob, slow_steps: int) -> None:
        """Note an end."""
        self.ended[job.job_id] = (self.heap.now(), slow_steps)

    def lost(self, job: EngineJob) -> None:
        """Note a lost job."""
        self.lost_jobs.append(job.job_id)


def make_engine(costs: EngineCosts | None = None) -> tuple[EventHeap, Listener, EngineModel]:
    """Return an engine on its own event heap."""
    heap = EventHeap()
    listener = Listener(heap)
    return heap, listener, EngineModel(costs or EngineCosts(), heap.schedule, heap.now, listener)


def test_prompt_and_answer_take_the_modelled_time() -> None:
    """Guards against figures that do not follow from the costs."""
    heap, listener, engine = make_engine()
    engine.submit(EngineJob(1, (), 4000, 101))
    heap.run(60)
    assert listener.first[1] == pytest.approx(0.2)
    assert listener.ended[1][0] == pytest.approx(0.2 + 100 * 0.01225)


def test_prompt_beside_a_stream_is_cut_into_chunks() -> None:
    """Guards against a long prompt that stalls running streams, and a skipped arrival."""
    heap, listener, engine = make_engine()
    engine.submit(EngineJob(1, (), 100, 200))
    heap.schedule(0.5, lambda: engine.submit(EngineJob(2, (), 8000, 10)))
    heap.run(60)
    assert listener.ended[1][1] == 0
    assert listener.first[2] - 0.5 > 8000 / engine.costs.prefill_tokens_per_s


def test_cached_prefix_shortens_the_prompt() -> None:
    """Guards against a cache without effect on the time to first token."""
    heap, listener, engine = make_engine()
    engine.submit(EngineJob(1, (7, 8), 4196, 2))
    heap.schedule(5, lambda: engine.submit(EngineJob(2, (7, 8), 4196, 2)))
    heap.run(60)
    assert listener.first[2] - 5 == pytest.approx(0.005)
    assert engine.queued_tokens == 0


def test_priority_overtakes_waiting_prompts() -> None:
    """Guards against an engine that ignores the priority of a request."""
    heap, listener, engine = make_engine()
    for number in range(6):
        engine.submit(EngineJob(number, (), 8000, 2, priority=1))
    engine.submit(EngineJob(9, (), 1000, 2, priority=0))
    heap.run(60)
    assert listener.first[9] < listener.first[2]


def test_cache_evicts_unused_blocks_only() -> None:
    """Guards against evicting the blocks of a running request."""
    cache = BlockCache(5)
    assert cache.pin((1, 2))
    cache.unpin((1, 2))
    assert cache.pin((3, 4, 5))
    assert cache.cached_prefix((3, 4, 5)) == 3
    assert not cache.pin((6, 7))
    assert [each.block for each in cache.changes if not each.stored] == [1]


def test_crash_loses_jobs_and_cache() -> None:
    """Guards against requests that survive a crash silently."""
    heap, listener, engine = make_engine()
    engine.submit(EngineJob(1, (7,), 3000, 500))
    heap.schedule(1, lambda: engine.crash(20))
    heap.schedule(2, lambda: engine.submit(EngineJob(2, (7,), 3000, 5)))
    heap.schedule(30, lambda: engine.submit(EngineJob(3, (7,), 3000, 5)))
    heap.run(60)
    assert listener.lost_jobs == [1, 2]
    assert listener.first[3] - 30 == pytest.approx(0.15)


def test_crash_in_mid_change_ends_the_change() -> None:
    """Guards against an engine that serves with the new role while it restarts."""
    heap, _, engine = make_engine()
    engine.change_role(EngineRole.PREFILL)
    heap.schedule(3, lambda: engine.crash(20))
    heap.run(10)
    assert not engine.available
    heap.run(30)
    assert engine.available
    assert engine.role is EngineRole.MIXED


def test_role_change_takes_the_engine_away_for_seconds() -> None:
    """Guards against role changes that cost nothing."""
    heap, listener, engine = make_engine()
    engine.change_role(EngineRole.PREFILL)
    engine.submit(EngineJob(1, (), 100, 5))
    heap.run(engine.costs.role_change_s + 1)
    assert listener.lost_jobs == [1]
    assert engine.role is EngineRole.PREFILL
    assert engine.available
