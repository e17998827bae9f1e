"""Open trial connections to endpoints that accepted none, or that fell silent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from random import Random

import trio

from shallotmux.reachability._verdict import Reach, plan_trials

#: Interval at which trials are planned.
PLAN_INTERVAL_S = 0.1

#: Interval between two trials of an endpoint that has fallen silent.
SUSPECT_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class TrialTarget:
    """An endpoint to which a trial connection may be opened.

    :param is_suspect: whether it has not answered a request for long.
    """

    identity: str
    service: str
    reach: Reach
    is_suspect: bool


class TrialConnector:
    """Finds out by trial connections which endpoints this instance reaches.

    A trial sends no request. Its connection is kept for the next one.

    :param targets: returns the endpoints that may be tried.
    :param connect: opens a connection to an endpoint, and records whether that succeeded.
    :param after_plan: called after each round.
    """

    def __init__(
        self,
        targets: Callable[[], Iterable[TrialTarget]],
        connect: Callable[[str], Awaitable[None]],
        after_plan: Callable[[], None],
        random: Random | None = None,
    ) -> None:
        self._targets = targets
        self._connect = connect
        self._after_plan = after_plan
        self._random = random or Random()  # noqa: S311

    async def run(self) -> None:
        """Open trial connections until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for target in self._plan():
                    target.reach.is_on_trial = True
                    nursery.start_soon(self._try, target)
                self._after_plan()
                await trio.sleep(PLAN_INTERVAL_S)

    def _plan(self) -> list[TrialTarget]:
        now = trio.current_time()
        by_service: dict[str, list[TrialTarget]] = {}
        for target in self._targets():
            by_service.setdefault(target.service, []).append(target)
        planned: list[TrialTarget] = []
        for targets in by_service.values():
            by_reach = {id(each.reach): each for each in targets}
            suspects = [each.reach for each in targets if each.is_suspect]
            reaches = [each.reach for each in targets]
            due = plan_trials(reaches, suspects, now, self._random.random)
            planned.extend(by_reach[id(reach)] for reach in due)
        return planned

    async def _try(self, target: TrialTarget) -> None:
        try:
            await self._connect(target.identity)
        finally:
            target.reach.is_on_trial = False
        if target.reach.failing_since is None:
            target.reach.next_trial_at = trio.current_time() + SUSPECT_INTERVAL_S
