"""The parts that the requests of one instance share."""

from __future__ import annotations

import itertools
import secrets
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from shallotmux.authority import Authority, Figures
from shallotmux.decisions import RoutingPolicy
from shallotmux.engines import EngineClient, LoadTable, ServiceClient
from shallotmux.observability import DecisionLog
from shallotmux.requests._admission import Admission
from shallotmux.requests._retries import Breakers, RetryBudget
from shallotmux.requests._settings import RequestSettings
from shallotmux.requests._suspects import Suspects
from shallotmux.usage import UsageCounter


@dataclass(frozen=True, slots=True)
class ExecutorDependencies:
    """Collaborators of the executor.

    :param services: client of plain services, or None when there are none.
    :param clock: wall clock in seconds, which commands carry.
    :param instance: name of this instance.
    :param routing: figures by which endpoints are compared.
    :param usage: counts what customers use; its owner runs it. None counts nothing.
    """

    authority: Authority
    engines: EngineClient
    decisions: DecisionLog
    random: Random
    services: ServiceClient | None = None
    settings: RequestSettings = field(default_factory=RequestSettings)
    clock: Callable[[], float] = time.time
    instance: str = 'instance'
    usage: UsageCounter | None = None
    routing: RoutingPolicy = field(default_factory=RoutingPolicy)


@dataclass(frozen=True, slots=True)
class Parts:
    """What the calls of one instance share."""

    settings: RequestSettings
    engines: EngineClient
    services: ServiceClient | None
    admission: Admission
    suspects: Suspects
    budget: RetryBudget
    breakers: Breakers
    random: Random
    loads: LoadTable
    name: str
    usage: UsageCounter | None = None
    numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def count_usage(self, customer: str, figures: Figures) -> None:
        """Count what a customer has used; requests without a key have no customer."""
        if self.usage is not None and customer:
            self.usage.add(customer, figures)

    def count_tokens(self, customer: str, tokens: int, cheap_tokens: int) -> None:
        """Count tokens of an answer that has been counted as a request before."""
        if self.usage is not None and customer:
            self.usage.add_tokens(customer, tokens, cheap_tokens)

    def new_id(self) -> str:
        """Return an id that no other attempt of any instance has."""
        return f'{self.name}/{next(self.numbers)}'


def draw_incarnation() -> str:
    """Return a name for this run of the process."""
    return secrets.token_hex(6)
