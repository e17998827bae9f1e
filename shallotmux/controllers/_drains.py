"""Drain endpoints on each instance before they leave or change their role."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio
from eliot import log_message

from shallotmux.authority import Authority, ZoneState
from shallotmux.engines import EngineClient
from shallotmux.errors import EndpointError
from shallotmux.repeats import RepeatLog
from shallotmux.world import Endpoint, EndpointKind

#: Interval at which the zone's state is polled, in seconds.
POLL_INTERVAL_S = 0.1

#: Time in seconds after which streams on an engine with an open order move to another engine.
STREAM_MOVE_DELAY_S = 15.0

#: Minimum time in seconds before an order is sent: instances that lost contact to the group stop
#: using the engine within the freshness limit.
MIN_DRAIN_S = 3.0

#: Interval at which the load of a draining engine is polled, in seconds.
LOAD_POLL_INTERVAL_S = 0.25

#: Consecutive load reports without streams that an engine must send, since reports lag.
IDLE_REPORTS = 3


class EndpointDrainer(Protocol):
    """Part of the request executor that draining needs."""

    async def drain(self, endpoint: str, deadline_s: float) -> object:
        """Stop routing to an endpoint and move its streams before the deadline."""

    def readmit(self, endpoint: str) -> None:
        """Route requests to a drained endpoint again."""


class DrainWatcher:
    """Drains endpoints that leave, are released or have an open order; readmits them afterwards.

    :param wall_clock: returns the wall-clock time in seconds, in which reclaim notices are given.
    """

    def __init__(
        self, authority: Authority, executor: EndpointDrainer, wall_clock: Callable[[], float]
    ) -> None:
        self._authority = authority
        self._executor = executor
        self._wall_clock = wall_clock
        self._draining: set[str] = set()

    async def run(self) -> None:
        """Poll the zone's state until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                state = self._authority.read()
                to_drain = find_draining(state)
                for name in to_drain - self._draining:
                    nursery.start_soon(self._executor.drain, name, self._deadline(state, name))
                for name in self._draining - to_drain:
                    self._executor.readmit(name)
                self._draining = to_drain
                await trio.sleep(POLL_INTERVAL_S)

    def _deadline(self, state: ZoneState, name: str) -> float:
        listed = state.inventory.listed.get(name)
        if listed is not None and listed.leaving and listed.deadline_s:
            return trio.current_time() + max(0.0, listed.deadline_s - self._wall_clock())
        return trio.current_time() + STREAM_MOVE_DELAY_S


def find_draining(state: ZoneState) -> set[str]:
    """Return the names of the endpoints that must not get new requests."""
    leaving = {name for name, each in state.inventory.listed.items() if each.leaving}
    targets = {intent.target for intent in state.intents.open_intents()}
    changing = {name for name in targets if state.find_endpoint(name) is not None}
    return leaving | state.intents.releasing() | changing


async def wait_idle(engines: EngineClient, endpoint: Endpoint) -> bool:
    """Wait until consecutive load reports show an engine without streams.

    There is no time limit: an order that interrupts a stream would break the guarantee that
    planned changes interrupt no request.

    :returns: False if a load report is missing, so that the engine may still run streams.
    """
    await trio.sleep(MIN_DRAIN_S)
    waits = RepeatLog('shallotmux:drain:streams_running')
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
        if report.running:
            waits.record(
                'streams are running',
                level='warning',
                endpoint=endpoint.name,
                running=report.running,
            )
        idle = 0 if report.running else idle + 1
        await trio.sleep(LOAD_POLL_INTERVAL_S)
    return True
