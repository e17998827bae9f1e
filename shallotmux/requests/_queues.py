"""Waiting requests: resumed ones first, then by tier, then fair among customers."""

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
    RequestFeatures,
    TokenCosts,
    Waiting,
    apply_exceptions,
)
from shallotmux.requests._lanes import SYNC_S
from shallotmux.world import Contract, Customer, Endpoint, PolicyException, Route

#: Least weight of a customer, so that a weight of 0 gives the least share instead of an error.
MIN_WEIGHT = 1e-6

#: Seconds of queued prompts on the chosen engine up to which a request is bound to it.
ROOM_S = {Priority.WITHIN_SHARE: 0.6, Priority.OVER_SHARE: 0.05, Priority.OVERDUE: 0.02}

#: Engine seconds by which requests are weighted against each other.
COSTS = TokenCosts()


@dataclass(eq=False, slots=True)
class Ticket:
    """A request that waits for an endpoint.

    :param priority: the caller's tier: -1, 0 or 1; higher ones go first.
    :param started: whether the request has run before, so that it is never refused for load.
    :param exclusive: whether it needs an engine without other requests of this instance.
    :param blocks: chained hashes of the blocks of the prompt.
    :param avoid: endpoints that failed this request.
    :param uncached: prompt tokens that the endpoint is expected to process before the first token.
    :param expected_tokens: tokens of the answer that its cost was estimated with.
    :param output_tokens: tokens that the endpoint has sent.
    :param charged_tokens: tokens of the answer that count against the rate limit so far.
    :param cost_s: engine seconds that its customer was charged so far.
    :param prefill_done: whether its prompt counts as processed.
    :param share: whether the customer is within its share, as of the binding.
    :param deadline_s: time on the runtime's clock at which waiting ends.
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
    uncached: float = 0.0
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
    waiting: Waiting[Ticket] | None = None

    @property
    def flow(self) -> Flow:
        """Return the customer and route, among which the order is fair."""
        return Flow(self.customer, self.route.name)

    def features(self, excluded: frozenset[str] | None = None) -> RequestFeatures:
        """Return what routing needs to know."""
        return RequestFeatures(
            self.blocks,
            self.prompt_tokens,
            repeatable=self.repeatable,
            excluded=excluded or frozenset(),
        )

    @property
    def engine_priority(self) -> int:
        """Return the priority at the engine: by tier, and within a tier by the share."""
        return self.priority * len(Priority) - self.share


class Standing(NamedTuple):
    """What waiting requests are counted by."""

    pool: str
    route: str
    customer: str
    tier: int


@dataclass(slots=True)
class Station:
    """Waiting requests of a pool that the same endpoints may take.

    :param first: requests that have run before or need an engine alone, in order of arrival.
    :param tiers: the others by tier.
    """

    first: list[Ticket] = field(default_factory=list)
    tiers: dict[int, DispatchQueue[Ticket]] = field(default_factory=dict)

    def head(self, now: float) -> Ticket | None:
        """Return the next request that has not run before."""
        for tier in sorted(self.tiers, reverse=True):
            head = self.tiers[tier].head(now)
            if head is not None:
                return head.item
        return None


@dataclass(slots=True)
class WaitingRoom:
    """The waiting requests of an instance."""

    stations: dict[tuple[str, bool], Station] = field(default_factory=dict)
    counts: Counter[Standing] = field(default_factory=Counter)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self.counts.total()

    def add(self, ticket: Ticket, weight: float, due_s: float) -> None:
        """Add a request.

        :param due_s: time after which it waits behind those that can still be in time.
        """
        self.counts[_standing(ticket)] += 1
        station = self._station(ticket)
        if ticket.started or ticket.exclusive:
            station.first.append(ticket)
            return
        waiting = Waiting(ticket, ticket.flow, ticket.cost_s, due_s, weight)
        ticket.waiting = waiting
        station.tiers.setdefault(ticket.priority, DispatchQueue()).push(waiting)

    def take(self, ticket: Ticket, now: float) -> None:
        """Take a request from the front or the head of the queue, charging its customer."""
        station = self._station(ticket)
        if ticket.waiting:
            station.tiers[ticket.priority].pop(now)
            ticket.waiting = None
        else:
            station.first.remove(ticket)
        self._uncount(ticket)

    def discard(self, ticket: Ticket) -> None:
        """Remove a request that gave up, if it still waits."""
        station = self._station(ticket)
        if ticket.waiting:
            station.tiers[ticket.priority].discard(ticket.waiting)
            ticket.waiting = None
        elif ticket in station.first:
            station.first.remove(ticket)
        else:
            return
        self._uncount(ticket)

    def correct(self, ticket: Ticket) -> None:
        """Charge a customer with the difference between the actual and the expected cost."""
        queue = self._station(ticket).tiers.get(ticket.priority)
        if queue is not None:
            cost_s = COSTS.cost(ticket.uncached, ticket.output_tokens)
            queue.charge(ticket.flow, cost_s - ticket.cost_s)

    def count(self, customer: str, route: str | None = None) -> int:
        """Return the waiting requests of a customer, on one route or on all."""
        return sum(
            number
            for standing, number in self.counts.items()
            if standing.customer == customer and route in {None, standing.route}
        )

    def look_ahead(self, ticket: Ticket) -> tuple[int, set[str]]:
        """Return how many requests wait ahead of one, and the customers that wait for its pool."""
        ahead = 0
        customers = set()
        for standing, number in self.counts.items():
            if standing.pool != ticket.route.pool:
                continue
            customers.add(standing.customer)
            same = standing.customer == ticket.customer and standing.tier == ticket.priority
            if same or standing.tier > ticket.priority:
                ahead += number
        return ahead, customers

    def _station(self, ticket: Ticket) -> Station:
        return self.stations.setdefault((ticket.route.pool, ticket.repeatable), Station())

    def _uncount(self, ticket: Ticket) -> None:
        place = _standing(ticket)
        self.counts[place] -= 1
        if not self.counts[place]:
            self.counts.pop(place)


def _standing(ticket: Ticket) -> Standing:
    return Standing(ticket.route.pool, ticket.route.name, ticket.customer, ticket.priority)


@dataclass(slots=True)
class Contracts:
    """Contracts with the operators' exceptions, read again when the zone's state has changed."""

    exceptions: tuple[PolicyException, ...] = ()
    known: dict[str, tuple[Customer | None, Contract]] = field(default_factory=dict)
    revision: int = -1
    read_s: float = 0.0

    def find(self, name: str, state: ZoneState, now: float) -> Contract:
        """Return the contract of a customer, or the default one on routes open to all."""
        stale = now - self.read_s >= SYNC_S or self.revision < 0
        if state.revision != self.revision and stale:
            kept = (each.item for each in state.configuration.objects.values())
            self.exceptions = tuple(each for each in kept if isinstance(each, PolicyException))
            self.known.clear()
            self.revision = state.revision
            self.read_s = now
        customer = state.customer(name)
        known = self.known.get(name)
        if known is not None and known[0] is customer:
            return known[1]
        contract = apply_exceptions((customer or Customer('')).contract, name, self.exceptions)
        self.known[name] = (customer, contract)
        return contract
