"""Decide at intervals which requests of the own zone are sent to other zones."""

from __future__ import annotations

from collections import defaultdict

import trio

from shallotmux.control._knowledge import KnowledgeService
from shallotmux.fleet import EngineRole
from shallotmux.overflow import OverflowDecider

#: Interval between two decisions.
DECISION_INTERVAL_S = 1.0


class OverflowTask:
    """Gives the decider of a control instance the figures that it decides from.

    :param knowledge: list of endpoints and planned changes; its polls are recorded by the decider.
    """

    def __init__(self, knowledge: KnowledgeService, decider: OverflowDecider) -> None:
        self._knowledge = knowledge
        self._decider = decider
        knowledge.overflow = decider

    async def run(self) -> None:
        """Decide until cancelled."""
        while True:
            await trio.sleep(DECISION_INTERVAL_S)
            self.decide()

    def decide(self) -> None:
        """Decide once."""
        now = trio.current_time()
        self._decider.decide(
            count_capacities(self._knowledge, now), now - self._knowledge.listed_at, now
        )


def count_capacities(knowledge: KnowledgeService, now: float) -> dict[tuple[str, str], float]:
    """Return the slots by service and zone, of services in more than one zone.

    Endpoints that are leaving, or about to change, and prefill engines do not count, but their zones do.
    """
    listed = knowledge.listing.endpoints if knowledge.listing else ()
    capacities: dict[tuple[str, str], float] = defaultdict(float)
    zones: dict[str, set[str]] = defaultdict(set)
    for each in listed:
        zones[each.service].add(each.zone)
        phase = knowledge.plans.find_phase(each.identity, each.start_number, each.role.value, now)
        is_out = each.is_leaving or each.role is EngineRole.PREFILL or phase is not None
        capacities[each.service, each.zone] += 0 if is_out else max(1, each.slots)
    return {key: slots for key, slots in capacities.items() if len(zones[key[0]]) > 1}
