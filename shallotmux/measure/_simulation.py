"""Discrete-event simulation of a trace with the decisions and the cost model of engines."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from shallotmux.decisions import DemandMeter, LoadReport, Router
from shallotmux.measure._clock import EventHeap
from shallotmux.measure._entry import (
    LANGUAGE_POOL,
    ORDER_POOL,
    EntryModel,
    PoolState,
    make_pool_state,
)
from shallotmux.measure._runs import RequestRun, SimulatedEngine
from shallotmux.measure._shapes import Deployment, Shape
from shallotmux.measure._variants import Variant
from shallotmux.measure._workload import CUSTOMER_SHARES, LoadGenerator, TraceRequest
from shallotmux.standins import CacheChange, EngineCosts, EngineLoad
from shallotmux.world import Endpoint, EngineRole

#: Intervals of load reports and of cache events, in seconds.
REPORT_INTERVAL_S = 0.5
EVENT_INTERVAL_S = 1.0

#: Standard deviation of the relative error of load reports, and share of lost event batches.
REPORT_NOISE = 0.2
EVENT_LOSS_RATE = 0.02

#: Delay of cache events, in seconds.
EVENT_DELAY_S = 1.5

#: Delay until instances see a change of the list of engines, in seconds.
LIST_DELAY_S = 0.5

#: Duration of a run after the end of arrivals, in seconds.
COOLDOWN_S = 20.0

SAMPLE_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class Sample:
    """State of the fleet at a time, for plots.

    :param prefill: number of prefill engines.
    :param decode: number of decode engines.
    :param mixed: number of mixed engines.
    :param queued: number of requests queued on instances and engines.
    """

    time_s: float
    prefill: int
    decode: int
    mixed: int
    queued: int
    price_per_hour: float


@dataclass(slots=True)
class Simulation:
    """Simulated engines and instances, and the messages between them."""

    deployment: Deployment
    shape: Shape
    variant: Variant
    seed: int
    heap: EventHeap = field(default_factory=EventHeap)
    engines: dict[str, SimulatedEngine] = field(default_factory=dict)
    entries: list[EntryModel] = field(default_factory=list)
    runs: list[RequestRun] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    meter: DemandMeter = field(default_factory=DemandMeter)
    random: Random = field(init=False)
    first_token_target_s: float = 0.0
    engine_count: int = 0
    sent: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = Random(self.seed + 1_000_003)
        self.first_token_target_s = self.deployment.defaults.first_token_target_s
        weights = {f'customer-{index}': share for index, share in enumerate(CUSTOMER_SHARES)}
        for number in range(self.deployment.instances):
            entry = EntryModel(self, self.variant, Random(self.seed * 100 + number), weights)
            entry.pool_states = {
                pool: make_pool_state(pool, self.variant) for pool in (LANGUAGE_POOL, ORDER_POOL)
            }
            self.entries.append(entry)
        self._build_fleet()
        self._every(REPORT_INTERVAL_S, self._send_reports)
        self._every(EVENT_INTERVAL_S, self._send_events)
        self._every(SAMPLE_INTERVAL_S, self._sample)

    def now(self) -> float:
        """Return the time in seconds."""
        return self.heap.now()

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        self.heap.schedule(delay_s, callback)

    def run(self) -> None:
        """Run the whole trace."""
        generator = LoadGenerator(
            self.shape, self.deployment.language_workers, self.deployment.load, self.seed
        )
        trace = generator.requests()
        self._schedule_arrival(trace, next(trace, None))
        self.heap.run(self.shape.duration_s + COOLDOWN_S)

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Repeat an action until the end of the run."""
        self._every(interval_s, action)

    def pool_states(self, pool: str) -> Iterator[tuple[EntryModel, PoolState]]:
        """Yield each instance with its state of a pool."""
        for entry in self.entries:
            yield entry, entry.pool_states[pool]

    def engines_of(self, pool: str) -> list[SimulatedEngine]:
        """Return the engines of a pool that have not been removed."""
        return [
            engine
            for engine in self.engines.values()
            if engine.pool == pool and engine.removed_at_s < 0
        ]

    def add_engine(self, pool: str, zone: str, *, cheap: bool, boot_s: float) -> SimulatedEngine:
        """Order an engine, which serves after its boot time."""
        self.engine_count += 1
        kind = 'cheap' if cheap else 'regular'
        name = f'{pool}-{self.engine_count}-{kind}'
        endpoint = Endpoint(name, zone, '', cheap=cheap)
        engine = SimulatedEngine(endpoint, pool, self.now(), self.now)
        engine.create_model(EngineCosts(), self.schedule)
        engine.model.available = not boot_s
        self.engines[name] = engine
        self.schedule(boot_s, lambda: self._start_serving(engine))
        return engine

    def exclude(self, engine: SimulatedEngine, delay_s: float = LIST_DELAY_S) -> None:
        """Stop all instances from sending new requests to an engine."""
        self.schedule(delay_s, lambda: self._apply_exclusion(engine))

    def include(self, engine: SimulatedEngine, delay_s: float = LIST_DELAY_S) -> None:
        """Notify all instances that an engine serves, and of its role."""
        self.schedule(delay_s, lambda: self._apply_inclusion(engine))

    def notify_engines(self, pool_state: PoolState) -> None:
        """Do nothing: in pull-based dispatch, engines poll the queues."""

    def _start_serving(self, engine: SimulatedEngine) -> None:
        if engine.removed_at_s >= 0:
            return
        engine.model.available = True
        self.include(engine, 0)

    def _apply_exclusion(self, engine: SimulatedEngine) -> None:
        for _, pool_state in self.pool_states(engine.pool):
            pool_state.router.exclude(engine.endpoint.name)

    def _apply_inclusion(self, engine: SimulatedEngine) -> None:
        for entry, pool_state in self.pool_states(engine.pool):
            pool_state.router.add(engine.endpoint, engine.model.role)
            pool_state.router.include(engine.endpoint.name)
            entry.dispatch_waiting(pool_state)

    def _build_fleet(self) -> None:
        pools = (
            (LANGUAGE_POOL, self.deployment.language_workers, self.deployment.cheap_language),
            (ORDER_POOL, self.deployment.order_workers, self.deployment.cheap_orders),
        )
        zones = self.deployment.zones
        prefill, decode = self.variant.fixed_roles
        for pool, count, cheap in pools:
            for index in range(count):
                zone = zones[index % len(zones)]
                engine = self.add_engine(pool, zone, cheap=index < cheap, boot_s=0)
                if pool == LANGUAGE_POOL and index < prefill + decode:
                    engine.model.role = EngineRole.PREFILL if index < prefill else EngineRole.DECODE

    def _schedule_arrival(
        self, trace: Iterator[TraceRequest], request: TraceRequest | None
    ) -> None:
        if request is None:
            return
        self.schedule(request.time_s - self.now(), lambda: self._handle_arrival(trace, request))

    def _handle_arrival(self, trace: Iterator[TraceRequest], request: TraceRequest) -> None:
        entry = self.random.choice(self.entries)
        run = RequestRun(request, len(self.runs), entry)
        self.runs.append(run)
        entry.accept(run)
        self._schedule_arrival(trace, next(trace, None))

    def _every(self, interval_s: float, action: Callable[[], None]) -> None:
        def repeat() -> None:
            action()
            self.schedule(interval_s, repeat)

        self.schedule(interval_s, repeat)

    def _send_reports(self) -> None:
        for engine in list(self.engines.values()):
            if engine.removed_at_s < 0 and engine.model.available:
                delay_s = self.shape.report_lag_s * self.random.uniform(0.8, 1.2)
                self._send_report(engine, engine.model.load(), delay_s)

    def _send_report(self, engine: SimulatedEngine, load: EngineLoad, delay_s: float) -> None:
        noise = max(0.0, self.random.gauss(1, REPORT_NOISE))
        report = LoadReport(
            load.queued_prefill_tokens * noise,
            load.running * noise,
            load.as_of,
            load.role,
            load.prefill_tokens_per_s,
        )
        self.schedule(delay_s, lambda: self._deliver_report(engine, report))

    def _deliver_report(self, engine: SimulatedEngine, report: LoadReport) -> None:
        for entry, pool_state in self.pool_states(engine.pool):
            pool_state.router.report(engine.endpoint.name, report)
            entry.dispatch_waiting(pool_state)

    def _send_events(self) -> None:
        for engine in self.engines_of(LANGUAGE_POOL):
            changes = engine.model.cache.changes
            batch = tuple(changes)
            changes.clear()
            if batch and self.random.random() >= EVENT_LOSS_RATE:
                self._send_event_batch(engine, batch)

    def _send_event_batch(self, engine: SimulatedEngine, batch: tuple[CacheChange, ...]) -> None:
        self.schedule(EVENT_DELAY_S, lambda: self._deliver_event_batch(engine.endpoint.name, batch))

    def _deliver_event_batch(self, name: str, batch: tuple[CacheChange, ...]) -> None:
        for _, pool_state in self.pool_states(LANGUAGE_POOL):
            if isinstance(pool_state.router, Router) and pool_state.router.policy.affinity:
                index = pool_state.router.index
                for change in batch:
                    index.apply_event(name, change.sequence, change.block, stored=change.stored)

    def _sample(self) -> None:
        engines = self.engines_of(LANGUAGE_POOL)
        roles = [engine.model.role for engine in engines]
        queued = sum(len(pool_state.queue) for _, pool_state in self.pool_states(LANGUAGE_POOL))
        queued += sum(len(engine.model.waiting) for engine in engines)
        self.samples.append(
            Sample(
                self.now(),
                roles.count(EngineRole.PREFILL),
                roles.count(EngineRole.DECODE),
                roles.count(EngineRole.MIXED),
                queued,
                sum(price_per_hour(engine) for engine in engines),
            )
        )


#: Prices of an engine hour, relative to a regular engine.
REGULAR_PRICE = 1.0
CHEAP_PRICE = 0.35


def price_per_hour(engine: SimulatedEngine) -> float:
    """Return the relative price of an engine hour."""
    return CHEAP_PRICE if engine.endpoint.cheap else REGULAR_PRICE
