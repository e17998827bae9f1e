"""Pull-based dispatch, for comparison with push: idle engines fetch requests from instances."""

from __future__ import annotations

from dataclasses import dataclass
from operator import itemgetter

from shallotmux.decisions import RoutingDecision
from shallotmux.measure._entry import NETWORK_DELAY_S, EntryModel, PoolState
from shallotmux.measure._runs import SimulatedEngine
from shallotmux.measure._simulation import Simulation

#: Interval at which engines with spare capacity poll the queues, in seconds.
PULL_INTERVAL_S = 0.02


@dataclass(slots=True)
class PullDispatch:
    """Engines with spare capacity fetch the queued request with the earliest deadline.

    Engines know their own queues exactly, so no load reports are needed. A request goes to whichever
    engine is idle, regardless of where its prefix is cached.
    """

    simulation: Simulation

    def start(self) -> None:
        """Start polling."""
        self.simulation.every(PULL_INTERVAL_S, self.pull_all)

    def pull_all(self) -> None:
        """Let each engine without queued prompts fetch a request, the least loaded first."""
        engines = [
            engine
            for engine in self.simulation.engines.values()
            if engine.removed_at_s < 0
            and engine.model.available
            and not (engine.leaving or engine.role_change_pending)
        ]
        engines.sort(key=lambda engine: (engine.model.queued_tokens, len(engine.model.jobs())))
        for engine in engines:
            if not engine.model.queued_tokens:
                self._pull(engine)

    def _pull(self, engine: SimulatedEngine) -> None:
        now = self.simulation.now()
        heads = []
        for index, (instance, each) in enumerate(self.simulation.pool_states(engine.pool)):
            queued = each.queue.head(now)
            if queued is not None:
                heads.append((queued.due_s, index, instance, each))
        if heads:
            _, _, entry, pool_state = min(heads, key=itemgetter(0, 1))
            self._dispatch_next(engine, entry, pool_state, now)

    def _dispatch_next(
        self, engine: SimulatedEngine, entry: EntryModel, pool_state: PoolState, now: float
    ) -> None:
        queued_request = pool_state.queue.pop(now)
        if queued_request is None:
            return
        features = entry.features(queued_request.item)
        decision = RoutingDecision(engine.endpoint, 'pulled', (), 0, float(features.prompt_tokens))
        self.simulation.schedule(
            NETWORK_DELAY_S,
            lambda: entry.dispatch(pool_state, queued_request.item, features, decision),
        )
