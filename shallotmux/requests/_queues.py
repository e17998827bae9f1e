"""Queues of waiting requests.

Resumed requests come first, then tiers in order of priority; within a tier, customers are served by
weighted fair queueing.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

import trio

from shallotmux.authority import ZoneState
from shallotmux.decisions import (
    DispatchQueue,
    Flow,
    Priority,
    QueuedRequest,
    RequestFeatures,
    TokenCosts,
    apply_exceptions,
)
from shallotmux.requests._pool_views import SYNC_S
from shallotmux.world import Contract, Customer, Endpoint, PolicyException, Route

#: Minimum weight of a customer, so that a weight of 0 yields the smallest share, not an error.
MIN_WEIGHT = 1e-6

#: Maximum prefill work queued on an engine, in seconds, at which a request is still bound to it.
MAX_QUEUED_PREFILL_S = {
    Priority.WITHIN_SHARE: 0.6,
    Priority.OVER_SHARE: 0.05,
    Priority.OVERDUE: 0.02,
}

#: Costs of tokens in engine seconds, by which customers are charged.
TOKEN_COSTS = TokenCosts()


@dataclass(eq=False, slots=True)
class Ticket:
    """A request that waits for an endpoint or is bound to one.

    :param deadline_s: time on trio's clock at which waiting ends.
    :param priority: the caller's tier: -1, 0 or 1; higher tiers are served first.
    :param started: whether the request has run before, so that it is never refused for load.
    :param exclusive: whether it needs an engine without other requests of this instance.
    :param blocks: chained hashes of the blocks of the prompt.
    :param uncached_tokens: prompt tokens that the endpoint is expected to process.
    :param expected_tokens: expected length of the answer, used for the cost estimate.
    :param output_tokens: tokens that the endpoint has sent.
    :param charged_tokens: output tokens charged to the rate limit so far.
    :param cost_s: engine seconds charged to the customer so far.
    :param prefill_done: whether the prompt counts as processed.
    :param share: whether the customer was within its share when the request was bound.
    :param avoid: endpoints on which this request has failed.
    """

    subject: str
    customer: str
    route: Route
    deadline_s: float
    priority: int = 0
    started: bool = False
    exclusive: bool = False
    repeatable: bool = True
    prompt_tokens: int = 0
    blocks: tuple[int, ...] = ()
    uncached_tokens: float = 0.0
    expected_tokens: float = 1.0
    output_tokens: int = 0
    charged_tokens: float = 0.0
    cost_s: float = 0.0
    prefill_done: bool = False
    share: Priority = Priority.WITHIN_SHARE
    avoid: frozenset[str] = frozenset()
    endpoint: Endpoint | None = None
    bound: trio.Event = field(default_factory=trio.Event)
    bound_s: float = 0.0
    waiting: QueuedRequest[Ticket] | None = None

    @property
    def flow(self) -> Flow:
        """Return the customer and route, the unit of fair queueing."""
        return Flow(self.customer, self.route.name)

    def features(self, excluded: frozenset[str] | None = None) -> RequestFeatures:
        """Return the properties of the request that routing depends on."""
        return RequestFeatures(
            self.blocks,
            self.prompt_tokens,
            repeatable=self.repeatable,
            excluded=excluded or frozenset(),
        )

    @property
    def engine_priority(self) -> int:
        """Return the engine's scheduling priority: by tier, and within a tier by share."""
        return self.priority * len(Priority) - self.share


class QueueKey(NamedTuple):
    """Attributes by which waiting requests are counted."""

    pool: str
    route: str
    customer: str
    tier: int


@dataclass(slots=True)
class PoolQueue:
    """Waiting requests of a pool that may run on the same endpoints.

    :param expedited: requests that have run before or need an engine alone, in order of arrival.
    :param tiers: queues of all other requests by tier.
    """

    expedited: list[Ticket] = field(default_factory=list)
    tiers: dict[int, DispatchQueue[Ticket]] = field(default_factory=dict)

    def head(self, now: float) -> Ticket | None:
        """Return the next request of the tiers, or None."""
        for tier in sorted(self.tiers, reverse=True):
            head = self.tiers[tier].head(now)
            if head is not None:
                return head.item
        return None


@dataclass(slots=True)
class RequestQueues:
    """Waiting requests of an instance.

    :param pool_queues: queues by pool and by whether their requests are repeatable.
    """

    pool_queues: dict[tuple[str, bool], PoolQueue] = field(default_factory=dict)
    counts: Counter[QueueKey] = field(default_factory=Counter)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self.counts.total()

    def add(self, ticket: Ticket, weight: float, due_s: float) -> None:
        """Add a request.

        :param weight: weight of the customer in fair queueing.
        :param due_s: time after which it waits behind requests that can still be served in time.
        """
        self.counts[_queue_key(ticket)] += 1
        pool_queue = self._pool_queue(ticket)
        if ticket.started or ticket.exclusive:
            pool_queue.expedited.append(ticket)
            return
        waiting = QueuedRequest(ticket, ticket.flow, ticket.cost_s, due_s, weight)
        ticket.waiting = waiting
        pool_queue.tiers.setdefault(ticket.priority, DispatchQueue()).push(waiting)

    def dequeue(self, ticket: Ticket, now: float) -> None:
        """Remove a request that is bound now, and charge its customer.

        The request must be an expedited one or the head of its tier.
        """
        pool_queue = self._pool_queue(ticket)
        if ticket.waiting:
            pool_queue.tiers[ticket.priority].pop(now)
            ticket.waiting = None
        else:
            pool_queue.expedited.remove(ticket)
        self._decrement(ticket)

    def discard(self, ticket: Ticket) -> None:
        """Remove a cancelled request if it still waits."""
        pool_queue = self._pool_queue(ticket)
        if ticket.waiting:
            pool_queue.tiers[ticket.priority].discard(ticket.waiting)
            ticket.waiting = None
        elif ticket in pool_queue.expedited:
            pool_queue.expedited.remove(ticket)
        else:
            return
        self._decrement(ticket)

    def correct(self, ticket: Ticket) -> None:
        """Charge a customer the difference between the actual and the expected cost."""
        queue = self._pool_queue(ticket).tiers.get(ticket.priority)
        if queue is not None:
            cost_s = TOKEN_COSTS.cost(ticket.uncached_tokens, ticket.output_tokens)
            queue.charge(ticket.flow, cost_s - ticket.cost_s)

    def count(self, customer: str, route: str | None = None) -> int:
        """Return the number of waiting requests of a customer, on one route or on all."""
        return sum(
            number
            for key, number in self.counts.items()
            if key.customer == customer and route in {None, key.route}
        )

    def count_ahead(self, ticket: Ticket) -> tuple[int, set[str]]:
        """Return the number of requests ahead of one, and the customers that wait for its pool.

        Requests of higher tiers, and those of the same customer and tier, count as ahead.
        """
        ahead = 0
        customers = set()
        for key, number in self.counts.items():
            if key.pool != ticket.route.pool:
                continue
            customers.add(key.customer)
            same = key.customer == ticket.customer and key.tier == ticket.priority
            if same or key.tier > ticket.priority:
                ahead += number
        return ahead, customers

    def _pool_queue(self, ticket: Ticket) -> PoolQueue:
        return self.pool_queues.setdefault((ticket.route.pool, ticket.repeatable), PoolQueue())

    def _decrement(self, ticket: Ticket) -> None:
        key = _queue_key(ticket)
        self.counts[key] -= 1
        if not self.counts[key]:
            self.counts.pop(key)


def _queue_key(ticket: Ticket) -> QueueKey:
    return QueueKey(ticket.route.pool, ticket.route.name, ticket.customer, ticket.priority)


@dataclass(slots=True)
class ContractCache:
    """Cache of contracts with operators' exceptions applied.

    It is invalidated when the zone's state has changed, at most every ``SYNC_S`` seconds.
    """

    exceptions: tuple[PolicyException, ...] = ()
    cached: dict[str, tuple[Customer | None, Contract]] = field(default_factory=dict)
    revision: int = -1
    read_s: float = 0.0

    def find(self, name: str, state: ZoneState, now: float) -> Contract:
        """Return the contract of a customer, or the default contract if there is no customer."""
        stale = now - self.read_s >= SYNC_S or self.revision < 0
        if state.revision != self.revision and stale:
            objects = (each.item for each in state.configuration.objects.values())
            self.exceptions = tuple(each for each in objects if isinstance(each, PolicyException))
            self.cached.clear()
            self.revision = state.revision
            self.read_s = now
        customer = state.customer(name)
        entry = self.cached.get(name)
        if entry is not None and entry[0] is customer:
            return entry[1]
        contract = apply_exceptions((customer or Customer('')).contract, name, self.exceptions)
        self.cached[name] = (customer, contract)
        return contract
