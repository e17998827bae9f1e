"""Entry instances of a run: they decide with the product's own functions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Protocol

from shallotmux.decisions import (
    DemandMeter,
    DispatchQueue,
    FirstComeQueue,
    Flow,
    Priority,
    QueuedRequest,
    RequestFeatures,
    RoundRobinRouter,
    Router,
    RoutingDecision,
    ShareMeter,
    TokenCosts,
)
from shallotmux.measure._runs import EngineSlot, RequestRun
from shallotmux.measure._variants import Binding, Variant
from shallotmux.standins import EngineJob
from shallotmux.world import EngineRole

#: One-way latency between an instance and an engine, in seconds (design, section 1.2).
NETWORK_S = 0.001

#: Attempts of a repeatable request.
ATTEMPTS = 4

#: Tokens of an answer that fairness expects before the answer is known.
EXPECTED_OUTPUT = 200

LANGUAGE = 'language'
ORDERS = 'orders'


class Surroundings(Protocol):
    """What an instance uses of its surroundings."""

    slots: dict[str, EngineSlot]
    meter: DemandMeter
    first_token_target_s: float

    def now(self) -> float:
        """Return the time in seconds."""

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""

    def offer(self, lane: Lane) -> None:
        """Tell free engines that a request waits (pull-based dispatch)."""


Queue = DispatchQueue[RequestRun] | FirstComeQueue[RequestRun]


@dataclass(slots=True)
class Lane:
    """Waiting requests of one pool on one instance, and its knowledge of the pool."""

    pool: str
    router: Router | RoundRobinRouter
    queue: Queue


def make_lane(pool: str, variant: Variant) -> Lane:
    """Return a lane that decides as the variant says."""
    router = RoundRobinRouter() if variant.naive else Router(variant.routing)
    queue: Queue = DispatchQueue() if variant.fair else FirstComeQueue()
    return Lane(pool, router, queue)


@dataclass(slots=True, eq=False)
class EntryModel:
    """An entry instance.

    :param weights: weight of each customer's contract.
    """

    world: Surroundings
    variant: Variant
    random: Random
    weights: dict[str, float]
    lanes: dict[str, Lane] = field(default_factory=dict)
    costs: TokenCosts = field(default_factory=TokenCosts)
    shares: ShareMeter = field(default_factory=ShareMeter)

    def accept(self, run: RequestRun) -> None:
        """Take a request from a caller."""
        if run.request.repeatable and not run.attempts:
            self.world.meter.arrive(self.world.now(), run.request.prompt_tokens)
        lane = self.lane_of(run)
        request = run.request
        expected = EXPECTED_OUTPUT if request.repeatable else 1
        target_s = self.world.first_token_target_s
        waiting = QueuedRequest(
            run,
            Flow(request.customer, lane.pool),
            self.costs.cost(request.prompt_tokens * self.world.meter.uncached, expected),
            request.time_s + target_s,
            self.weights.get(request.customer, 1),
        )
        lane.queue.push(waiting)
        self.shares.charge(request.customer, waiting.weight, waiting.cost, self.world.now())
        if self.variant.binding is Binding.PULL:
            self.world.offer(lane)
        else:
            self.pump(lane)

    def lane_of(self, run: RequestRun) -> Lane:
        """Return the lane of a request's route."""
        return self.lanes[LANGUAGE if run.request.repeatable else ORDERS]

    def pump(self, lane: Lane) -> None:
        """Bind waiting requests while the chosen engine has room."""
        if self.variant.binding is Binding.PULL:
            return
        while True:
            now = self.world.now()
            waiting = lane.queue.head(now)
            if waiting is None:
                return
            features = self.features(waiting.item)
            decision = lane.router.choose(features, self.random, now)
            if decision is None:
                self.world.schedule(0.2, partial(self.pump, lane))
                return
            late = self.variant.binding is Binding.LATE
            priority = self._priority(waiting, now)
            if late and decision.wait_s > self.variant.room_s[priority]:
                return
            lane.queue.pop(now)
            waiting.item.priority = priority
            self.dispatch(lane, waiting.item, features, decision)

    def features(self, run: RequestRun) -> RequestFeatures:
        """Return what routing needs to know; a resumed request brings its tokens along."""
        return RequestFeatures(
            run.request.blocks,
            run.request.prompt_tokens + run.generated,
            repeatable=run.request.repeatable,
        )

    def dispatch(
        self, lane: Lane, run: RequestRun, features: RequestFeatures, decision: RoutingDecision
    ) -> None:
        """Send a request to an engine."""
        now = self.world.now()
        slot = self.world.slots[decision.endpoint.name]
        run.attempts += 1
        run.uncached = decision.uncached_tokens
        run.cheap = decision.endpoint.cheap
        lane.router.record_dispatch(decision.endpoint.name, features, run.uncached, now)
        if run.request.repeatable:
            self.world.meter.dispatch(features.prompt_tokens, run.uncached)
        job = EngineJob(
            run.number,
            run.request.blocks,
            features.prompt_tokens,
            max(1, run.request.output_tokens - run.generated),
            priority=run.priority,
            prefill_only=slot.engine.role is EngineRole.PREFILL,
            owner=run,
        )
        self.world.schedule(NETWORK_S, lambda: slot.engine.submit(job))

    def on_first_token(self, run: RequestRun, job: EngineJob, slot: EngineSlot) -> None:
        """Take the first token of an attempt."""
        now = self.world.now()
        lane = self.lane_of(run)
        lane.router.record_first_token(slot.endpoint.name, run.uncached, now)
        if run.first_token_s < 0:
            run.first_token_s = now + NETWORK_S
            run.hit_tokens = job.cached_tokens
        if job.prefill_only:
            lane.router.record_end(slot.endpoint.name, now)
            self._hand_over(lane, run, job, slot)
        self.pump(lane)

    def on_finished(self, run: RequestRun, slot: EngineSlot) -> None:
        """Take the end of a stream."""
        now = self.world.now()
        lane = self.lane_of(run)
        run.finished_s = now
        lane.router.record_end(slot.endpoint.name, now)
        if run.request.repeatable:
            self.world.meter.finish(run.request.output_tokens)
            excess = run.request.output_tokens - EXPECTED_OUTPUT
            flow = Flow(run.request.customer, lane.pool)
            lane.queue.charge(flow, self.costs.cost(0, excess))
        self.pump(lane)

    def on_lost(self, run: RequestRun, job: EngineJob, slot: EngineSlot) -> None:
        """Retry a repeatable request elsewhere; the outcome of others stays unknown."""
        now = self.world.now()
        lane = self.lane_of(run)
        if not job.imported and not job.generated:
            lane.router.record_first_token(slot.endpoint.name, run.uncached, now)
        lane.router.record_end(slot.endpoint.name, now)
        if not slot.planned:
            lane.router.record_failure(slot.endpoint.name, now)
        if not run.request.repeatable or run.attempts >= ATTEMPTS:
            run.lost = True
            return
        run.generated += job.generated
        run.slow_steps += 1
        self.world.schedule(NETWORK_S, lambda: self.accept(run))

    def _priority(self, waiting: QueuedRequest[RequestRun], now: float) -> Priority:
        if not self.variant.priorities:
            return Priority.WITHIN_SHARE
        overdue = waiting.due_s < now
        return self.shares.priority(waiting.flow.customer, now, overdue=overdue)

    def _hand_over(self, lane: Lane, run: RequestRun, job: EngineJob, source: EngineSlot) -> None:
        """Move a stream whose prompt is processed to an engine that decodes."""
        now = self.world.now()
        features = RequestFeatures(
            job.blocks,
            job.prompt_tokens,
            decode_only=True,
            excluded=frozenset((source.endpoint.name,)),
        )
        decision = lane.router.choose(features, self.random, now)
        if decision is None:
            self.world.schedule(0.2, lambda: self._hand_over(lane, run, job, source))
            return
        target = self.world.slots[decision.endpoint.name]
        lane.router.record_dispatch(decision.endpoint.name, features, 0, now)
        moved = EngineJob(
            run.number,
            job.blocks,
            job.prompt_tokens,
            job.output_tokens,
            imported=True,
            owner=run,
        )
        run.slow_steps += 1
        run.cheap = decision.endpoint.cheap
        delay = NETWORK_S + (len(job.blocks) + 1) * target.engine.costs.block_transfer_s
        self.world.schedule(delay, lambda: target.engine.submit(moved))
