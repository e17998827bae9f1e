"""Cost model of an engine: batching, cache, roles and failures in a discrete-event simulation.

The model reports through callbacks and takes its time from the event heap that drives it, so a
trace of many minutes is simulated in seconds. The costs are assumptions about a typical engine.
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from shallotmux.world import EngineRole

#: Tokens in a cache block.
BLOCK_TOKENS = 2048

#: Duration above which a step counts as slow, in seconds: the target for the gap between tokens
#: (design page, section 1.4).
SLOW_GAP_S = 0.065


@dataclass(frozen=True, slots=True)
class EngineCosts:
    """Rates and limits of an engine.

    :param step_base_s: duration of a decode step without streams, in seconds.
    :param step_stream_s: seconds that each running stream adds to a decode step.
    :param mixed_chunk_tokens: maximum prompt tokens in a step that also decodes.
    :param prefill_chunk_tokens: maximum prompt tokens in a step without running streams.
    :param cache_blocks: capacity of the prefix cache in blocks.
    :param max_running: maximum number of admitted and running jobs.
    :param role_change_s: seconds for which a role change makes the engine unavailable.
    :param block_transfer_s: seconds to transfer one cache block to another engine.
    """

    prefill_tokens_per_s: float = 20_000
    step_base_s: float = 0.012
    step_stream_s: float = 0.00025
    mixed_chunk_tokens: int = 512
    prefill_chunk_tokens: int = 2048
    cache_blocks: int = 160
    max_running: int = 96
    role_change_s: float = 6.0
    block_transfer_s: float = 0.008


@dataclass(slots=True, eq=False)
class EngineJob:
    """A request on an engine.

    :param blocks: chained hashes of the full blocks of the prompt.
    :param priority: smaller numbers are processed first.
    :param prefill_only: whether another engine takes over the stream after the first token.
    :param imported: whether the cache of the prompt was transferred from another engine.
    :param owner: data that the listener attaches to the job.
    :param generated: number of tokens generated when the job was lost.
    """

    job_id: int
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    prefill_only: bool = False
    imported: bool = False
    cached_tokens: int = 0
    remaining_prefill_tokens: int = 0
    start_step: int = 0
    slow_steps_at_start: int = 0
    pinned: tuple[int, ...] = ()
    owner: object = None
    generated: int = 0


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load report of an engine, as of ``as_of`` seconds."""

    role: EngineRole
    queued_prefill_tokens: int
    running: int
    free_cache_blocks: int
    prefill_tokens_per_s: float
    as_of: float


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Storage or eviction of a cache block."""

    sequence: int
    block: int
    stored: bool


class JobListener(Protocol):
    """Receives the events of jobs."""

    def on_first_token(self, job: EngineJob) -> None:
        """Handle the end of the prefill, which yields the first token."""

    def on_finished(self, job: EngineJob, slow_steps: int) -> None:
        """Handle the last token.

        :param slow_steps: number of slow steps while the job was decoding.
        """

    def on_lost(self, job: EngineJob) -> None:
        """Handle the loss of a job with its engine."""


Schedule = Callable[[float, Callable[[], None]], None]


@dataclass(slots=True)
class BlockCache:
    """Prefix cache with reference counts that evicts the least recently used unpinned block.

    :param capacity: number of blocks.
    :param pin_counts: number of jobs that use a block.
    :param evictable: cached blocks that no job uses, the least recently used first.
    :param private_count: blocks that are not shared; each job takes one.
    """

    capacity: int
    pin_counts: OrderedDict[int, int] = field(default_factory=OrderedDict)
    evictable: OrderedDict[int, None] = field(default_factory=OrderedDict)
    changes: list[CacheChange] = field(default_factory=list)
    private_count: int = 0
    sequence: int = 0

    def cached_prefix(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks that are cached."""
        for position, block in enumerate(blocks):
            if block not in self.pin_counts and block not in self.evictable:
                return position
        return len(blocks)

    def available(self) -> int:
        """Return the number of blocks that are free or evictable."""
        return self.capacity - self.private_count - len(self.pin_counts)

    def pin(self, blocks: tuple[int, ...]) -> bool:
        """Pin the blocks and one private block; return False and pin nothing if memory is short."""
        missing = sum(1 for block in blocks if block not in self.pin_counts)
        if missing + 1 > self.available():
            return False
        for block in blocks:
            if block not in self.pin_counts and self.evictable.pop(block, self) is self:
                self._record_change(block, stored=True)
            self.pin_counts[block] = self.pin_counts.get(block, 0) + 1
        self.private_count += 1
        self._evict()
        return True

    def unpin(self, blocks: tuple[int, ...]) -> None:
        """Unpin the blocks of a completed job; they stay cached until evicted."""
        self.private_count -= 1
        for block in blocks:
            self.pin_counts[block] -= 1
            if not self.pin_counts[block]:
                self.pin_counts.pop(block)
                self.evictable[block] = None

    def _evict(self) -> None:
        while self.evictable and len(self.evictable) > self.available():
            block, _ = self.evictable.popitem(last=False)
            self._record_change(block, stored=False)

    def _record_change(self, block: int, *, stored: bool) -> None:
        self.sequence += 1
        self.changes.append(CacheChange(self.sequence, block, stored))


class EngineModel:
    """An engine with continuous batching and chunked prefill.

    Consecutive decode steps of the same duration are simulated as one event, a step run. It ends
    with the next completed job, or at the next step boundary if a job arrives.

    :param schedule: runs a callback after a delay in seconds.
    :param clock: returns the time in seconds.
    """

    def __init__(
        self,
        costs: EngineCosts,
        schedule: Schedule,
        clock: Callable[[], float],
        listener: JobListener,
    ) -> None:
        self.costs = costs
        self.role = EngineRole.MIXED
        self.cache = BlockCache(costs.cache_blocks)
        self.waiting: deque[EngineJob] = deque()
        self.available = True
        self.removed = False
        self.queued_tokens = 0
        self._schedule = schedule
        self._clock = clock
        self._listener = listener
        self._admitted: deque[EngineJob] = deque()
        self._running: list[tuple[int, int, EngineJob]] = []
        self._steps = 0
        self._slow_steps = 0
        self._generation = 0
        self._step_run = (0.0, 0.0, 0)
        self._chunk: list[EngineJob] = []
        self._busy = False
        self._outage_number = 0

    def submit(self, job: EngineJob) -> None:
        """Queue a job; a job that arrives while the engine is unavailable is lost."""
        if self.removed or not self.available:
            self._listener.on_lost(job)
            return
        self._insert(job)
        job.remaining_prefill_tokens = 0 if job.imported else job.prompt_tokens
        self.queued_tokens += job.remaining_prefill_tokens
        if self._busy:
            self._stop_at_next_step()
        else:
            self._start_step_run()

    def load(self) -> EngineLoad:
        """Return the current load."""
        return EngineLoad(
            self.role,
            self.queued_tokens,
            len(self._running) + len(self.waiting) + len(self._admitted),
            self.cache.available(),
            self.prefill_rate(),
            self._clock(),
        )

    def prefill_rate(self) -> float:
        """Return the prompt tokens per second that can be processed beside the running streams."""
        batch = len(self._running)
        if not batch:
            return self.costs.prefill_tokens_per_s
        chunk = self.costs.mixed_chunk_tokens
        decode_s = self.costs.step_base_s + self.costs.step_stream_s * batch
        return chunk / (decode_s + chunk / self.costs.prefill_tokens_per_s)

    def jobs(self) -> list[EngineJob]:
        """Return all queued, admitted and running jobs."""
        return [*self.waiting, *self._admitted, *(job for _, _, job in self._running)]

    def change_role(self, role: EngineRole) -> None:
        """Make the engine unavailable during the change; unfinished jobs are lost."""
        self.drop_jobs()
        self._make_unavailable(self.costs.role_change_s, role)

    def crash(self, restart_s: float) -> None:
        """Lose all jobs and the cache, and restart unless the engine was removed."""
        self.drop_jobs()
        self.cache = BlockCache(self.costs.cache_blocks)
        self._make_unavailable(restart_s, self.role)

    def remove(self) -> None:
        """Remove the engine permanently; its jobs are lost."""
        self.removed = True
        self.drop_jobs()

    def drop_jobs(self) -> None:
        """Drop all jobs and notify the listener."""
        jobs = self.jobs()
        for job in jobs[len(self.waiting) :]:
            self.cache.unpin(job.pinned)
        for _, _, job in self._running:
            job.generated = self._steps - job.start_step + 1
        self.waiting.clear()
        self._admitted.clear()
        self._running.clear()
        self.queued_tokens = 0
        self._generation += 1
        self._busy = False
        for job in jobs:
            self._listener.on_lost(job)

    def _make_unavailable(self, outage_s: float, role: EngineRole) -> None:
        """Become available later; a crash during a role change cancels the change."""
        self.available = False
        self._outage_number += 1
        outage_number = self._outage_number
        self._schedule(outage_s, lambda: self._make_available(outage_number, role))

    def _make_available(self, outage_number: int, role: EngineRole) -> None:
        if outage_number == self._outage_number:
            self.role = role
            self.available = not self.removed

    def _insert(self, job: EngineJob) -> None:
        """Insert a job after those with the same or a smaller priority number."""
        index = len(self.waiting)
        while index and self.waiting[index - 1].priority > job.priority:
            index -= 1
        self.waiting.insert(index, job)

    def _can_admit(self) -> bool:
        """Return whether a job can be admitted.

        Prompts are admitted only for the next step, so that later jobs of a higher priority can
        still overtake the queued ones.
        """
        if len(self._running) + len(self._admitted) >= self.costs.max_running:
            return False
        admitted = sum(job.remaining_prefill_tokens for job in self._admitted)
        return admitted < self.costs.prefill_chunk_tokens

    def _admit(self) -> None:
        while self.waiting and self._can_admit():
            job = self.waiting[0]
            cached = len(job.blocks) if job.imported else self.cache.cached_prefix(job.blocks)
            if not self.cache.pin(job.blocks):
                return
            self.waiting.popleft()
            job.pinned = job.blocks
            if not job.imported:
                job.cached_tokens = min(cached * BLOCK_TOKENS, job.prompt_tokens - 1)
                job.remaining_prefill_tokens -= job.cached_tokens
                self.queued_tokens -= job.cached_tokens
            self._admitted.append(job)

    def _start_step_run(self) -> None:
        self._admit()
        batch = len(self._running)
        self._busy = bool(batch or self._admitted)
        if not self._busy:
            return
        prefilled_tokens = self._fill_chunk(batch)
        decode_s = self.costs.step_base_s + self.costs.step_stream_s * batch
        step_s = (decode_s if batch else 0) + prefilled_tokens / self.costs.prefill_tokens_per_s
        count = 1 if self._chunk else max(1, self._running[0][0] - self._steps)
        self._schedule_end(self._clock(), max(step_s, 0.001), count)

    def _fill_chunk(self, batch: int) -> int:
        budget = self.costs.mixed_chunk_tokens if batch else self.costs.prefill_chunk_tokens
        remaining_budget = budget
        self._chunk = []
        for job in self._admitted:
            if remaining_budget <= 0:
                break
            prefilled = min(remaining_budget, job.remaining_prefill_tokens)
            job.remaining_prefill_tokens -= prefilled
            remaining_budget -= prefilled
            self._chunk.append(job)
        self.queued_tokens -= budget - remaining_budget
        return budget - remaining_budget

    def _schedule_end(self, started_s: float, step_s: float, count: int) -> None:
        self._generation += 1
        generation = self._generation
        self._step_run = (started_s, step_s, count)
        delay = started_s + step_s * count - self._clock()
        self._schedule(max(0, delay), lambda: self._finish_step_run(generation))

    def _stop_at_next_step(self) -> None:
        """Shorten a run of several steps to end at the next step boundary."""
        started_s, step_s, count = self._step_run
        elapsed_steps = max(1, math.ceil((self._clock() - started_s) / step_s))
        if elapsed_steps < count:
            self._schedule_end(started_s, step_s, elapsed_steps)

    def _finish_step_run(self, generation: int) -> None:
        if generation != self._generation:
            return
        _, step_s, count = self._step_run
        if self._running:
            self._steps += count
            self._slow_steps += count if step_s > SLOW_GAP_S else 0
        self._finish_completed()
        while self._admitted and not self._admitted[0].remaining_prefill_tokens:
            self._start_decoding(self._admitted.popleft())
        if generation == self._generation:
            self._start_step_run()

    def _finish_completed(self) -> None:
        while self._running and self._running[0][0] <= self._steps:
            _, _, job = heapq.heappop(self._running)
            self.cache.unpin(job.pinned)
            self._listener.on_finished(job, self._slow_steps - job.slow_steps_at_start)

    def _start_decoding(self, job: EngineJob) -> None:
        if not job.imported:
            self._listener.on_first_token(job)
        if job.prefill_only or job.output_tokens <= 1:
            self.cache.unpin(job.pinned)
            if not job.prefill_only:
                self._listener.on_finished(job, 0)
            return
        job.start_step = self._steps
        job.slow_steps_at_start = self._slow_steps
        due = self._steps + job.output_tokens - 1
        heapq.heappush(self._running, (due, job.job_id, job))
