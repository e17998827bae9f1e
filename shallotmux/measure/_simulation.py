"""A run of one trace through the decisions, on the cost model of the engines."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from shallotmux.decisions import DemandMeter, LoadReport, Router
from shallotmux.measure._clock import EventHeap
from shallotmux.measure._entry import LANGUAGE, ORDERS, EntryModel, Lane, make_lane
from shallotmux.measure._runs import EngineSlot, RequestRun
from shallotmux.measure._shapes import Deployment, Shape
from shallotmux.measure._variants import Variant
from shallotmux.measure._workload import CUSTOMER_SHARES, LoadProgram, TraceRequest
from shallotmux.standins import CacheChange, EngineCosts, EngineLoad
from shallotmux.world import Endpoint, EngineRole

#: Interval of load reports and of cache events, in seconds.
REPORT_S = 0.5
EVENT_S = 1.0

#: Relative noise of load reports, and the part of cache event batches that is lost.
REPORT_NOISE = 0.2
EVENT_LOSS = 0.02

#: Delay of cache events, in seconds.
EVENT_LAG_S = 1.5

#: Time until instances see a change in the lists of engines, in seconds.
LIST_LAG_S = 0.5

#: Time for which a run goes on after the last arrival, in seconds.
TAIL_S = 20.0

SAMPLE_S = 5.0


@dataclass(frozen=True, slots=True)
class Sample:
    """State of the fleet at a time, for plots."""

    time_s: float
    prefill: int
    decode: int
    mixed: int
    queued: int
    price_per_hour: float


@dataclass(slots=True)
class Simulation:
    """Engines, instances and the messages between them."""

    deployment: Deployment
    shape: Shape
    variant: Variant
    seed: int
    heap: EventHeap = field(default_factory=EventHeap)
    slots: dict[str, EngineSlot] = field(default_factory=dict)
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
        weights = {f'customer-{place}': share for place, share in enumerate(CUSTOMER_SHARES)}
        for number in range(self.deployment.instances):
            entry = EntryModel(self, self.variant, Random(self.seed * 100 + number), weights)
            entry.lanes = {pool: make_lane(pool, self.variant) for pool in (LANGUAGE, ORDERS)}
            self.entries.append(entry)
        self._build_fleet()
        self._every(REPORT_S, self._send_reports)
        self._every(EVENT_S, self._send_events)
        self._every(SAMPLE_S, self._sample)

    def now(self) -> float:
        """Return the time in seconds."""
        return self.heap.now()

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        self.heap.schedule(delay_s, callback)

    def run(self) -> None:
        """Run the whole trace."""
        program = LoadProgram(
            self.shape, self.deployment.language_workers, self.deployment.load, self.seed
        )
        trace = program.requests()
        self._arrive(trace, next(trace, None))
        self.heap.run(self.shape.duration_s + TAIL_S)

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Repeat an action until the end of the run."""
        self._every(interval_s, action)

    def lanes(self, pool: str) -> Iterator[tuple[EntryModel, Lane]]:
        """Return the lanes of a pool on all instances."""
        for entry in self.entries:
            yield entry, entry.lanes[pool]

    def serving(self, pool: str) -> list[EngineSlot]:
        """Return the engines of a pool that are there."""
        return [slot for slot in self.slots.values() if slot.pool == pool and slot.gone_s < 0]

    def add_engine(self, pool: str, zone: str, *, cheap: bool, boot_s: float) -> EngineSlot:
        """Order an engine; it serves after its boot time."""
        self.engine_count += 1
        kind = 'cheap' if cheap else 'regular'
        name = f'{pool}-{self.engine_count}-{kind}'
        endpoint = Endpoint(name, zone, '', cheap=cheap)
        slot = EngineSlot(endpoint, pool, self.now(), self.now)
        slot.attach(EngineCosts(), self.schedule)
        slot.engine.available = not boot_s
        self.slots[name] = slot
        self.schedule(boot_s, lambda: self._start_serving(slot))
        return slot

    def exclude(self, slot: EngineSlot, lag_s: float = LIST_LAG_S) -> None:
        """Tell all instances to give an engine no new work."""
        self.schedule(lag_s, lambda: self._tell_excluded(slot))

    def include(self, slot: EngineSlot, lag_s: float = LIST_LAG_S) -> None:
        """Tell all instances that an engine serves, and its role."""
        self.schedule(lag_s, lambda: self._tell_included(slot))

    def offer(self, lane: Lane) -> None:
        """Let an engine with room pull; see the module of pull-based dispatch."""

    def _start_serving(self, slot: EngineSlot) -> None:
        if slot.gone_s >= 0:
            return
        slot.engine.available = True
        self.include(slot, 0)

    def _tell_excluded(self, slot: EngineSlot) -> None:
        for _, lane in self.lanes(slot.pool):
            lane.router.exclude(slot.endpoint.name)

    def _tell_included(self, slot: EngineSlot) -> None:
        for entry, lane in self.lanes(slot.pool):
            lane.router.add(slot.endpoint, slot.engine.role)
            lane.router.include(slot.endpoint.name)
            entry.pump(lane)

    def _build_fleet(self) -> None:
        plan = (
            (LANGUAGE, self.deployment.language_workers, self.deployment.cheap_language),
            (ORDERS, self.deployment.order_workers, self.deployment.cheap_orders),
        )
        zones = self.deployment.zones
        prefill, decode = self.variant.fixed_roles
        for pool, count, cheap in plan:
            for place in range(count):
                zone = zones[place % len(zones)]
                slot = self.add_engine(pool, zone, cheap=place < cheap, boot_s=0)
                if pool == LANGUAGE and place < prefill + decode:
                    slot.engine.role = EngineRole.PREFILL if place < prefill else EngineRole.DECODE

    def _arrive(self, trace: Iterator[TraceRequest], request: TraceRequest | None) -> None:
        if request is None:
            return
        self.schedule(request.time_s - self.now(), lambda: self._accept(trace, request))

    def _accept(self, trace: Iterator[TraceRequest], request: TraceRequest) -> None:
        entry = self.random.choice(self.entries)
        run = RequestRun(request, len(self.runs), entry)
        self.runs.append(run)
        entry.accept(run)
        self._arrive(trace, next(trace, None))

    def _every(self, interval_s: float, action: Callable[[], None]) -> None:
        def repeat() -> None:
            action()
            self.schedule(interval_s, repeat)

        self.schedule(interval_s, repeat)

    def _send_reports(self) -> None:
        for slot in list(self.slots.values()):
            if slot.gone_s < 0 and slot.engine.available:
                lag = self.shape.report_lag_s * self.random.uniform(0.8, 1.2)
                self._send_report(slot, slot.engine.load(), lag)

    def _send_report(self, slot: EngineSlot, load: EngineLoad, lag_s: float) -> None:
        noise = max(0.0, self.random.gauss(1, REPORT_NOISE))
        report = LoadReport(
            load.queued_prefill_tokens * noise,
            load.running * noise,
            load.as_of,
            load.role,
            load.prefill_tokens_per_s,
        )
        self.schedule(lag_s, lambda: self._deliver(slot, report))

    def _deliver(self, slot: EngineSlot, report: LoadReport) -> None:
        for entry, lane in self.lanes(slot.pool):
            lane.router.report(slot.endpoint.name, report)
            entry.pump(lane)

    def _send_events(self) -> None:
        for slot in self.serving(LANGUAGE):
            changes = slot.engine.cache.changes
            batch = tuple(changes)
            changes.clear()
            if batch and self.random.random() >= EVENT_LOSS:
                self._send_batch(slot, batch)

    def _send_batch(self, slot: EngineSlot, batch: tuple[CacheChange, ...]) -> None:
        self.schedule(EVENT_LAG_S, lambda: self._deliver_batch(slot.endpoint.name, batch))

    def _deliver_batch(self, name: str, batch: tuple[CacheChange, ...]) -> None:
        for _, lane in self.lanes(LANGUAGE):
            if isinstance(lane.router, Router) and lane.router.policy.affinity:
                index = lane.router.index
                for change in batch:
                    index.follow(name, change.sequence, change.block, stored=change.stored)

    def _sample(self) -> None:
        slots = self.serving(LANGUAGE)
        roles = [slot.engine.role for slot in slots]
        queued = sum(len(lane.queue) for _, lane in self.lanes(LANGUAGE))
        queued += sum(len(slot.engine.waiting) for slot in slots)
        self.samples.append(
            Sample(
                self.now(),
                roles.count(EngineRole.PREFILL),
                roles.count(EngineRole.DECODE),
                roles.count(EngineRole.MIXED),
                queued,
                sum(price_per_hour(slot) for slot in slots),
            )
        )


#: Prices of an engine hour, relative to a regular one.
REGULAR_PRICE = 1.0
CHEAP_PRICE = 0.35


def price_per_hour(slot: EngineSlot) -> float:
    """Return the price of an engine."""
    return CHEAP_PRICE if slot.endpoint.cheap else REGULAR_PRICE
