"""Build the tasks by which an instance takes part in the control of its zone."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from shallotmux.authority import Authority
from shallotmux.controllers import (
    ControllerDependencies,
    DrainWatcher,
    FleetController,
    RoleController,
    ZoneLeader,
    wait_idle,
)
from shallotmux.engines import EngineClient
from shallotmux.http import HttpClient
from shallotmux.observability import DecisionLog
from shallotmux.orders import (
    GuardedSender,
    LeadershipOptions,
    OrderDependencies,
    OrderDispatcher,
    OrderSender,
)
from shallotmux.provisioning import PlatformClient, PlatformPoller
from shallotmux.requests import RequestExecutor
from shallotmux.settings import Settings
from shallotmux.usage import ReporterDependencies, UsageReporter
from shallotmux.world import Endpoint

#: Time that an order or a report may take to be answered.
ANSWER_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class ControlTools:
    """Collaborators of the control tasks.

    :param sender: name and incarnation of this instance.
    :param orders: sends orders and reports; None for guarded connections of their own.
    :param wall_clock: returns the wall-clock time in seconds.
    """

    settings: Settings
    authority: Authority
    executor: RequestExecutor
    client: HttpClient
    decisions: DecisionLog
    sender: str
    orders: OrderSender | None = None
    wall_clock: Callable[[], float] = time.time


@dataclass(frozen=True, slots=True)
class NoPlatform:
    """Lists of an instance without a platform, on which nothing is gone."""

    def is_instance_gone(self, sender: str) -> bool:
        """Return False, since there is no evidence."""
        return False

    def is_endpoint_gone(self, name: str) -> bool:
        """Return False, since there is no evidence."""
        return False


@dataclass(slots=True)
class ControlTasks:
    """The control tasks of one instance."""

    leader: ZoneLeader
    drains: DrainWatcher
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.drains.run)
            nursery.start_soon(self._lead)

    def stop_leading(self) -> None:
        """Stop sending orders and reports, before leadership is handed over."""
        self._scope.cancel()

    async def _lead(self) -> None:
        with self._scope:
            await self.leader.run()


def build_control(tools: ControlTools) -> ControlTasks:
    """Return the control tasks that the settings describe."""
    settings = tools.settings
    options = LeadershipOptions(lease_s=settings.groups.lease_s)
    orders = tools.orders or GuardedSender(options.user_timeout_s, ANSWER_TIMEOUT_S)
    address = settings.platform.address
    zone = settings.instance.zone
    poller: PlatformPoller | None = None
    reporter: UsageReporter | None = None
    if address:
        poller = PlatformPoller(PlatformClient(tools.client, address), zone, tools.wall_clock)
        reporter = UsageReporter(
            ReporterDependencies(tools.authority, orders, address, zone, tools.wall_clock)
        )
    engines = EngineClient(tools.client)

    async def drain(endpoint: Endpoint) -> bool:
        return await wait_idle(engines, endpoint)

    dispatcher = OrderDispatcher(
        OrderDependencies(tools.authority, orders, drain, poller or NoPlatform(), address, options)
    )
    controllers = ControllerDependencies(
        tools.authority, dispatcher, tools.executor.loads, tools.decisions, zone
    )
    leader = ZoneLeader(
        controllers,
        tools.sender,
        options,
        RoleController(controllers),
        poller,
        reporter,
        _build_fleet(settings, controllers),
    )
    return ControlTasks(leader, DrainWatcher(tools.authority, tools.executor, tools.wall_clock))


def _build_fleet(settings: Settings, tools: ControllerDependencies) -> FleetController | None:
    if not settings.platform.address or not settings.platform.endpoint_limit:
        return None
    return FleetController(tools, settings.platform.endpoint_limit)
