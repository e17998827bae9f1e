"""Build the tasks with which an instance takes part in the control of its zone."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from shallotmux.authority import Authority
from shallotmux.calls import GuardedSender
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
    LeadershipOptions,
    OrderDependencies,
    OrderDispatcher,
    OrderSender,
)
from shallotmux.provisioning import PlatformListClient, PlatformPoller
from shallotmux.requests import RequestExecutor
from shallotmux.settings import Settings
from shallotmux.usage import ReporterDependencies, UsageReporter
from shallotmux.world import Endpoint

#: Time limit for the response to an order or a report.
RESPONSE_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class ControlDependencies:
    """Collaborators of the control tasks.

    :param sender: name and incarnation of this instance.
    :param orders: sends orders and reports; None to use a new :class:`GuardedSender`.
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
    """Presence checks of an instance without a platform: nothing ever counts as gone."""

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
            nursery.start_soon(self._run_leader)

    def stop_leading(self) -> None:
        """Stop sending orders and reports, before leadership is transferred."""
        self._scope.cancel()

    async def _run_leader(self) -> None:
        with self._scope:
            await self.leader.run()


def build_control(dependencies: ControlDependencies) -> ControlTasks:
    """Return the control tasks that the settings describe."""
    settings = dependencies.settings
    options = LeadershipOptions(lease_s=settings.groups.lease_s)
    orders = dependencies.orders or GuardedSender(options.user_timeout_s, RESPONSE_TIMEOUT_S)
    address = settings.platform.address
    zone = settings.instance.zone
    poller: PlatformPoller | None = None
    reporter: UsageReporter | None = None
    if address:
        poller = PlatformPoller(
            PlatformListClient(dependencies.client, address), zone, dependencies.wall_clock
        )
        reporter = UsageReporter(
            ReporterDependencies(
                dependencies.authority, orders, address, zone, dependencies.wall_clock
            )
        )
    engines = EngineClient(dependencies.client)

    async def drain(endpoint: Endpoint) -> bool:
        return await wait_idle(engines, endpoint)

    dispatcher = OrderDispatcher(
        OrderDependencies(
            dependencies.authority, orders, drain, poller or NoPlatform(), address, options
        )
    )
    controllers = ControllerDependencies(
        dependencies.authority,
        dispatcher,
        dependencies.executor.loads,
        dependencies.decisions,
        zone,
    )
    leader = ZoneLeader(
        controllers,
        dependencies.sender,
        options,
        RoleController(controllers),
        poller,
        reporter,
        _build_fleet(settings, controllers),
    )
    return ControlTasks(
        leader, DrainWatcher(dependencies.authority, dependencies.executor, dependencies.wall_clock)
    )


def _build_fleet(
    settings: Settings, dependencies: ControllerDependencies
) -> FleetController | None:
    if not settings.platform.address or not settings.platform.endpoint_limit:
        return None
    return FleetController(dependencies, settings.platform.endpoint_limit)
