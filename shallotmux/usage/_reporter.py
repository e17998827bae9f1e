"""Report the frozen usage windows of a zone to the platform."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio
from eliot import log_message

from shallotmux.authority import (
    WINDOW_S,
    Authority,
    FreezeWindow,
    MarkReported,
    Window,
)
from shallotmux.errors import EndpointError
from shallotmux.http import JSON_TYPE, HttpRequest
from shallotmux.orders import OrderSender, Term, commit

#: Time after the end of a window, in seconds, in which instances can still record usage for it.
RECORDING_GRACE_S = 10

#: Interval between checks for windows to freeze or report.
POLL_INTERVAL_S = 1.0

STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class ReporterDependencies:
    """Dependencies of the reporter.

    :param wall_clock: returns the wall-clock time in seconds.
    """

    authority: Authority
    sender: OrderSender
    platform_address: str
    zone: str
    wall_clock: Callable[[], float]


class UsageReporter:
    """Freezes windows and reports each until the platform accepts it."""

    def __init__(self, dependencies: ReporterDependencies) -> None:
        self._dependencies = dependencies

    async def run(self, term: Term) -> None:
        """Freeze and report windows until the term ends."""
        while True:
            await self._freeze(term)
            for window in self._dependencies.authority.read().usage.unreported():
                await self._report(term, window)
            await trio.sleep(POLL_INTERVAL_S)

    async def _freeze(self, term: Term) -> None:
        last = int((self._dependencies.wall_clock() - RECORDING_GRACE_S) // WINDOW_S) - 1
        if last > self._dependencies.authority.read().usage.frozen_through:
            await commit(
                self._dependencies.authority, FreezeWindow(term.operation_id(), last, term.number)
            )

    async def _report(self, term: Term, window: Window) -> None:
        request = build_report(window, self._dependencies.zone, self._dependencies.platform_address)
        try:
            status, _ = await self._dependencies.sender.send(request, term.guard)
        except EndpointError as error:
            log_message(message_type='shallotmux:usage-report-failed', detail=str(error))
            return
        log_message(
            message_type='shallotmux:usage-report',
            customer=window.customer,
            window=window.window,
            status=status,
        )
        if status == STATUS_OK:
            command = MarkReported(term.operation_id(), window.customer, window.window, term.number)
            await commit(self._dependencies.authority, command)


def report_id(zone: str, customer: str, window: int) -> str:
    """Return the operation id of a window's report, which is the same in all attempts."""
    return f'usage/{zone}/{customer}/{window}'


def encode_report(window: Window, zone: str) -> bytes:
    """Return the body of a window's report, which is the same in all attempts."""
    return msgspec.json.encode(
        {
            'operation_id': report_id(zone, window.customer, window.window),
            'zone': zone,
            'customer': window.customer,
            'start_s': window.window * WINDOW_S,
            'length_s': WINDOW_S,
            'figures': window.figures,
        },
    )


def build_report(window: Window, zone: str, address: str) -> HttpRequest:
    """Return the request that reports a frozen window."""
    body = encode_report(window, zone)
    return HttpRequest('POST', address, '/usage-reports', body, {'content-type': JSON_TYPE})
