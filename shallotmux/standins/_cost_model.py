"""Cost model of an engine: batching, cache, roles and failures on an event heap.

The model answers through callbacks and takes its time from the event heap that drives it, so a
trace of many minutes runs in seconds. Costs are assumptions about a typical engine, not
measurements of one.
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

#: Token gap above which a step counts as slow, in seconds (design, section 1.4).
SLOW_GAP_S = 0.065


@dataclass(frozen=True, slots=True)
class EngineCosts:
    """Rates and limits of an engine.

    :param step_stream_s: seconds that each running stream adds to a step.
    :param chunk_tokens: prompt tokens in a step that also decodes.
    :param alone_chunk_tokens: prompt tokens in a step without running streams.
    :param role_change_s: seconds for which a role change removes the engine.
    :param hand_over_block_s: seconds to move the cache of one block to another engine.
    """

    prefill_tokens_per_s: float = 20_000
    step_base_s: float = 0.012
    step_stream_s: float = 0.00025
    chunk_tokens: int = 512
    alone_chunk_tokens: int = 2048
    cache_blocks: int = 160
    max_running: int = 96
    role_change_s: float = 6.0
    hand_over_block_s: float = 0.008


@dataclass(slots=True, eq=False)
class EngineJob:
    """A request on an engine.

    :param blocks: chained hashes of the full blocks of the prompt.
    :param priority: smaller numbers are processed first.
    :param prefill_only: whether the engine hands the stream over after the first token.
    :param imported: whether the cache of the prompt arrived from another engine.
    :param owner: what the listener keeps with the job.
    :param generated: tokens that were out when the job was lost.
    """

    job_id: int
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    prefill_only: bool = False
    imported: bool = False
    cached_tokens: int = 0
    remaining: int = 0
    joined_step: int = 0
    joined_slow: int = 0
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
    """A block that was stored or evicted."""

    sequence: int
    block: int
    stored: bool


class JobListener(Protocol):
    """What the owner of a job is told."""

    def first_token(self, job: EngineJob) -> None:
        """The prompt is processed and the first token is out."""

    def finished(self, job: EngineJob, slow_steps: int) -> None:
        """The last token is out."""

    def lost(self, job: EngineJob) -> None:
        """The engine went away with the job."""


Schedule = Callable[[float, Callable[[], None]], None]


@dataclass(slots=True)
class BlockCache:
    """Prefix cache with reference counts, evicting the least recently used free block."""

    capacity: int
    pins: OrderedDict[int, int] = field(default_factory=OrderedDict)
    free: OrderedDict[int, None] = field(default_factory=OrderedDict)
    changes: list[CacheChange] = field(default_factory=list)
    private: int = 0
    sequence: int = 0

    def cached_prefix(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are stored."""
        for position, block in enumerate(blocks):
            if block not in self.pins and block not in self.free:
                return position
        return len(blocks)

    def available(self) -> int:
        """Return the blocks that can be taken without waiting."""
        return self.capacity - self.private - len(self.pins)

    def pin(self, blocks: tuple[int, ...]) -> bool:
        """Take the blocks and one private block, or nothing when memory is short."""
        missing = sum(1 for block in blocks if block not in self.pins)
        if missing + 1 > self.available():
            return False
        for block in blocks:
            if block not in self.pins and self.free.pop(block, self) is self:
                self._note(block, stored=True)
            self.pins[block] = self.pins.get(block, 0) + 1
        self.private += 1
        self._evict()
        return True

    def unpin(self, blocks: tuple[int, ...]) -> None:
        """Release the blocks of a finished job; they stay cached until evicted."""
        self.private -= 1
        for block in blocks:
            self.pins[block] -= 1
            if not self.pins[block]:
                self.pins.pop(block)
                self.free[block] = None

    def _evict(self) -> None:
        while self.free and len(self.free) > self.available():
            block, _ = self.free.popitem(last=False)
            self._note(block, stored=False)

    def _note(self, block: int, *, stored: bool) -> None:
        self.sequence += 1
        self.changes.append(CacheChange(self.sequence, block, stored))


class EngineModel:
    """An engine with continuous batching and chunked prefill.

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
        self.gone = False
        self.queued_tokens = 0
        self._schedule = schedule
        self._clock = clock
        self._listener = listener
        self._admitted: deque[EngineJob] = deque()
        self._running: list[tuple[int, int, EngineJob]] = []
        self._steps = 0
        self._slow = 0
        self._generation = 0
        self._run = (0.0, 0.0, 0)
        self._chunk: list[EngineJob] = []
        self._busy = False
        self._absence = 0

    def submit(self, job: EngineJob) -> None:
        """Queue a job; a job that arrives while the engine is gone is lost."""
        if self.gone or not self.available:
            self._listener.lost(job)
            return
        self._insert(job)
        job.remaining = 0 if job.imported else job.prompt_tokens
        self.queued_tokens += job.remaining
        if self._busy:
            self._shorten()
        else:
            self._start()

    def load(self) -> EngineLoad:
        """Return the load at this moment."""
        return EngineLoad(
            self.role,
            self.queued_tokens,
            len(self._running) + len(self.waiting) + len(self._admitted),
            self.cache.available(),
            self.prefill_rate(),
            self._clock(),
        )

    def prefill_rate(self) -> float:
        """Return the prompt tokens per second beside the streams that run now."""
        batch = len(self._running)
        if not batch:
            return self.costs.prefill_tokens_per_s
        chunk = self.costs.chunk_tokens
        decoding = self.costs.step_base_s + self.costs.step_stream_s * batch
        return chunk / (decoding + chunk / self.costs.prefill_tokens_per_s)

    def jobs(self) -> list[EngineJob]:
        """Return all jobs on the engine."""
        return [*self.waiting, *self._admitted, *(job for _, _, job in self._running)]

    def change_role(self, role: EngineRole) -> None:
        """Take the engine out of service for the change; unfinished jobs are lost."""
        self.lose_jobs()
        self._go_away(self.costs.role_change_s, role)

    def crash(self, restart_s: float) -> None:
        """Lose all jobs and the cache; come back after a restart unless the engine is gone."""
        self.lose_jobs()
        self.cache = BlockCache(self.costs.cache_blocks)
        self._go_away(restart_s, self.role)

    def leave(self) -> None:
        """Go for good."""
        self.gone = True
        self.lose_jobs()

    def lose_jobs(self) -> None:
        """Drop all jobs and tell their owner."""
        jobs = self.jobs()
        for job in jobs[len(self.waiting) :]:
            self.cache.unpin(job.pinned)
        for _, _, job in self._running:
            job.generated = self._steps - job.joined_step + 1
        self.waiting.clear()
        self._admitted.clear()
        self._running.clear()
        self.queued_tokens = 0
        self._generation += 1
        self._busy = False
        for job in jobs:
            self._listener.lost(job)

    def _go_away(self, absent_s: float, role: EngineRole) -> None:
        """Come back later; a crash in mid change ends the change without effect."""
        self.available = False
        self._absence += 1
        absence = self._absence
        self._schedule(absent_s, lambda: self._return(absence, role))

    def _return(self, absence: int, role: EngineRole) -> None:
        if absence == self._absence:
            self.role = role
            self.available = not self.gone

    def _insert(self, job: EngineJob) -> None:
        """Queue a job behind those of the same or a smaller priority number."""
        place = len(self.waiting)
        while place and self.waiting[place - 1].priority > job.priority:
            place -= 1
        self.waiting.insert(place, job)

    def _has_room(self) -> bool:
        """Return whether a job can be admitted.

        Prompts are admitted only for the next step, so that priorities hold until then.
        """
        if len(self._running) + len(self._admitted) >= self.costs.max_running:
            return False
        admitted = sum(job.remaining for job in self._admitted)
        return admitted < self.costs.alone_chunk_tokens

    def _admit(self) -> None:
        while self.waiting and self._has_room():
            job = self.waiting[0]
            cached = len(job.blocks) if job.imported else self.cache.cached_prefix(job.blocks)
            if not self.cache.pin(job.blocks):
                return
            self.waiting.popleft()
            job.pinned = job.blocks
            if not job.imported:
                job.cached_tokens = min(cached * BLOCK_TOKENS, job.prompt_tokens - 1)
                job.remaining -= job.cached_tokens
                self.queued_tokens -= job.cached_tokens
            self._admitted.append(job)

    def _start(self) -> None:
        self._admit()
        batch = len(self._running)
        self._busy = bool(batch or self._admitted)
        if not self._busy:
            return
        taken = self._fill_chunk(batch)
        decoding = self.costs.step_base_s + self.costs.step_stream_s * batch
        duration = (decoding if batch else 0) + taken / self.costs.prefill_tokens_per_s
        count = 1 if self._chunk else max(1, self._running[0][0] - self._steps)
        self._begin(self._clock(), max(duration, 0.001), count)

    def _fill_chunk(self, batch: int) -> int:
        budget = self.costs.chunk_tokens if batch else self.costs.alone_chunk_tokens
        left = budget
        self._chunk = []
        for job in self._admitted:
            if left <= 0:
                break
            part = min(left, job.remaining)
            job.remaining -= part
            left -= part
            self._chunk.append(job)
        self.queued_tokens -= budget - left
        return budget - left

    def _begin(self, started: float, duration: float, count: int) -> None:
        self._generation += 1
        generation = self._generation
        self._run = (started, duration, count)
        delay = started + duration * count - self._clock()
        self._schedule(max(0, delay), lambda: self._end(generation))

    def _shorten(self) -> None:
        """End a run of several steps at the next step boundary."""
        started, duration, count = self._run
        passed = max(1, math.ceil((self._clock() - started) / duration))
        if passed < count:
            self._begin(started, duration, passed)

    def _end(self, generation: int) -> None:
        if generation != self._generation:
            return
        _, duration, count = self._run
        if self._running:
            self._steps += count
            self._slow += count if duration > SLOW_GAP_S else 0
        self._finish_due()
        while self._admitted and not self._admitted[0].remaining:
            self._join(self._admitted.popleft())
        if generation == self._generation:
            self._start()

    def _finish_due(self) -> None:
        while self._running and self._running[0][0] <= self._steps:
            _, _, job = heapq.heappop(self._running)
            self.cache.unpin(job.pinned)
            self._listener.finished(job, self._slow - job.joined_slow)

    def _join(self, job: EngineJob) -> None:
        if not job.imported:
            self._listener.first_token(job)
        if job.prefill_only or job.output_tokens <= 1:
            self.cache.unpin(job.pinned)
            if not job.prefill_only:
                self._listener.finished(job, 0)
            return
        job.joined_step = self._steps
        job.joined_slow = self._slow
        due = self._steps + job.output_tokens - 1
        heapq.heappush(self._running, (due, job.job_id, job))
