"""Simulated entry instances, which use the production decision functions."""

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
from shallotmux.measure._runs import RequestRun, SimulatedEngine
from shallotmux.measure._variants import Binding, Variant
from shallotmux.standins import EngineJob
from shallotmux.world import EngineRole

#: One-way network latency between an instance and an engine, in seconds (design page, section 1.2).
NETWORK_DELAY_S = 0.001

#: Maximum number of attempts of a repeatable request.
MAX_ATTEMPTS = 4

#: Output tokens that the fair queue charges before the length of the answer is known.
EXPECTED_OUTPUT_TOKENS = 200

LANGUAGE_POOL = 'language'
ORDER_POOL = 'orders'


class SimulationContext(Protocol):
    """Parts of the simulation that an entry instance uses."""

    engines: dict[str, SimulatedEngine]
    meter: DemandMeter
    first_token_target_s: float

    def now(self) -> float:
        """Return the time in seconds."""

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""

    def notify_engines(self, pool_state: PoolState) -> None:
        """Notify engines of a queued request (pull-based dispatch)."""


Queue = DispatchQueue[RequestRun] | FirstComeQueue[RequestRun]


@dataclass(slots=True)
class PoolState:
    """Router and queue of one pool on one instance."""

    pool: str
    router: Router | RoundRobinRouter
    queue: Queue


def make_pool_state(pool: str, variant: Variant) -> PoolState:
    """Return the state of a pool with the router and the queue of a variant."""
    router = RoundRobinRouter() if variant.naive else Router(variant.routing)
    queue: Queue = DispatchQueue() if variant.fair else FirstComeQueue()
    return PoolState(pool, router, queue)


@dataclass(slots=True, eq=False)
class EntryModel:
    """A simulated entry instance.

    :param weights: contract weights by customer.
    """

    simulation: SimulationContext
    variant: Variant
    random: Random
    weights: dict[str, float]
    pool_states: dict[str, PoolState] = field(default_factory=dict)
    costs: TokenCosts = field(default_factory=TokenCosts)
    shares: ShareMeter = field(default_factory=ShareMeter)

    def accept(self, run: RequestRun) -> None:
        """Queue a request of a caller or of a lost attempt."""
        if run.request.repeatable and not run.attempts:
            self.simulation.meter.record_arrival(self.simulation.now(), run.request.prompt_tokens)
        pool_state = self.find_pool_state(run)
        request = run.request
        expected = EXPECTED_OUTPUT_TOKENS if request.repeatable else 1
        target_s = self.simulation.first_token_target_s
        queued = QueuedRequest(
            run,
            Flow(request.customer, pool_state.pool),
            self.costs.cost(
                request.prompt_tokens * self.simulation.meter.uncached_fraction, expected
            ),
            request.time_s + target_s,
            self.weights.get(request.customer, 1),
        )
        pool_state.queue.push(queued)
        self.shares.charge(request.customer, queued.weight, queued.cost, self.simulation.now())
        if self.variant.binding is Binding.PULL:
            self.simulation.notify_engines(pool_state)
        else:
            self.dispatch_waiting(pool_state)

    def find_pool_state(self, run: RequestRun) -> PoolState:
        """Return the state of the pool that serves a request."""
        return self.pool_states[LANGUAGE_POOL if run.request.repeatable else ORDER_POOL]

    def dispatch_waiting(self, pool_state: PoolState) -> None:
        """Dispatch queued requests while the chosen engine has capacity."""
        if self.variant.binding is Binding.PULL:
            return
        while True:
            now = self.simulation.now()
            queued = pool_state.queue.head(now)
            if queued is None:
                return
            features = self.features(queued.item)
            decision = pool_state.router.choose(features, self.random, now)
            if decision is None:
                self.simulation.schedule(0.2, partial(self.dispatch_waiting, pool_state))
                return
            is_late_binding = self.variant.binding is Binding.LATE
            priority = self._priority(queued, now)
            if is_late_binding and decision.wait_s > self.variant.max_queued_prefill_s[priority]:
                return
            pool_state.queue.pop(now)
            queued.item.priority = priority
            self.dispatch(pool_state, queued.item, features, decision)

    def features(self, run: RequestRun) -> RequestFeatures:
        """Return the routing features; the prompt of a resumed request includes generated tokens."""
        return RequestFeatures(
            run.request.blocks,
            run.request.prompt_tokens + run.generated,
            repeatable=run.request.repeatable,
        )

    def dispatch(
        self,
        pool_state: PoolState,
        run: RequestRun,
        features: RequestFeatures,
        decision: RoutingDecision,
    ) -> None:
        """Send a request to an engine."""
        now = self.simulation.now()
        engine = self.simulation.engines[decision.endpoint.name]
        run.attempts += 1
        run.uncached_tokens = decision.uncached_tokens
        run.cheap = decision.endpoint.cheap
        pool_state.router.record_dispatch(
            decision.endpoint.name, features, run.uncached_tokens, now
        )
        if run.request.repeatable:
            self.simulation.meter.dispatch(features.prompt_tokens, run.uncached_tokens)
        job = EngineJob(
            run.number,
            run.request.blocks,
            features.prompt_tokens,
            max(1, run.request.output_tokens - run.generated),
            priority=run.priority,
            prefill_only=engine.model.role is EngineRole.PREFILL,
            owner=run,
        )
        self.simulation.schedule(NETWORK_DELAY_S, lambda: engine.model.submit(job))

    def on_first_token(self, run: RequestRun, job: EngineJob, engine: SimulatedEngine) -> None:
        """Handle the first token of an attempt."""
        now = self.simulation.now()
        pool_state = self.find_pool_state(run)
        pool_state.router.record_first_token(engine.endpoint.name, run.uncached_tokens, now)
        if run.first_token_s < 0:
            run.first_token_s = now + NETWORK_DELAY_S
            run.cached_tokens = job.cached_tokens
        if job.prefill_only:
            pool_state.router.record_end(engine.endpoint.name, now)
            self._transfer_to_decode(pool_state, run, job, engine)
        self.dispatch_waiting(pool_state)

    def on_finished(self, run: RequestRun, engine: SimulatedEngine) -> None:
        """Handle the end of a stream."""
        now = self.simulation.now()
        pool_state = self.find_pool_state(run)
        run.finished_s = now
        pool_state.router.record_end(engine.endpoint.name, now)
        if run.request.repeatable:
            self.simulation.meter.record_output(run.request.output_tokens)
            excess = run.request.output_tokens - EXPECTED_OUTPUT_TOKENS
            flow = Flow(run.request.customer, pool_state.pool)
            pool_state.queue.charge(flow, self.costs.cost(0, excess))
        self.dispatch_waiting(pool_state)

    def on_lost(self, run: RequestRun, job: EngineJob, engine: SimulatedEngine) -> None:
        """Retry a repeatable request on another engine; the outcome of others stays unknown."""
        now = self.simulation.now()
        pool_state = self.find_pool_state(run)
        if not job.imported and not job.generated:
            pool_state.router.record_first_token(engine.endpoint.name, run.uncached_tokens, now)
        pool_state.router.record_end(engine.endpoint.name, now)
        if not engine.outage_planned:
            pool_state.router.record_failure(engine.endpoint.name, now)
        if not run.request.repeatable or run.attempts >= MAX_ATTEMPTS:
            run.lost = True
            return
        run.generated += job.generated
        run.slow_steps += 1
        self.simulation.schedule(NETWORK_DELAY_S, lambda: self.accept(run))

    def _priority(self, queued: QueuedRequest[RequestRun], now: float) -> Priority:
        if not self.variant.priorities:
            return Priority.WITHIN_SHARE
        overdue = queued.due_s < now
        return self.shares.priority(queued.flow.customer, now, overdue=overdue)

    def _transfer_to_decode(
        self, pool_state: PoolState, run: RequestRun, job: EngineJob, source: SimulatedEngine
    ) -> None:
        """Transfer a stream to a decode engine after its prefill."""
        now = self.simulation.now()
        features = RequestFeatures(
            job.blocks,
            job.prompt_tokens,
            decode_only=True,
            excluded=frozenset((source.endpoint.name,)),
        )
        decision = pool_state.router.choose(features, self.random, now)
        if decision is None:
            self.simulation.schedule(
                0.2, lambda: self._transfer_to_decode(pool_state, run, job, source)
            )
            return
        target = self.simulation.engines[decision.endpoint.name]
        pool_state.router.record_dispatch(decision.endpoint.name, features, 0, now)
        decode_job = EngineJob(
            run.number,
            job.blocks,
            job.prompt_tokens,
            job.output_tokens,
            imported=True,
            owner=run,
        )
        run.slow_steps += 1
        run.cheap = decision.endpoint.cheap
        delay = NETWORK_DELAY_S + (len(job.blocks) + 1) * target.model.costs.block_transfer_s
        self.simulation.schedule(delay, lambda: target.model.submit(decode_job))
