"""Pull-based dispatch, measured against push: free engines take from the instances' queues."""

from __future__ import annotations

from dataclasses import dataclass
from operator import itemgetter

from shallotmux.decisions import RoutingDecision
from shallotmux.measure._entry import NETWORK_S, EntryModel, Lane
from shallotmux.measure._runs import EngineSlot
from shallotmux.measure._simulation import Simulation

#: Interval at which engines with room look for work that no event announced, in seconds.
PULL_S = 0.02


@dataclass(slots=True)
class PullDispatch:
    """Engines with room ask the instance whose next request waits longest.

    The engines know their own queue exactly, so no load report is needed; a request goes to
    whichever engine is free, wherever its prefix is cached.
    """

    world: Simulation

    def start(self) -> None:
        """Start asking."""
        self.world.every(PULL_S, self.pull_all)

    def pull_all(self) -> None:
        """Let all engines with room take work, the least loaded first."""
        slots = [
            slot
            for slot in self.world.slots.values()
            if slot.gone_s < 0 and slot.engine.available and not (slot.leaving or slot.changing)
        ]
        slots.sort(key=lambda slot: (slot.engine.queued_tokens, len(slot.engine.jobs())))
        for slot in slots:
            if not slot.engine.queued_tokens:
                self._pull(slot)

    def _pull(self, slot: EngineSlot) -> None:
        now = self.world.now()
        heads = []
        for place, (owner, each) in enumerate(self.world.lanes(slot.pool)):
            waiting = each.queue.head(now)
            if waiting is not None:
                heads.append((waiting.due_s, place, owner, each))
        if heads:
            _, _, entry, lane = min(heads, key=itemgetter(0, 1))
            self._take(slot, entry, lane, now)

    def _take(self, slot: EngineSlot, entry: EntryModel, lane: Lane, now: float) -> None:
        taken = lane.queue.pop(now)
        if taken is None:
            return
        features = entry.features(taken.item)
        decision = RoutingDecision(slot.endpoint, 'pulled', (), 0, float(features.prompt_tokens))
        self.world.schedule(NETWORK_S, lambda: entry.dispatch(lane, taken.item, features, decision))
