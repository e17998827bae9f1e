"""A leader that balances the roles of listed engines, with a platform that records its orders."""

from __future__ import annotations

from collections.abc import Sequence
from types import SimpleNamespace

import trio

from shallotmux.authority import GroupState
from shallotmux.control import KnowledgeService
from shallotmux.control._duties import LeaderDependencies
from shallotmux.control._platform import DutyHolder, DutyOutcome
from shallotmux.control._role_balancer import RoleBalancer
from shallotmux.fleet import EngineRole, ListedEndpoint, Listing, TrueClock
from shallotmux.plannedchanges import Plan, PlanBook, PlanState
from shallotmux.routes import CallerLimits, EngineProfile, RouteDocument, Service

SERVICE = Service('llm', '/healthz', 8, EngineProfile(64, 400_000, 1000, 1e6, 5, 3))


class PlanningLeader:
    """A control instance whose term and platform are scripted.

    :param engines: listed engines.
    :param outcome: outcome of each order.
    """

    def __init__(
        self,
        engines: Sequence[ListedEndpoint],
        outcome: DutyOutcome = DutyOutcome.ACCEPTED,
    ) -> None:
        self.token: int | None = 1
        self.outcome = outcome
        #: Time, identity and token of each order.
        self.orders: list[tuple[float, str, int]] = []
        #: Time, identity and state of each step of a plan.
        self.steps: list[tuple[float, str, PlanState]] = []
        #: Largest number of live plans that was seen.
        self.most_live = 0
        self.knowledge = KnowledgeService(GroupState(), TrueClock(), lambda: ('10.0.0.1:7',))
        self.list_engines(engines)
        self.book = PlanBook()
        self.book.on_step.append(self._record_step)
        term = SimpleNamespace(holder=self._holder, record_outcome=lambda *_: None)
        table = SimpleNamespace(document=RouteDocument(1, (), (SERVICE,), CallerLimits(), ()))
        platform = SimpleNamespace(change_role=self._change_role)
        self.balancer = RoleBalancer(
            LeaderDependencies(self.knowledge, platform, term, lambda: table),  # type: ignore[arg-type]
            self.book,
        )

    def list_engines(self, engines: Sequence[ListedEndpoint]) -> None:
        """Replace the platform's list."""
        self.engines = tuple(engines)
        self.knowledge.update_listing(Listing(self.engines), trio.current_time())

    def states(self, identity: str) -> list[PlanState]:
        """Return the states that plans of an engine entered."""
        return [state for _, each, state in self.steps if each == identity]

    def _holder(self) -> DutyHolder | None:
        guard = SimpleNamespace(check=lambda: None)
        return None if self.token is None else DutyHolder('instance', self.token, guard)

    async def _change_role(
        self, endpoint: ListedEndpoint, role: EngineRole, holder: DutyHolder
    ) -> DutyOutcome:
        self.orders.append((trio.current_time(), endpoint.identity, holder.token))
        return self.outcome

    def _record_step(self, plan: Plan, reason: str) -> None:
        self.most_live = max(self.most_live, len(self.book.live('llm')))
        self.steps.append((trio.current_time(), plan.identity, plan.state))
