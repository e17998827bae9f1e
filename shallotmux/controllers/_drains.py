"""Take endpoints out of service on each instance before they leave or change."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio
from eliot import log_message

from shallotmux.authority import Authority, ZoneState
from shallotmux.engines import EngineClient
from shallotmux.errors import EndpointError
from shallotmux.world import Endpoint, EndpointKind

#: Interval at which the zone's state is looked at.
WATCH_S = 0.1

#: Seconds after which streams on an engine with an open order are moved to another one.
MOVE_AFTER_S = 15.0

#: Least time before an order is sent: instances that have lost contact stop using the engine
#: within the freshness limit.
LEAST_DRAIN_S = 3.0

#: Interval between two looks at the load of an engine that drains.
IDLE_CHECK_S = 0.25

#: Consecutive load reports without a stream that count as idle, since reports lag.
IDLE_REPORTS = 3


class EndpointDrainer(Protocol):
    """The part of the request executor that drains need."""

    async def drain(self, endpoint: str, deadline_s: float) -> object:
        """Stop new work for an endpoint and move its streams before the deadline."""

    def readmit(self, endpoint: str) -> None:
        """Let a drained endpoint take work again."""


class DrainWatcher:
    """Drains endpoints that leave, are released or have an open order, and readmits them.

    :param wall_clock: returns the wall-clock time in seconds, which reclaim notices use.
    """

    def __init__(
        self, authority: Authority, executor: EndpointDrainer, wall_clock: Callable[[], float]
    ) -> None:
        self._authority = authority
        self._executor = executor
        self._wall_clock = wall_clock
        self._draining: set[str] = set()

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                state = self._authority.read()
                wanted = find_draining(state)
                for name in wanted - self._draining:
                    nursery.start_soon(self._executor.drain, name, self._deadline(state, name))
                for name in self._draining - wanted:
                    self._executor.readmit(name)
                self._draining = wanted
                await trio.sleep(WATCH_S)

    def _deadline(self, state: ZoneState, name: str) -> float:
        listed = state.inventory.listed.get(name)
        if listed is not None and listed.leaving and listed.deadline_s:
            return trio.current_time() + max(0.0, listed.deadline_s - self._wall_clock())
        return trio.current_time() + MOVE_AFTER_S


def find_draining(state: ZoneState) -> set[str]:
    """Return the endpoints that must not get new work."""
    leaving = {name for name, each in state.inventory.listed.items() if each.leaving}
    targets = {intent.target for intent in state.intents.open_intents()}
    changing = {name for name in targets if state.find_endpoint(name) is not None}
    return leaving | state.intents.releasing() | changing


async def wait_idle(engines: EngineClient, endpoint: Endpoint) -> bool:
    """Wait until an engine has had no stream for a while, and return whether that is known.

    The order is not sent before, however long that takes: an order that cuts a stream would break
    the promise that planned changes interrupt no request.
    """
    await trio.sleep(LEAST_DRAIN_S)
    idle = 0
    while endpoint.kind == EndpointKind.ENGINE and idle < IDLE_REPORTS:
        try:
            report = await engines.load(endpoint)
        except EndpointError as error:
            log_message(
                message_type='shallotmux:drain:report_missing',
                level='warning',
                endpoint=endpoint.name,
                detail=str(error),
            )
            return False
        idle = 0 if report.running else idle + 1
        await trio.sleep(IDLE_CHECK_S)
    return True
