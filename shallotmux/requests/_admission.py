"""Admission control and late binding of requests to endpoints.

Requests are queued here rather than in an engine, so that an endpoint is chosen by the most recent
load reports, and a request that cannot be served in time is refused before it uses an engine.
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
from shallotmux.requests._lifecycle import Lifecycle
from shallotmux.requests._limits import InstanceDemand, Limits
from shallotmux.requests._pool_views import PoolView, PoolViews
from shallotmux.requests._prediction import PoolStatistics, predict_first_token
from shallotmux.requests._queues import (
    MAX_QUEUED_PREFILL_S,
    MIN_WEIGHT,
    TOKEN_COSTS,
    ContractCache,
    PoolQueue,
    RequestQueues,
    Ticket,
)
from shallotmux.requests._request import RequestRefused, refuse
from shallotmux.requests._reservations import Reservations
from shallotmux.requests._retries import Breakers
from shallotmux.requests._settings import RequestSettings
from shallotmux.world import Contract, Endpoint, EndpointKind, RouteKind

#: Endpoints whose prefill rates are averaged; rates within a pool differ little.
RATE_SAMPLE_SIZE = 32

#: Seconds for which the set of endpoints with an open circuit breaker is cached, for each pool.
EXCLUSION_CACHE_S = 0.1

#: Default delay in seconds before a refused caller may retry.
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class AdmissionDependencies:
    """Dependencies of :class:`Admission`.

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
    """Queues requests and binds them to endpoints with free capacity."""

    def __init__(self, dependencies: AdmissionDependencies) -> None:
        self._dependencies = dependencies
        self._queues = RequestQueues()
        self._contracts = ContractCache()
        self._shares = ShareMeter()
        #: Rate limits of customers on this instance.
        self.limits = Limits()
        self._in_flight: Counter[str] = Counter()
        self._running_by_customer: Counter[str] = Counter()
        self._running_by_pool: Counter[tuple[str, str]] = Counter()
        self._statistics: defaultdict[str, PoolStatistics] = defaultdict(PoolStatistics)
        self._excluded: dict[str, tuple[float, frozenset[str]]] = {}
        #: Endpoints of each pool as this instance knows them.
        self.pool_views = PoolViews(
            lambda name: bool(self._in_flight[name]), self._has_capacity, dependencies.routing
        )
        self._reservations = Reservations(self._in_flight, self.pool_views.update_capacity)

    def in_flight(self, endpoint: str) -> int:
        """Return the number of requests of this instance in progress on an endpoint."""
        return self._in_flight[endpoint]

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queues)

    def exclude(self, endpoint: str) -> None:
        """Stop sending new requests to an endpoint that leaves or changes its role."""
        self.pool_views.exclude(endpoint)
        self.bind()

    def include(self, endpoint: str) -> None:
        """Send requests to an excluded endpoint again."""
        self.pool_views.include(endpoint)
        self.bind()

    def is_draining(self, endpoint: str) -> bool:
        """Return whether an endpoint is excluded."""
        return endpoint in self.pool_views.draining

    def endpoints(self, pool: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a pool that the zone's state allows to receive new requests."""
        return tuple(self._view(pool).live.values())

    def apply_report(self, endpoint: Endpoint, received: ReceivedLoadReport) -> None:
        """Apply a load report and bind waiting requests."""
        for view in self.pool_views.views_of(endpoint.name):
            view.apply_report(endpoint.name, received)
        self.pool_views.update_capacity(endpoint.name)
        self.bind()

    def mark_prefill_done(self, ticket: Ticket) -> None:
        """Record that the endpoint has processed the prompt of a bound request."""
        if ticket.endpoint is not None and not ticket.prefill_done:
            router = self._view(ticket.route.pool).router
            router.record_first_token(
                ticket.endpoint.name, ticket.uncached_tokens, trio.current_time()
            )
            ticket.prefill_done = True
            self.bind()

    def demand(self) -> InstanceDemand:
        """Return the recent demand of each pool and customer on this instance."""
        now = trio.current_time()
        pools = {name: each.demand(now) for name, each in self._statistics.items()}
        return InstanceDemand(pools, self.limits.demand(now))

    async def acquire(self, ticket: Ticket, lifecycle: Lifecycle) -> Endpoint:
        """Wait until the request is bound to an endpoint, which :meth:`release` frees again.

        :raises RequestRefused: if the request fails the admission checks or waits too long.
        """
        if not ticket.started:
            self._check(ticket, lifecycle)
        self._enqueue(ticket)
        self.bind()
        try:
            with trio.move_on_at(ticket.deadline_s):
                await ticket.bound.wait()
        except BaseException:
            self._abandon(ticket)
            raise
        if ticket.endpoint is None:
            self._abandon(ticket)
            raise refuse(
                lifecycle,
                f'no endpoint of route {ticket.route.name!r} became free in time',
                code='queue_timeout',
                retry_after_s=RETRY_AFTER_S,
            )
        return ticket.endpoint

    def release(self, ticket: Ticket, first_token_s: float | None = None) -> None:
        """Free the endpoint of a request and bind waiting requests.

        :param first_token_s: measured seconds from dispatch to the first token, or None.
        """
        if ticket.endpoint is None:
            return
        name = ticket.endpoint.name
        self.mark_prefill_done(ticket)
        self._view(ticket.route.pool).router.record_end(name, trio.current_time())
        ticket.endpoint = None
        self._in_flight[name] -= 1
        self.pool_views.update_capacity(name)
        self._running_by_customer[ticket.customer] -= 1
        self._running_by_pool[ticket.route.pool, ticket.customer] -= 1
        self.end_exclusive(ticket)
        statistics = self._pool_statistics(ticket)
        self._queues.correct(ticket)
        used_tokens = ticket.output_tokens - ticket.charged_tokens
        self.limits.correct(ticket.customer, used_tokens)
        if first_token_s is not None:
            statistics.meter.record_output(ticket.output_tokens)
            now = trio.current_time()
            statistics.update_times(now - ticket.bound_s, first_token_s, now)
        self.bind()

    def end_exclusive(self, ticket: Ticket) -> None:
        """Allow other requests on an endpoint that was reserved for an exclusive request."""
        if self._reservations.end(ticket):
            self.bind()

    def bind(self) -> None:
        """Bind waiting requests to endpoints with free capacity, in fair order."""
        for pool_queue in self._queues.pool_queues.values():
            self._bind_expedited(pool_queue)
            has_bound = True
            while has_bound:
                has_bound = self._bind_next(pool_queue)

    def _bind_expedited(self, pool_queue: PoolQueue) -> None:
        blocked = False
        for ticket in tuple(pool_queue.expedited):
            ordinary = not ticket.exclusive and not ticket.avoid
            if blocked and ordinary:
                continue
            decision = self._choose(ticket)
            if decision is None:
                blocked = blocked or ordinary
            else:
                self._bind(ticket, decision)

    def _bind_next(self, pool_queue: PoolQueue) -> bool:
        now = trio.current_time()
        ticket = pool_queue.head(now)
        decision = self._choose(ticket) if ticket else None
        if ticket is None or decision is None:
            return False
        overdue = ticket.waiting is not None and ticket.waiting.due_s < now
        ticket.share = self._shares.priority(ticket.customer, now, overdue=overdue)
        if decision.wait_s > MAX_QUEUED_PREFILL_S[ticket.share]:
            return False
        self._bind(ticket, decision)
        return True

    def _enqueue(self, ticket: Ticket) -> None:
        now = trio.current_time()
        weight = self._weight(ticket.customer)
        if not ticket.started:
            meter = self._pool_statistics(ticket).meter
            meter.record_arrival(now, ticket.prompt_tokens)
            if ticket.route.kind == RouteKind.MODEL:
                ticket.expected_tokens = meter.mean_output_tokens
            prefill_tokens = ticket.prompt_tokens * meter.uncached_fraction
            ticket.cost_s = TOKEN_COSTS.cost(prefill_tokens, ticket.expected_tokens)
            self._shares.charge(ticket.customer, weight, ticket.cost_s, now)
        self._queues.add(ticket, weight, now + self._dependencies.settings.first_token_target_s)

    def _contract(self, name: str) -> Contract:
        return self._contracts.find(name, self._dependencies.authority.read(), trio.current_time())

    def _weight(self, name: str) -> float:
        return max(self._contract(name).weight, MIN_WEIGHT)

    def _bind(self, ticket: Ticket, decision: RoutingDecision) -> None:
        name = decision.endpoint.name
        self._queues.dequeue(ticket, trio.current_time())
        self._in_flight[name] += 1
        self._running_by_customer[ticket.customer] += 1
        self._running_by_pool[ticket.route.pool, ticket.customer] += 1
        ticket.endpoint = decision.endpoint
        ticket.bound_s = trio.current_time()
        ticket.uncached_tokens = decision.uncached_tokens
        meter = self._pool_statistics(ticket).meter
        meter.dispatch(ticket.prompt_tokens, ticket.uncached_tokens)
        router = self._view(ticket.route.pool).router
        router.record_dispatch(name, ticket.features(), ticket.uncached_tokens, ticket.bound_s)
        self.pool_views.update_capacity(name)
        ticket.bound.set()
        self._dependencies.record(ticket, decision)

    def _abandon(self, ticket: Ticket) -> None:
        self._queues.discard(ticket)
        self.release(ticket)
        self.end_exclusive(ticket)

    def _check(self, ticket: Ticket, lifecycle: Lifecycle) -> None:
        view = self._view(ticket.route.pool)
        if not view.live:
            message = f'route {ticket.route.name!r} has no endpoint'
            raise refuse(lifecycle, message, code='no_endpoint', retry_after_s=RETRY_AFTER_S)
        self._check_customer(ticket, lifecycle)
        limit_s = self._dependencies.settings.first_token_limit_s
        predicted_s = self._predict(ticket, view)
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
        """Check rate limits; done last, so that other refusals consume no tokens of the buckets."""
        if ticket.route.kind == RouteKind.MODEL:
            ticket.charged_tokens = self._pool_statistics(ticket).meter.mean_output_tokens
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

    def _pool_statistics(self, ticket: Ticket) -> PoolStatistics:
        return self._statistics[ticket.route.pool]

    def _check_customer(self, ticket: Ticket, lifecycle: Lifecycle) -> None:
        queued = self._queues.count(ticket.customer, ticket.route.name)
        if queued >= self._dependencies.settings.queue_limit:
            raise _refuse_busy(lifecycle, 'too many requests are waiting', 'queue_full')
        limit = self._contract(ticket.customer).connections
        queued_total = self._queues.count(ticket.customer)
        if self._running_by_customer[ticket.customer] + queued_total >= limit:
            raise _refuse_busy(lifecycle, 'too many requests in progress', 'too_many_requests')

    def _predict(self, ticket: Ticket, view: PoolView) -> float:
        statistics = self._pool_statistics(ticket)
        if not any(count for key, count in self._running_by_pool.items() if key[0] == view.pool):
            statistics.decay(trio.current_time())
        ahead, waiting = self._queues.count_ahead(ticket)
        rate = self._dependencies.loads.prefill_rate(islice(view.live, RATE_SAMPLE_SIZE))
        return predict_first_token(
            ahead,
            self._estimate_concurrency(ticket, waiting),
            statistics,
            ticket.prompt_tokens / rate if rate else 0.0,
            has_capacity=view.router.has_candidates(ticket.features()),
        )

    def _estimate_concurrency(self, ticket: Ticket, waiting: set[str]) -> float:
        """Return the customer's running streams or its fair share of all, whichever is larger."""
        running = {
            name: count
            for (pool, name), count in self._running_by_pool.items()
            if pool == ticket.route.pool and count
        }
        active = running.keys() | waiting | {ticket.customer}
        share = self._weight(ticket.customer) / sum(self._weight(name) for name in active)
        return max(running.get(ticket.customer, 0), share * sum(running.values()))

    def _view(self, pool: str) -> PoolView:
        return self.pool_views.get(pool, self._dependencies.authority.read(), trio.current_time())

    def _slots(self, endpoint: Endpoint) -> int:
        settings = self._dependencies.settings
        if endpoint.kind == EndpointKind.SERVICE:
            return settings.service_slots
        return settings.engine_slots

    def _has_capacity(self, endpoint: Endpoint) -> bool:
        if endpoint.name in self._reservations:
            return False
        own = self._in_flight[endpoint.name]
        running = self._dependencies.loads.estimate(endpoint.name, own, trio.current_time())
        return max(running, own) < self._slots(endpoint)

    def _choose(self, ticket: Ticket) -> RoutingDecision | None:
        view = self._view(ticket.route.pool)
        excluded = self._exclusions(view) | ticket.avoid
        if view.live.keys() <= excluded | self.pool_views.draining:
            # When every endpoint is excluded, any of them is better than none.
            excluded = frozenset()
        if ticket.exclusive:
            unavailable = excluded | self.pool_views.draining
            usable = [each for name, each in view.live.items() if name not in unavailable]
            return self._reservations.choose(ticket, usable)
        features = ticket.features(excluded)
        return route_request(
            (), self._dependencies.random, features, view.router, trio.current_time()
        )

    def _exclusions(self, view: PoolView) -> frozenset[str]:
        now = trio.current_time()
        since, excluded = self._excluded.get(view.pool, (-math.inf, frozenset()))
        if now - since > EXCLUSION_CACHE_S:
            names = [name for name in view.live if name not in self.pool_views.draining]
            excluded = self._dependencies.breakers.excluded(names, now) if names else frozenset()
            self._excluded[view.pool] = (now, excluded)
        return excluded


def _refuse_busy(lifecycle: Lifecycle, message: str, code: str) -> RequestRefused:
    return refuse(lifecycle, message, code=code, status=429, retry_after_s=RETRY_AFTER_S)
