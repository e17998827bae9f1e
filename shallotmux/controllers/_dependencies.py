"""Dependencies shared by the controllers."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from shallotmux.authority import Authority, IntentOpened, OrderContent
from shallotmux.engines import LoadTable
from shallotmux.observability import DecisionLog, DecisionRecord
from shallotmux.orders import OrderDispatcher, Term
from shallotmux.world import Endpoint, EndpointKind, EndpointPool


@dataclass(frozen=True, slots=True)
class ControllerDependencies:
    """Dependencies of the controllers.

    :param loads: load reports that this instance has polled from the engines.
    """

    authority: Authority
    dispatcher: OrderDispatcher
    loads: LoadTable
    decisions: DecisionLog
    zone: str

    def engine_pools(self) -> list[tuple[EndpointPool, list[Endpoint]]]:
        """Return each pool that has engines with all of them, available or not."""
        pools = self.authority.read().pools()
        return [(pool, engines) for pool in pools if (engines := self._engines(pool))]

    def record(
        self, kind: str, subject: str, outcome: str, reason: str, figures: dict[str, float]
    ) -> None:
        """Record a decision in the decision log."""
        self.decisions.record(
            DecisionRecord(kind, subject, outcome, reason, figures, trio.current_time())
        )

    async def commit_order(
        self, term: Term, target: str, content: OrderContent, *, checks_fencing: bool
    ) -> bool:
        """Commit an order and return whether it was opened."""
        result = await self.dispatcher.commit_order(
            term, target, content, checks_fencing=checks_fencing
        )
        return isinstance(result, IntentOpened)

    def _engines(self, pool: EndpointPool) -> list[Endpoint]:
        ordered = self.authority.read().inventory.of_pool(pool.name)
        return [each for each in (*pool.endpoints, *ordered) if each.kind == EndpointKind.ENGINE]
