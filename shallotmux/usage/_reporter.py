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

#: Time after the end of a window in which instances still record counts for it.
GRACE_S = 10

#: Interval between two looks for windows to freeze or to report.
POLL_S = 1.0

STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class ReporterDependencies:
    """Collaborators of the reporter.

    :param wall_clock: returns the wall-clock time in seconds.
    """

    authority: Authority
    sender: OrderSender
    platform_address: str
    zone: str
    wall_clock: Callable[[], float]


class UsageReporter:
    """Freezes windows and sends each until the platform has accepted it."""

    def __init__(self, tools: ReporterDependencies) -> None:
        self._tools = tools

    async def run(self, term: Term) -> None:
        """Freeze and report for as long as the term lasts."""
        while True:
            await self._freeze(term)
            for window in self._tools.authority.read().usage.unreported():
                await self._report(term, window)
            await trio.sleep(POLL_S)

    async def _freeze(self, term: Term) -> None:
        last = int((self._tools.wall_clock() - GRACE_S) // WINDOW_S) - 1
        if last > self._tools.authority.read().usage.frozen_through:
            await commit(
                self._tools.authority, FreezeWindow(term.operation_id(), last, term.number)
            )

    async def _report(self, term: Term, window: Window) -> None:
        request = build_report(window, self._tools.zone, self._tools.platform_address)
        try:
            status, _ = await self._tools.sender.send(request, term.guard)
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
            await commit(self._tools.authority, command)


def report_id(zone: str, customer: str, window: int) -> str:
    """Return the operation id under which a window is reported, however often."""
    return f'usage/{zone}/{customer}/{window}'


def encode_report(window: Window, zone: str) -> bytes:
    """Return the body of a report, which is the same in all attempts."""
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
