"""A deployment of control and entry programs on loopback addresses, in one process."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from shallotmux.control import DutyHolder, DutyOutcome, FleetOrder, UsageReport
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import EngineRole, ListedEndpoint, Listing
from shallotmux.forwarding import Dialect
from shallotmux.programs import (
    ControlAdapter,
    ControlProgram,
    EntryAdapter,
    EntryProgram,
    ListenAddresses,
    ProgramLifecycle,
    ProgramRole,
    ProgramSettings,
    ProgramTimes,
)
from shallotmux.routes import (
    CustomerQuota,
    DocumentCustomer,
    ForwardedRoute,
    RouteDocument,
    RouteKind,
    Service,
    ServiceShare,
)

#: Interval at which an instance reads the list of endpoints.
LISTING_INTERVAL_S = 0.2

PUT_PATH = '/document'

#: Port for peers; each instance uses a different loopback address.
PEER_PORT = 17_780
CALLER_PORT = 17_781
OPERATOR_PORT = 17_782
READINESS_PORT = 17_783
RELAY_PORT = 17_784


def decode(content: bytes) -> RouteDocument:
    """Decode a test document: a version, and routes that all lead to one service.

    ``quota`` sets the requests per second and the burst of the customer. Routes under ``/stream`` are streams that can be resumed, and those under ``/once`` must not run
    twice.
    """
    parsed = json.loads(content)
    routes = tuple(
        ForwardedRoute(
            prefix,
            'shop.example',
            prefix,
            _find_kind(prefix),
            (ServiceShare('desk', 1),),
            2000,
            200,
            max_attempts=2,
            is_resumable=prefix.startswith('/stream'),
        )
        for prefix in parsed['routes']
    )
    quota = CustomerQuota(*parsed['quota']) if 'quota' in parsed else None
    return RouteDocument(
        parsed['version'],
        routes,
        (Service('desk', '/healthz', 8),),
        customers=(DocumentCustomer('tailors', ('k1',), quota=quota),),
    )


def _find_kind(prefix: str) -> RouteKind:
    if prefix.startswith('/stream'):
        return RouteKind.STREAMING
    return RouteKind.UNSAFE if prefix.startswith('/once') else RouteKind.SAFE


@dataclass(slots=True)
class FakePlatform:
    """Lists endpoints, records usage reports and refuses orders.

    :param address: address of the only endpoint, unless there is a list.
    :param failure: error that reading the list raises.
    """

    address: str
    listing: Listing | None = None
    reports: dict[int, dict[str, int]] = field(default_factory=dict)
    holders: list[DutyHolder] = field(default_factory=list)
    is_down: bool = False
    failure: Exception | None = None
    failed_calls: int = 0
    list_calls: int = 0

    async def list_endpoints(self) -> Listing:
        """Return the list."""
        self.list_calls += 1
        if self.is_down:
            raise ShallotmuxError('down', step='list')
        if self.failure is not None:
            self.failed_calls += 1
            raise self.failure
        return self.listing or Listing((ListedEndpoint('e-1', 'desk', self.address, 'a', 4),))

    async def report_usage(self, report: UsageReport, holder: DutyHolder) -> DutyOutcome:
        """Record a report."""
        self.reports[report.window] = dict(report.counts)
        self.holders.append(holder)
        return DutyOutcome.ACCEPTED

    async def order_endpoints(self, order: FleetOrder, holder: DutyHolder) -> DutyOutcome:
        """Refuse orders."""
        return DutyOutcome.UNAVAILABLE

    async def change_role(
        self, endpoint: ListedEndpoint, role: EngineRole, holder: DutyHolder
    ) -> DutyOutcome:
        """Refuse orders."""
        return DutyOutcome.UNAVAILABLE


@dataclass(slots=True)
class Fleet:
    """Addresses of a running deployment.

    :param base: first three numbers of the loopback addresses.
    """

    base: str
    folder: Path
    platform: FakePlatform
    controls: dict[int, ControlProgram] = field(default_factory=dict)
    entries: dict[int, EntryProgram] = field(default_factory=dict)
    scopes: dict[int, trio.CancelScope] = field(default_factory=dict)

    def settings(self, number: int, role: ProgramRole, *, bootstrap: bool) -> ProgramSettings:
        """Return the settings of one instance."""
        host = f'{self.base}.{number}'
        return ProgramSettings(
            role,
            f'{role.value}-{number}',
            'a',
            ListenAddresses(
                f'{host}:{PEER_PORT}',
                f'{host}:{CALLER_PORT}',
                f'{host}:{READINESS_PORT}',
                f'{host}:{OPERATOR_PORT}',
                relayed=f'{host}:{RELAY_PORT}',
            ),
            tuple(f'{self.base}.{seed}:{PEER_PORT}' for seed in (1, 2, 3)),
            bootstrap,
            self.folder / str(number),
            times=ProgramTimes(grace_s=1, listing_s=LISTING_INTERVAL_S, usage_window_s=1),
        )

    async def run_control(
        self,
        number: int,
        bootstrap: bool,  # noqa: FBT001
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run a control program until its scope is cancelled."""
        settings = self.settings(number, ProgramRole.CONTROL, bootstrap=bootstrap)
        adapter = ControlAdapter(decode, self.platform, PUT_PATH, PUT_PATH)
        with trio.CancelScope() as scope:
            self.scopes[number] = scope
            program = ControlProgram(settings, adapter)
            self.controls[number] = program
            task_status.started()
            await program.run(ProgramLifecycle(lambda: settings))

    async def run_entry(self, number: int, links: Mapping[str, str] | None = None) -> None:
        """Run an entry program until cancelled.

        :param links: addresses at which this instance reaches the endpoints, by listed address.
        """
        settings = self.settings(number, ProgramRole.ENTRY, bootstrap=False)
        adapter = EntryAdapter(Dialect(), decode, self.platform)
        program = EntryProgram(settings, adapter)
        self.entries[number] = program
        if links:
            _translate_addresses(program, links)
        await program.run(ProgramLifecycle(lambda: settings))

    def url(self, number: int, port: int) -> str:
        """Return the address of a listener."""
        return f'http://{self.base}.{number}:{port}'


def _translate_addresses(program: EntryProgram, links: Mapping[str, str]) -> None:
    """Let the listeners to the list of endpoints see other addresses."""
    callbacks = program.view.on_listing
    original = tuple(callbacks)

    def notify(listing: Listing) -> None:
        endpoints = (
            msgspec.structs.replace(each, address=links.get(each.address, each.address))
            for each in listing.endpoints
        )
        translated = Listing(tuple(endpoints))
        for each in original:
            each(translated)

    callbacks.clear()
    callbacks.append(notify)


@asynccontextmanager
async def run_fleet(base: str, folder: Path, endpoint: str) -> AsyncIterator[Fleet]:
    """Run three control instances and one entry instance, number 9."""
    fleet = Fleet(base, folder, FakePlatform(endpoint))
    async with trio.open_nursery() as nursery:
        for number in (1, 2, 3):
            await nursery.start(fleet.run_control, number, True)
        nursery.start_soon(fleet.run_entry, 9)
        yield fleet
        nursery.cancel_scope.cancel()
