"""Assemble the parts of one instance."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

import trio

from shallotmux.authority import Authority, PoolDemand
from shallotmux.callers import CallerApp, CallerDependencies
from shallotmux.daemon._control import ControlDependencies, build_control
from shallotmux.daemon._groups import InstanceGroups, choose_authority
from shallotmux.daemon._listeners import Addresses, Applications, Listeners
from shallotmux.daemon._status import GroupStatus, ZoneUsage
from shallotmux.engines import EngineClient, ServiceClient
from shallotmux.http import HttpClient, RelayClient
from shallotmux.observability import (
    DecisionLog,
    MeteredApp,
    Metrics,
    MonitoringApp,
    Readiness,
)
from shallotmux.operators import (
    LocalStatus,
    OperatorApp,
    OperatorDependencies,
    Providers,
    ZoneQuarantine,
)
from shallotmux.orders import OrderSender
from shallotmux.requests import ExecutorDependencies, RequestExecutor, draw_incarnation
from shallotmux.settings import Settings
from shallotmux.usage import UsageCounter


class DaemonInstance:
    """One entry instance: its applications, listeners and background tasks."""

    def __init__(
        self,
        settings: Settings,
        client: HttpClient | None = None,
        authority: Authority | None = None,
        providers: Providers | None = None,
        groups: InstanceGroups | None = None,
        orders: OrderSender | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        pepper = settings.secrets.pepper.encode()
        self._settings = settings
        self._shutdown = trio.Event()
        self._relay = RelayClient()
        self.groups = groups
        #: Address for peers; empty on a standalone instance.
        self.peer_address = ''
        self.authority: Authority = authority or choose_authority(settings, groups)
        self.metrics = Metrics()
        self.decisions = DecisionLog(
            settings.instance.name, settings.limits.decision_records, self.metrics
        )
        http = client or self._relay
        source = f'{settings.instance.name}/{draw_incarnation()}'
        self.usage = UsageCounter(source, wall_clock, self._read_demand)
        self.executor = RequestExecutor(
            ExecutorDependencies(
                authority=self.authority,
                engines=EngineClient(http),
                services=ServiceClient(http),
                decisions=self.decisions,
                random=Random(settings.instance.name),  # noqa: S311
                instance=settings.instance.name,
                clock=wall_clock,
                usage=self.usage,
            ),
        )
        self.readiness = Readiness({'no contact to the leader': self.authority.is_fresh})
        self.caller_app = MeteredApp(
            CallerApp(CallerDependencies(self.authority, self.executor, pepper)), self.metrics
        )
        self.control = build_control(
            ControlDependencies(
                settings,
                self.authority,
                self.executor,
                http,
                self.decisions,
                groups.identity if groups else self.executor.name,
                orders,
                wall_clock,
            ),
        )
        self.providers = providers or self._build_providers()
        self.operator_app = OperatorApp(
            OperatorDependencies(
                self.authority,
                pepper,
                settings.secrets.operator_token,
                self.providers,
                self.decisions,
                settings.operators.body_bytes,
            )
        )
        self._listeners = Listeners(
            settings,
            Applications(
                self.caller_app, self.operator_app, MonitoringApp(self.metrics, self.readiness)
            ),
        )

    async def run(
        self, *, task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`shut_down`, then finish open requests and transfer leadership."""
        async with trio.open_nursery() as background:
            if self.groups is not None:
                self.peer_address = await background.start(self.groups.run)
            await self._serve(task_status)
            await self.usage.flush(self.authority)
            self.control.stop_leading()
            if self.groups is not None:
                await self.groups.leave()
            background.cancel_scope.cancel()

    def shut_down(self) -> None:
        """Fail readiness, then stop accepting requests, so that :meth:`run` returns."""
        self.readiness.fail('shutting down')
        self._shutdown.set()

    def reload_certificates(self) -> None:
        """Use the present certificate files for new connections."""
        self._listeners.reload_certificates()

    def _build_providers(self) -> Providers:
        instance = self._settings.instance
        local = LocalStatus(self.authority, instance.name, instance.zone)
        return Providers(
            GroupStatus(self.groups, local) if self.groups else local,
            ZoneUsage(self.authority, instance.zone),
            ZoneQuarantine(self.authority),
        )

    def _read_demand(self) -> tuple[PoolDemand, ...]:
        """Return the demand for each pool, which is sent with the usage batches."""
        return tuple(
            PoolDemand(
                pool,
                each.short.prefill_tokens_per_s,
                each.short.decode_tokens_per_s,
                each.long.prefill_tokens_per_s,
                each.long.decode_tokens_per_s,
            )
            for pool, each in sorted(self.executor.demand().pools.items())
            if each.long.prefill_tokens_per_s or each.long.decode_tokens_per_s
        )

    async def _serve(self, task_status: trio.TaskStatus[Addresses]) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._drain)
            nursery.start_soon(self._relay.run)
            nursery.start_soon(self.executor.run)
            nursery.start_soon(self.control.run)
            nursery.start_soon(self.usage.run, self.authority)
            await self._listeners.serve(task_status=task_status)
            nursery.cancel_scope.cancel()
        await self._relay.close()

    async def _drain(self) -> None:
        await self._shutdown.wait()
        await trio.sleep(self._settings.timeouts.ready_grace_s)
        self._listeners.stop()
