"""What an instance knows of the endpoints of each pool, kept up to date without scans."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from shallotmux.authority import ZoneState
from shallotmux.decisions import LoadReport, Router, RoutingPolicy
from shallotmux.engines import CacheEvent, ReceivedLoadReport
from shallotmux.world import Endpoint, EndpointPool, EngineRole

#: Seconds between two comparisons with the zone's state while only its revision changes. Usage
#: batches and orders raise the revision many times a second.
SYNC_S = 0.1

#: Bound on the difference between the rates of an engine's clock and the instance's own.
CLOCK_DRIFT = 1e-4

#: Age in seconds at which a report shows that the engine's clock was set anew.
CLOCK_STEP_S = 10.0


@dataclass(slots=True)
class EngineClock:
    """Difference between the instance's clock and an engine's, in seconds.

    The smallest difference seen is the one of the fastest report. A constant lag cannot be told
    from a difference of the clocks and counts as such.
    """

    offset_s: float = math.inf
    seen_s: float = 0.0

    def translate(self, as_of: float, received_s: float) -> float:
        """Return the instance's time of a measurement."""
        drift_s = CLOCK_DRIFT * (received_s - self.seen_s)
        difference_s = received_s - as_of
        self.offset_s = min(self.offset_s + drift_s, difference_s)
        if difference_s - self.offset_s > CLOCK_STEP_S:
            self.offset_s = difference_s
        self.seen_s = received_s
        return as_of + self.offset_s


@dataclass(eq=False, slots=True)
class Lane:
    """Router of a pool and the state of the zone that it follows.

    :param live: endpoints that may get new work, by name.
    :param checked_s: time of the last comparison with the zone's state.
    """

    pool: str
    router: Router = field(default_factory=Router)
    live: dict[str, Endpoint] = field(default_factory=dict)
    clocks: dict[str, EngineClock] = field(default_factory=dict)
    configured: EndpointPool | None = None
    revision: int = -1
    checked_s: float = -math.inf

    def is_current(self, state: ZoneState, now: float) -> bool:
        """Tell whether the zone's state need not be looked at."""
        if state.pool(self.pool) is not self.configured:
            return False
        return state.revision == self.revision or now - self.checked_s < SYNC_S

    def follow(self, state: ZoneState, is_busy: Callable[[str], bool]) -> list[str]:
        """Take the endpoints of the zone's state.

        An endpoint with own requests is only excluded, so that their ends are still counted.

        :returns: names of the endpoints that are new or changed.
        """
        self.configured = state.pool(self.pool)
        self.revision = state.revision
        present = {each.name: each for each in state.endpoints_of(self.pool)}
        router = self.router
        for name in sorted(router.states.keys() - present.keys()):
            router.exclude(name)
            if not is_busy(name):
                router.remove(name)
                self.clocks.pop(name, None)
        changed = [each for each in present.values() if self.live.get(each.name) != each]
        for endpoint in changed:
            self._offer(endpoint)
        self.live = present
        return [each.name for each in changed]

    def take_report(self, name: str, known: ReceivedLoadReport) -> None:
        """Take a load report, in the instance's time."""
        state = self.router.states.get(name)
        if state is None:
            return
        report = known.report
        clock = self.clocks.setdefault(name, EngineClock())
        as_of = clock.translate(report.as_of, known.received_s)
        role = EngineRole(report.role) if report.role in set(EngineRole) else EngineRole.MIXED
        self.router.add(state.endpoint, role)
        rate = max(1.0, report.prefill_tokens_per_s)
        self.router.report(
            name, LoadReport(report.queued_prefill_tokens, report.running, as_of, role, rate)
        )

    def _offer(self, endpoint: Endpoint) -> None:
        known = self.router.states.get(endpoint.name)
        if known is not None and known.endpoint != endpoint:
            self.router.remove(endpoint.name)
        self.router.add(endpoint)
        self.router.include(endpoint.name)


@dataclass(slots=True)
class Lanes:
    """The lanes of the pools in use.

    :param is_busy: tells whether this instance has requests on an endpoint.
    :param policy: figures by which the routers compare endpoints.
    :param has_room: tells whether an endpoint may take one more.
    """

    is_busy: Callable[[str], bool]
    has_room: Callable[[Endpoint], bool]
    policy: RoutingPolicy = field(default_factory=RoutingPolicy)
    known: dict[str, Lane] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)

    def get(self, pool: str, state: ZoneState, now: float) -> Lane:
        """Return the lane of a pool as the zone's state has it."""
        lane = self.known.get(pool)
        if lane is None:
            lane = Lane(pool, Router(self.policy))
            self.known[pool] = lane
        if not lane.is_current(state, now):
            changed = lane.follow(state, self.is_busy)
            for name in sorted(self.draining.intersection(changed)):
                lane.router.exclude(name)
            self._refresh(lane, changed)
        if now - lane.checked_s >= SYNC_S:
            # Old reports expire without an event, which may give endpoints room.
            lane.checked_s = now
            self._refresh(lane, sorted(lane.router.full))
        return lane

    def holding(self, endpoint: str) -> Iterator[Lane]:
        """Return the lanes that know an endpoint."""
        return (lane for lane in self.known.values() if endpoint in lane.router.states)

    def exclude(self, endpoint: str) -> None:
        """Give an endpoint no new work."""
        self.draining.add(endpoint)
        for lane in self.holding(endpoint):
            lane.router.exclude(endpoint)

    def include(self, endpoint: str) -> None:
        """Give an endpoint new work again unless the zone's state forbids it."""
        self.draining.discard(endpoint)
        for lane in self.holding(endpoint):
            if endpoint in lane.live:
                lane.router.include(endpoint)

    def doubt_cache(self, endpoint: str) -> None:
        """Note that an engine crashed, so that its cache is probably lost."""
        for lane in self.holding(endpoint):
            lane.router.index.forget(endpoint)

    def follow_cache(self, endpoint: str, events: Sequence[CacheEvent]) -> None:
        """Take the cache events of an engine."""
        for lane in self.holding(endpoint):
            for event in events:
                index = lane.router.index
                index.follow(endpoint, event.sequence, event.block, stored=event.stored)

    def restart_cache(self, endpoint: str) -> None:
        """Take the events of an engine from the beginning again, since it lost its cache."""
        for lane in self.holding(endpoint):
            lane.router.index.remove(endpoint)

    def update_room(self, endpoint: str) -> None:
        """Offer an endpoint or withhold it, after its load has changed."""
        for lane in self.holding(endpoint):
            self._refresh(lane, (endpoint,))

    def _refresh(self, lane: Lane, names: Iterable[str]) -> None:
        for name in names:
            endpoint = lane.live.get(name)
            if endpoint is None:
                continue
            if self.has_room(endpoint):
                lane.router.resume(name)
            else:
                lane.router.pause(name)
