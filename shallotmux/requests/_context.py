"""Objects shared by all requests of one instance."""

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
from shallotmux.requests._crashes import CrashTracker
from shallotmux.requests._retries import Breakers, RetryBudget
from shallotmux.requests._settings import RequestSettings
from shallotmux.usage import UsageCounter


@dataclass(frozen=True, slots=True)
class ExecutorDependencies:
    """Dependencies of :class:`RequestExecutor`.

    :param services: client of plain services, or None when there are none.
    :param clock: wall clock in seconds, for the timestamps in commands.
    :param instance: name of this instance.
    :param routing: parameters by which endpoints are compared.
    :param usage: counts the usage of customers, and is run by its owner. None disables counting.
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
class CallContext:
    """Objects shared by all calls of one instance.

    :param name: name and incarnation of this instance.
    """

    settings: RequestSettings
    engines: EngineClient
    services: ServiceClient | None
    admission: Admission
    crash_tracker: CrashTracker
    budget: RetryBudget
    breakers: Breakers
    random: Random
    loads: LoadTable
    name: str
    usage: UsageCounter | None = None
    attempt_numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))

    def count_usage(self, customer: str, figures: Figures) -> None:
        """Count the usage of a customer; requests without a key have no customer."""
        if self.usage is not None and customer:
            self.usage.add(customer, figures)

    def count_tokens(self, customer: str, tokens: int, cheap_tokens: int) -> None:
        """Count tokens of an answer whose request has been counted already."""
        if self.usage is not None and customer:
            self.usage.add_tokens(customer, tokens, cheap_tokens)

    def new_id(self) -> str:
        """Return an attempt id that is unique across all instances."""
        return f'{self.name}/{next(self.attempt_numbers)}'


def draw_incarnation() -> str:
    """Return a random id for this run of the process."""
    return secrets.token_hex(6)
