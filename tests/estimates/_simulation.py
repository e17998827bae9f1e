"""Engines under a load, and instances that choose among them by their estimates.

Prefill engines work off their prompts in the order of arrival, at their pace. Instances learn from
answers, from the reports of the others after a delay, and from the queued tokens of some of the others.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from statistics import median, quantiles

from shallotmux.estimates import Endpoint, Estimator, LoadReport
from shallotmux.estimates._estimator import NO_PREFIXES
from shallotmux.fleet import EngineRole
from shallotmux.placement import EngineView, PlacementRequest, build_prompt, place_request
from tests.estimates._endpoints import PlainEndpoint, endpoint

#: Time of an answer that depends on neither the prompt nor the queue.
FIXED_MS = 90.0

#: True speed of a prefill engine, which the instances do not know.
TRUE_TOKENS_PER_MS = 61.4

#: Delay of datagrams between instances: their interval.
SHARE_DELAY_S = 0.18

#: Part of the other instances whose queued tokens an instance hears.
HEARD_PART = 0.4

SHARED_TOKENS = 13_300
OWN_TOKENS = 3_720


@dataclass(slots=True)
class SimulatedEngine:
    """An engine that prefills one prompt after the other.

    :param pace: factor on the time of a prompt that begins now.
    """

    identity: str
    pace: float = 1.0
    free_at: float = 0.0
    #: Begin and end of each prompt that is not finished.
    prompts: list[tuple[float, float]] = field(default_factory=list)

    def submit(self, now: float, tokens: float) -> float:
        """Add a prompt, and return when it is finished."""
        begin = max(now, self.free_at)
        self.free_at = begin + self.pace * tokens / TRUE_TOKENS_PER_MS / 1000
        self.prompts.append((begin, self.free_at))
        return self.free_at + FIXED_MS / 1000

    def report(self, now: float) -> LoadReport:
        """Return the load that it reports."""
        self.prompts = [each for each in self.prompts if each[1] > now]
        running = sum(begin <= now for begin, _ in self.prompts)
        waiting = len(self.prompts) - running
        return LoadReport(running, waiting, 64, round(100 * self.pace), now)


class EarlierEstimator(Estimator):
    """Views of engines as they were before reports were shared: own reports, which fade to nothing."""

    def view(
        self, state: Endpoint, now: float, cached_prefixes: frozenset[bytes] = NO_PREFIXES
    ) -> EngineView:
        """Return the view of an engine without pace, queue and usual load."""
        view = super().view(state, now, cached_prefixes)
        model = state.model
        others = model.weight(now) * (model.others_running + model.others_waiting)
        backlog = state.queued_prefill_tokens + self._peer_tokens(view.identity)
        return EngineView(
            view.identity,
            view.zone,
            view.role,
            view.prefill_tokens_per_ms,
            backlog,
            state.in_flight + others,
            view.slots,
            cached_prefixes,
        )


class SimulatedInstance:
    """An instance with its own view of the engines."""

    def __init__(self, engines: list[SimulatedEngine], *, is_earlier: bool) -> None:
        #: Queued tokens that it heard of.
        self.heard: dict[str, float] = {}
        kind = EarlierEstimator if is_earlier else Estimator
        self.estimator = kind(peer_tokens=lambda name: self.heard.get(name, 0.0))
        self.endpoints = {
            each.identity: endpoint(each.identity, EngineRole.PREFILL, 64) for each in engines
        }
        self.decode = endpoint('d', EngineRole.DECODE, 1000)

    def usable(self) -> list[PlainEndpoint]:
        """Return all endpoints, the decode engine included."""
        return [*self.endpoints.values(), self.decode]

    def receive(self, name: str, report: LoadReport, _: float) -> None:
        """Add a report of an engine."""
        self.estimator.receive(self.endpoints[name], report)


@dataclass(slots=True)
class Outcome:
    """What happened to the prompts of a run: their times, and real to estimated times."""

    times_ms: list[float] = field(default_factory=list)
    ratios: list[float] = field(default_factory=list)
    engines: list[str] = field(default_factory=list)

    def percentile(self, numbers: list[float], percent: int) -> float:
        """Return a percentile of some numbers."""
        return quantiles(numbers, n=100)[percent - 1]

    @property
    def median_ms(self) -> float:
        """Return the median time."""
        return median(self.times_ms)

    @property
    def mean_ms(self) -> float:
        """Return the mean time."""
        return sum(self.times_ms) / len(self.times_ms)


@dataclass(slots=True)
class Simulation:
    """Prompts that instances place on engines.

    :param is_earlier: whether instances use their own reports alone, as before.
    """

    engine_count: int = 24
    instance_count: int = 12
    is_earlier: bool = False
    seed: int = 1
    shared_prefixes: int = 20
    engines: list[SimulatedEngine] = field(init=False)
    instances: list[SimulatedInstance] = field(init=False)
    outcome: Outcome = field(default_factory=Outcome)
    _events: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    _numbers: count[int] = field(default_factory=count)
    _random: Random = field(init=False)

    def __post_init__(self) -> None:
        """Build the engines and the instances."""
        self._random = Random(self.seed)
        self.engines = [SimulatedEngine(f'p-{each}') for each in range(self.engine_count)]
        self.instances = [
            SimulatedInstance(self.engines, is_earlier=self.is_earlier)
            for _ in range(self.instance_count)
        ]

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def load(self, per_s: float, begin: float, end: float) -> None:
        """Let prompts arrive at random instances at random times."""
        for number in range(self.instance_count):
            for step in range(int((end - begin) / SHARE_DELAY_S) + 1):
                delay_s = SHARE_DELAY_S * (step + number / self.instance_count)
                self.at(begin + delay_s, partial(self._hear, number))
        at = begin
        while at < end:
            at += self._random.expovariate(per_s)
            self.at(at, partial(self.place, self._random.randrange(self.instance_count)))

    def run(self) -> Outcome:
        """Run all events; returns the outcome."""
        while self._events:
            at, _, action = heapq.heappop(self._events)
            action(at)
        return self.outcome

    def place(self, number: int, now: float) -> None:
        """Place a prompt of an instance."""
        instance = self.instances[number]
        estimator = instance.estimator
        shared = f's{self._random.randrange(self.shared_prefixes)}'
        prompt = build_prompt(
            'm', ((shared, SHARED_TOKENS), (f'o{next(self._numbers)}', OWN_TOKENS)), 17_020, 12
        )
        request = PlacementRequest(prompt, 'a', 1100, 1000.0, self._random.random)
        views = [estimator.view(each, now) for each in instance.usable()]
        placement = place_request(request, views)
        assert placement is not None and placement.prefill is not None
        estimator.record_prompt('s', placement.uncached_tokens)
        state = instance.endpoints[placement.prefill]
        estimate = estimator.estimate_prompt(state, placement.uncached_tokens, now)
        engine = next(each for each in self.engines if each.identity == placement.prefill)
        tokens = placement.uncached_tokens
        state.in_flight += 1
        state.queued_prefill_tokens += tokens
        state.model.record_in_flight(state.in_flight, now)

        def finish(at: float) -> None:
            state.in_flight -= 1
            state.queued_prefill_tokens -= tokens
            state.model.record_in_flight(state.in_flight, at)
            real_ms = 1000 * (at - now)
            estimator.record(state, estimate, real_ms, at)
            self.outcome.times_ms.append(real_ms)
            self.outcome.ratios.append(real_ms / estimate.total_ms)
            self.outcome.engines.append(engine.identity)
            self._report(instance, engine, at)

        self.at(engine.submit(now, tokens), finish)

    def _report(self, instance: SimulatedInstance, engine: SimulatedEngine, now: float) -> None:
        report = engine.report(now)
        instance.estimator.receive(instance.endpoints[engine.identity], report)
        if self.is_earlier:
            return
        for each in self.instances:
            self.at(now + SHARE_DELAY_S, partial(each.receive, engine.identity, report))

    def _hear(self, number: int, _: float) -> None:
        """Let an instance hear the queued tokens of those that follow it, and extrapolate them."""
        heard_count = max(1, round(HEARD_PART * (self.instance_count - 1)))
        circle = self.instances[number + 1 :] + self.instances[:number]
        scale = len(circle) / heard_count
        self.instances[number].heard = {
            each.identity: scale
            * sum(
                peer.endpoints[each.identity].queued_prefill_tokens for peer in circle[:heard_count]
            )
            for each in self.engines
        }
