"""Admission of requests, and their late binding to endpoints.

Requests wait here rather than in an engine, so that the choice of the endpoint rests on the newest
figures and a request that cannot be served in time is refused before it costs anything.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice
from random import Random

import trio

from shallotmux.authority import Authority
from shallotmux.decisions import (
    RoutingDecision,
    RoutingPolicy,
    ShareMeter,
    route_request,
)
from shallotmux.engines import LoadTable, ReceivedLoadReport
from shallotmux.requests._lanes import Lane, Lanes
from shallotmux.requests._lifecycle import Lifecycle
from shallotmux.requests._limits import InstanceDemand, Limits
from shallotmux.requests._prediction import PoolFigures, predict_first_token
from shallotmux.requests._request import RequestRefused, refuse
from shallotmux.requests._retries import Breakers
from shallotmux.requests._settings import RequestSettings
from shallotmux.requests._waiting import (
    COSTS,
    MIN_WEIGHT,
    ROOM_S,
    Contracts,
    Station,
    Ticket,
    WaitingRoom,
)
from shallotmux.world import Contract, Endpoint, EndpointKind, RouteKind

#: Endpoints whose prefill rates are averaged; those of a pool differ little.
RATE_SAMPLE = 32

#: Seconds for which the set of excluded endpoints of a pool is reused.
EXCLUSION_AGE_S = 0.1

#: Seconds after which a refused caller may try again when nothing better is known.
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class AdmissionTools:
    """Collaborators of the admission.

    :param record: called with each routing decision.
    """

    authority: Authority
    settings: RequestSettings
    random: Random
    loads: LoadTable
    breakers: Breakers
    record: Callable[[Ticket, RoutingDecision], None]
    routing: RoutingPolicy = field(default_factory=RoutingPolicy)


class Admission:
    """Queues requests and binds them to endpoints with room."""

    def __init__(self, tools: AdmissionTools) -> None:
        self._tools = tools
        self._waiting = WaitingRoom()
        self._contracts = Contracts()
        self._shares = ShareMeter()
        #: Rate limits of the customers on this instance.
        self.limits = Limits()
        self._in_flight: Counter[str] = Counter()
        self._by_customer: Counter[str] = Counter()
        self._by_pool: Counter[tuple[str, str]] = Counter()
        self._figures: defaultdict[str, PoolFigures] = defaultdict(PoolFigures)
        self._excluded: dict[str, tuple[float, frozenset[str]]] = {}
        #: What is known of the endpoints of each pool.
        self.lanes = Lanes(lambda name: bool(self._in_flight[name]), self._has_room, tools.routing)
        self._reserved: dict[str, Ticket] = {}

    def in_flight(self, endpoint: str) -> int:
        """Return the requests that this instance has in progress on an endpoint."""
        return self._in_flight[endpoint]

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def exclude(self, endpoint: str) -> None:
        """Give an endpoint no new work because it leaves or changes its role."""
        self.lanes.exclude(endpoint)
        self.bind()

    def include(self, endpoint: str) -> None:
        """Give an excluded endpoint work again."""
        self.lanes.include(endpoint)
        self.bind()

    def is_draining(self, endpoint: str) -> bool:
        """Tell whether an endpoint is excluded."""
        return endpoint in self.lanes.draining

    def endpoints(self, pool: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool that may get new work by the zone's state."""
        return tuple(self._lane(pool).live.values())

    def take_report(self, endpoint: Endpoint, known: ReceivedLoadReport) -> None:
        """Take a load report and bind waiting requests."""
        for lane in self.lanes.holding(endpoint.name):
            lane.take_report(endpoint.name, known)
        self.lanes.update_room(endpoint.name)
        self.bind()

    def first_token(self, ticket: Ticket) -> None:
        """Note that the prompt of a bound request is processed."""
        if ticket.endpoint is not None and not ticket.first_token:
            router = self._lane(ticket.route.pool).router
            router.prefilled(ticket.endpoint.name, ticket.uncached, trio.current_time())
            ticket.first_token = True
            self.bind()

    def demand(self) -> InstanceDemand:
        """Return the recent demand of pools and customers on this instance."""
        now = trio.current_time()
        pools = {name: each.demand(now) for name, each in self._figures.items()}
        return InstanceDemand(pools, self.limits.demand(now))

    async def acquire(self, ticket: Ticket, lifecycle: Lifecycle) -> Endpoint:
        """Wait for an endpoint; :meth:`release` gives it back.

        :raises RequestRefused: if the request would wait too long.
        """
        if not ticket.started:
            self._check(ticket, lifecycle)
        self._arrive(ticket)
        self.bind()
        try:
            with trio.move_on_at(ticket.deadline_s):
                await ticket.bound.wait()
        except BaseException:
            self._forget(ticket)
            raise
        if ticket.endpoint is None:
            self._forget(ticket)
            raise refuse(
                lifecycle,
                f'no endpoint of route {ticket.route.name!r} became free in time',
                code='queue_timeout',
                retry_after_s=RETRY_AFTER_S,
            )
        return ticket.endpoint

    def release(self, ticket: Ticket, first_token_s: float | None = None) -> None:
        """Give an endpoint back and bind waiting requests.

        :param first_token_s: measured time from dispatch to the first token, or None.
        """
        if ticket.endpoint is None:
            return
        name = ticket.endpoint.name
        self.first_token(ticket)
        self._lane(ticket.route.pool).router.ended(name, trio.current_time())
        ticket.endpoint = None
        self._in_flight[name] -= 1
        self.lanes.update_room(name)
        self._by_customer[ticket.customer] -= 1
        self._by_pool[ticket.route.pool, ticket.customer] -= 1
        self.end_exclusive(ticket)
        figures = self._pool_figures(ticket)
        self._waiting.correct(ticket)
        used_tokens = ticket.output_tokens - ticket.charged_tokens
        self.limits.correct(ticket.customer, used_tokens)
        if first_token_s is not None:
            figures.meter.finish(ticket.output_tokens)
            now = trio.current_time()
            figures.follow(now - ticket.bound_s, first_token_s, now)
        self.bind()

    def end_exclusive(self, ticket: Ticket) -> None:
        """Let other requests onto the endpoint of an exclusive one."""
        for name, holder in list(self._reserved.items()):
            if holder is ticket:
                self._reserved.pop(name)
                self.lanes.update_room(name)
                self.bind()

    def bind(self) -> None:
        """Bind waiting requests to endpoints with room, in fair order."""
        for station in self._waiting.stations.values():
            self._bind_first(station)
            has_bound = True
            while has_bound:
                has_bound = self._bind_next(station)

    def _bind_first(self, station: Station) -> None:
        blocked = False
        for ticket in tuple(station.first):
            ordinary = not ticket.exclusive and not ticket.avoid
            if blocked and ordinary:
                continue
            decision = self._choose(ticket)
            if decision is None:
                blocked = blocked or ordinary
            else:
                self._bind(ticket, decision)

    def _bind_next(self, station: Station) -> bool:
        now = trio.current_time()
        ticket = station.head(now)
        decision = self._choose(ticket) if ticket else None
        if ticket is None or decision is None:
            return False
        overdue = ticket.waiting is not None and ticket.waiting.due_s < now
        ticket.share = self._shares.priority(ticket.customer, now, overdue=overdue)
        if decision.wait_s > ROOM_S[ticket.share]:
            return False
        self._bind(ticket, decision)
        return True

    def _arrive(self, ticket: Ticket) -> None:
        now = trio.current_time()
        weight = self._weight(ticket.customer)
        if not ticket.started:
            meter = self._pool_figures(ticket).meter
            meter.arrive(now, ticket.prompt_tokens)
            if ticket.route.kind == RouteKind.MODEL:
                ticket.expected_tokens = meter.output
            prefill_tokens = ticket.prompt_tokens * meter.uncached
            ticket.cost_s = COSTS.cost(prefill_tokens, ticket.expected_tokens)
            self._shares.charge(ticket.customer, weight, ticket.cost_s, now)
        self._waiting.add(ticket, weight, now + self._tools.settings.first_token_target_s)

    def _contract(self, name: str) -> Contract:
        return self._contracts.find(name, self._tools.authority.read(), trio.current_time())

    def _weight(self, name: str) -> float:
        return max(self._contract(name).weight, MIN_WEIGHT)

    def _bind(self, ticket: Ticket, decision: RoutingDecision) -> None:
        name = decision.endpoint.name
        self._waiting.take(ticket, trio.current_time())
        self._in_flight[name] += 1
        self._by_customer[ticket.customer] += 1
        self._by_pool[ticket.route.pool, ticket.customer] += 1
        ticket.endpoint = decision.endpoint
        ticket.bound_s = trio.current_time()
        ticket.uncached = decision.uncached_tokens
        meter = self._pool_figures(ticket).meter
        meter.dispatch(ticket.prompt_tokens, ticket.uncached)
        router = self._lane(ticket.route.pool).router
        router.dispatched(name, ticket.features(), ticket.uncached, ticket.bound_s)
        self.lanes.update_room(name)
        ticket.bound.set()
        self._tools.record(ticket, decision)

    def _forget(self, ticket: Ticket) -> None:
        self._waiting.discard(ticket)
        self.release(ticket)
        self.end_exclusive(ticket)

    def _check(self, ticket: Ticket, lifecycle: Lifecycle) -> None:
        lane = self._lane(ticket.route.pool)
        if not lane.live:
            message = f'route {ticket.route.name!r} has no endpoint'
            raise refuse(lifecycle, message, code='no_endpoint', retry_after_s=RETRY_AFTER_S)
        self._check_customer(ticket, lifecycle)
        limit_s = self._tools.settings.first_token_limit_s
        predicted_s = self._predict(ticket, lane)
        if predicted_s > limit_s and ticket.route.repeatable and not ticket.exclusive:
            raise refuse(
                lifecycle,
                f'the first token is expected after {predicted_s:.2f} s',
                code='overloaded',
                status=429,
                retry_after_s=predicted_s - limit_s,
            )
        self._check_limits(ticket, lifecycle)

    def _check_limits(self, ticket: Ticket, lifecycle: Lifecycle) -> None:
        """Check the rate limits last, so that other refusals use up none of them."""
        if ticket.route.kind == RouteKind.MODEL:
            ticket.charged_tokens = self._pool_figures(ticket).meter.output
        wait_s = self.limits.check(
            ticket.customer,
            self._contract(ticket.customer),
            ticket.prompt_tokens + ticket.charged_tokens,
            trio.current_time(),
        )
        if wait_s:
            raise refuse(
                lifecycle,
                'the rate limit of the customer is reached',
                code='rate_limited',
                status=429,
                retry_after_s=wait_s,
            )

    def _pool_figures(self, ticket: Ticket) -> PoolFigures:
        return self._figures[ticket.route.pool]

    def _check_customer(self, ticket: Ticket, lifecycle: Lifecycle) -> None:
        queued = self._waiting.count(ticket.customer, ticket.route.name)
        if queued >= self._tools.settings.queue_limit:
            raise _refuse_busy(lifecycle, 'too many requests are waiting', 'queue_full')
        limit = self._contract(ticket.customer).connections
        mine = self._waiting.count(ticket.customer)
        if self._by_customer[ticket.customer] + mine >= limit:
            raise _refuse_busy(lifecycle, 'too many requests in progress', 'too_many_requests')

    def _predict(self, ticket: Ticket, lane: Lane) -> float:
        figures = self._pool_figures(ticket)
        if not any(count for place, count in self._by_pool.items() if place[0] == lane.pool):
            figures.fade(trio.current_time())
        ahead, waiting = self._waiting.look_ahead(ticket)
        rate = self._tools.loads.prefill_rate(islice(lane.live, RATE_SAMPLE))
        return predict_first_token(
            ahead,
            self._count_served(ticket, waiting),
            figures,
            ticket.prompt_tokens / rate if rate else 0.0,
            has_room=lane.router.has_candidates(ticket.features()),
        )

    def _count_served(self, ticket: Ticket, waiting: set[str]) -> float:
        """Return the streams that the customer runs here at a time, or its fair share of them."""
        running = {
            name: count
            for (pool, name), count in self._by_pool.items()
            if pool == ticket.route.pool and count
        }
        active = running.keys() | waiting | {ticket.customer}
        share = self._weight(ticket.customer) / sum(self._weight(name) for name in active)
        return max(running.get(ticket.customer, 0), share * sum(running.values()))

    def _lane(self, pool: str) -> Lane:
        return self.lanes.get(pool, self._tools.authority.read(), trio.current_time())

    def _slots(self, endpoint: Endpoint) -> int:
        settings = self._tools.settings
        if endpoint.kind == EndpointKind.SERVICE:
            return settings.service_slots
        return settings.engine_slots

    def _has_room(self, endpoint: Endpoint) -> bool:
        if endpoint.name in self._reserved:
            return False
        own = self._in_flight[endpoint.name]
        running = self._tools.loads.estimate(endpoint.name, own, trio.current_time())
        return max(running, own) < self._slots(endpoint)

    def _choose(self, ticket: Ticket) -> RoutingDecision | None:
        lane = self._lane(ticket.route.pool)
        excluded = self._exclusions(lane) | ticket.avoid
        if lane.live.keys() <= excluded | self.lanes.draining:
            # Every endpoint has failed; any of them is better than none.
            excluded = frozenset()
        if ticket.exclusive:
            barred = excluded | self.lanes.draining
            usable = [each for name, each in lane.live.items() if name not in barred]
            return self._choose_exclusive(ticket, usable)
        features = ticket.features(excluded)
        return route_request((), self._tools.random, features, lane.router, trio.current_time())

    def _exclusions(self, lane: Lane) -> frozenset[str]:
        now = trio.current_time()
        since, excluded = self._excluded.get(lane.pool, (-math.inf, frozenset()))
        if now - since > EXCLUSION_AGE_S:
            names = [name for name in lane.live if name not in self.lanes.draining]
            excluded = self._tools.breakers.excluded(names, now) if names else frozenset()
            self._excluded[lane.pool] = (now, excluded)
        return excluded

    def _choose_exclusive(self, ticket: Ticket, usable: list[Endpoint]) -> RoutingDecision | None:
        """Reserve a cheap or little used endpoint, and bind to it as soon as it is empty."""
        mine = [name for name, holder in self._reserved.items() if holder is ticket]
        free = [each for each in usable if each.name not in self._reserved]
        if not mine and len(self._reserved) < max(1, len(usable) // 3) and free:
            best = min(free, key=lambda each: (self._in_flight[each.name], not each.cheap))
            self._reserved[best.name] = ticket
            self.lanes.update_room(best.name)
            mine = [best.name]
        for endpoint in usable:
            if endpoint.name in mine and not self._in_flight[endpoint.name]:
                return RoutingDecision(endpoint, 'alone on trial', ((endpoint.name, 0),))
        return None


def _refuse_busy(lifecycle: Lifecycle, message: str, code: str) -> RequestRefused:
    return refuse(lifecycle, message, code=code, status=429, retry_after_s=RETRY_AFTER_S)
