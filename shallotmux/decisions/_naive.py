"""Baseline policies against which the decisions are measured."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Generic, TypeVar

from shallotmux.decisions._dispatch import QueuedRequest
from shallotmux.decisions._estimates import LoadReport
from shallotmux.decisions._fairness import Flow
from shallotmux.decisions._fleet import FleetDecision, FleetPolicy, FleetSnapshot
from shallotmux.decisions._roles import RoleControllerState, RoleDecision, RolePolicy, RoleSnapshot
from shallotmux.decisions._routing import RequestFeatures, RoutingDecision
from shallotmux.world import Endpoint, EngineRole

ItemT = TypeVar('ItemT')


@dataclass(slots=True)
class RoundRobinRouter:
    """Round-robin router that ignores load, price and cached prefixes."""

    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    excluded: set[str] = field(default_factory=set)
    turn: int = 0

    def add(self, endpoint: Endpoint, role: EngineRole = EngineRole.MIXED) -> None:
        """Add an endpoint."""
        self.endpoints[endpoint.name] = endpoint

    def remove(self, name: str) -> None:
        """Remove an endpoint."""
        self.endpoints.pop(name, None)

    def exclude(self, name: str) -> None:
        """Stop routing requests to an endpoint."""
        self.excluded.add(name)

    def include(self, name: str) -> None:
        """Route requests to an endpoint again."""
        self.excluded.discard(name)

    def record_failure(self, name: str, now: float) -> None:
        """Ignore a failure; only the list of live endpoints counts."""

    def report(self, name: str, report: LoadReport) -> None:
        """Ignore a load report."""

    def record_dispatch(
        self, name: str, features: RequestFeatures, tokens: float, now: float
    ) -> None:
        """Ignore a dispatch."""

    def record_first_token(self, name: str, tokens: float, now: float) -> None:
        """Ignore a first token."""

    def record_end(self, name: str, now: float) -> None:
        """Ignore the end of a request."""

    def choose(
        self, features: RequestFeatures, random: Random, now: float
    ) -> RoutingDecision | None:
        """Return the next live endpoint."""
        live = [each for name, each in self.endpoints.items() if name not in self.excluded]
        if not live:
            return None
        self.turn += 1
        endpoint = live[self.turn % len(live)]
        return RoutingDecision(endpoint, 'next in turn', (), uncached_tokens=features.prompt_tokens)


@dataclass(slots=True)
class FirstComeQueue(Generic[ItemT]):
    """First-in, first-out queue."""

    waiting: deque[QueuedRequest[ItemT]] = field(default_factory=deque)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.waiting)

    def push(self, waiting: QueuedRequest[ItemT]) -> None:
        """Add a request."""
        self.waiting.append(waiting)

    def head(self, now: float) -> QueuedRequest[ItemT] | None:
        """Return the oldest request without removing it."""
        return self.waiting[0] if self.waiting else None

    def pop(self, now: float) -> QueuedRequest[ItemT] | None:
        """Remove and return the oldest request."""
        return self.waiting.popleft() if self.waiting else None

    def charge(self, flow: Flow, correction: float) -> None:
        """Ignore a cost correction."""


def keep_roles(
    snapshot: RoleSnapshot, controller_state: RoleControllerState, policy: RolePolicy | None = None
) -> RoleDecision:
    """Never change a role."""
    return RoleDecision(None, 'fixed roles', controller_state)


def keep_fleet(snapshot: FleetSnapshot, policy: FleetPolicy | None = None) -> FleetDecision:
    """Never order or release an endpoint."""
    return FleetDecision((), '', 'fixed fleet', ())
