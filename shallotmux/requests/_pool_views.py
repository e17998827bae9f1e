"""An instance's view of the endpoints of each pool, updated incrementally."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from shallotmux.authority import ZoneState
from shallotmux.decisions import LoadReport, Router, RoutingPolicy
from shallotmux.engines import CacheEvent, ReceivedLoadReport
from shallotmux.world import Endpoint, EndpointPool, EngineRole

#: Minimum seconds between two comparisons with the zone's state while the pool is unchanged. Usage
#: batches and orders to engines and to the platform increment the revision of the state many times
#: a second.
SYNC_S = 0.1

#: Upper bound on the relative difference between the rates of an engine's and the instance's clock.
CLOCK_DRIFT = 1e-4

#: Apparent age of a report, in seconds, above which the engine's clock counts as set back.
CLOCK_STEP_S = 10.0


@dataclass(slots=True)
class EngineClock:
    """Estimated difference between the instance's clock and an engine's clock.

    The offset is the smallest difference observed, which belongs to the report with the least
    latency. A constant latency cannot be distinguished from an offset and is included in it.

    :param offset_s: instance's time minus engine's time.
    :param last_report_s: time of the last report on the instance's clock.
    """

    offset_s: float = math.inf
    last_report_s: float = 0.0

    def translate(self, as_of: float, received_s: float) -> float:
        """Convert the time of a report, in seconds, from the engine's clock to the instance's."""
        drift_s = CLOCK_DRIFT * (received_s - self.last_report_s)
        difference_s = received_s - as_of
        self.offset_s = min(self.offset_s + drift_s, difference_s)
        if difference_s - self.offset_s > CLOCK_STEP_S:
            self.offset_s = difference_s
        self.last_report_s = received_s
        return as_of + self.offset_s


@dataclass(eq=False, slots=True)
class PoolView:
    """Router of a pool, synchronized with the zone's state.

    :param live: endpoints that may get new requests according to the zone's state, by name.
    :param clocks: clocks of the engines that sent load reports, by endpoint.
    :param configured: the pool as of the last synchronization.
    :param revision: revision of the zone's state at the last synchronization.
    :param checked_s: time of the last periodic check of the zone's state and of free capacity.
    """

    pool: str
    router: Router = field(default_factory=Router)
    live: dict[str, Endpoint] = field(default_factory=dict)
    clocks: dict[str, EngineClock] = field(default_factory=dict)
    configured: EndpointPool | None = None
    revision: int = -1
    checked_s: float = -math.inf

    def is_current(self, state: ZoneState, now: float) -> bool:
        """Return whether no comparison with the zone's state is due."""
        if state.pool(self.pool) is not self.configured:
            return False
        return state.revision == self.revision or now - self.checked_s < SYNC_S

    def sync(self, state: ZoneState, is_busy: Callable[[str], bool]) -> list[str]:
        """Synchronize the endpoints with the zone's state.

        An endpoint that left the state while requests run on it is kept, without new requests, so
        that the router still counts the ends of these requests.

        :returns: names of new and changed endpoints.
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
            self._update_router(endpoint)
        self.live = present
        return [each.name for each in changed]

    def apply_report(self, name: str, received: ReceivedLoadReport) -> None:
        """Pass a load report to the router, with its time converted to the instance's clock."""
        load_state = self.router.states.get(name)
        if load_state is None:
            return
        report = received.report
        clock = self.clocks.setdefault(name, EngineClock())
        as_of = clock.translate(report.as_of, received.received_s)
        role = EngineRole(report.role) if report.role in set(EngineRole) else EngineRole.MIXED
        self.router.add(load_state.endpoint, role)
        rate = max(1.0, report.prefill_tokens_per_s)
        self.router.report(
            name, LoadReport(report.queued_prefill_tokens, report.running, as_of, role, rate)
        )

    def _update_router(self, endpoint: Endpoint) -> None:
        previous = self.router.states.get(endpoint.name)
        if previous is not None and previous.endpoint != endpoint:
            self.router.remove(endpoint.name)
        self.router.add(endpoint)
        self.router.include(endpoint.name)


@dataclass(slots=True)
class PoolViews:
    """Views of the pools in use.

    :param is_busy: returns whether this instance has requests on an endpoint.
    :param has_capacity: returns whether an endpoint may take another request.
    :param policy: parameters by which the routers compare endpoints.
    :param views: views by pool.
    :param draining: names of endpoints that this instance drains.
    """

    is_busy: Callable[[str], bool]
    has_capacity: Callable[[Endpoint], bool]
    policy: RoutingPolicy = field(default_factory=RoutingPolicy)
    views: dict[str, PoolView] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)

    def get(self, pool: str, state: ZoneState, now: float) -> PoolView:
        """Return the view of a pool, synchronized with the zone's state."""
        view = self.views.get(pool)
        if view is None:
            view = PoolView(pool, Router(self.policy))
            self.views[pool] = view
        if not view.is_current(state, now):
            changed = view.sync(state, self.is_busy)
            for name in sorted(self.draining.intersection(changed)):
                view.router.exclude(name)
            self._pause_or_resume(view, changed)
        if now - view.checked_s >= SYNC_S:
            # A load report expires without an event, after which its endpoint may have capacity.
            view.checked_s = now
            self._pause_or_resume(view, sorted(view.router.full))
        return view

    def views_of(self, endpoint: str) -> Iterator[PoolView]:
        """Return the views that contain an endpoint."""
        return (view for view in self.views.values() if endpoint in view.router.states)

    def exclude(self, endpoint: str) -> None:
        """Stop routing new requests to an endpoint."""
        self.draining.add(endpoint)
        for view in self.views_of(endpoint):
            view.router.exclude(endpoint)

    def include(self, endpoint: str) -> None:
        """Route new requests to an endpoint again unless the zone's state forbids it."""
        self.draining.discard(endpoint)
        for view in self.views_of(endpoint):
            if endpoint in view.live:
                view.router.include(endpoint)

    def mark_cache_stale(self, endpoint: str) -> None:
        """Mark the cached prefixes of a crashed engine as probably lost."""
        for view in self.views_of(endpoint):
            view.router.index.mark_stale(endpoint)

    def apply_cache_events(self, endpoint: str, events: Sequence[CacheEvent]) -> None:
        """Apply the cache events of an engine to the prefix index."""
        for view in self.views_of(endpoint):
            for event in events:
                index = view.router.index
                index.apply_event(endpoint, event.sequence, event.block, stored=event.stored)

    def reset_cache(self, endpoint: str) -> None:
        """Reset the prefix index for an engine that lost its cache and restarts its events."""
        for view in self.views_of(endpoint):
            view.router.index.remove(endpoint)

    def update_capacity(self, endpoint: str) -> None:
        """Resume or pause routing to an endpoint according to its load, which has changed."""
        for view in self.views_of(endpoint):
            self._pause_or_resume(view, (endpoint,))

    def _pause_or_resume(self, view: PoolView, names: Iterable[str]) -> None:
        for name in names:
            endpoint = view.live.get(name)
            if endpoint is None:
                continue
            if self.has_capacity(endpoint):
                view.router.resume(name)
            else:
                view.router.pause(name)
