"""Calls to the platform that only the leader makes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from uuid import uuid4

import trio
from eliot import log_message

from shallotmux.authority import AcceptReport, FixedReport, FixReport, ReportCount
from shallotmux.control._border import DutyHolder, DutyOutcome, PlatformApi, UsageReport
from shallotmux.control._knowledge import KnowledgeService
from shallotmux.control._member import ControlMember
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import TrueClock
from shallotmux.routes import RouteTable, Service

#: Interval at which due reports are looked for.
CHECK_S = 0.5

#: Interval at which the leader looks after the services.
SERVICES_S = 1.0

#: Time after the end of a window at which its counts are fixed. Entry instances send their counts
#: to each control instance about once a second.
SETTLE_S = 3.0

#: Time for which a new leader collects counts before it fixes any.
COLLECT_S = 2.0


class LeaderTerm:
    """Tells whether this instance may act for the fleet, and under which token."""

    def __init__(self, member: ControlMember, name: str) -> None:
        self._member = member
        self._name = name
        self._fenced_token = 0

    def holder(self) -> DutyHolder | None:
        """Return the holder while this instance has the lease and was not fenced off."""
        token = self._member.driver.status().term
        if not self._member.driver.is_leader() or token <= self._fenced_token:
            return None
        return DutyHolder(self._name, token)

    def note(self, holder: DutyHolder, outcome: DutyOutcome) -> None:
        """Give up a token once a higher one was used elsewhere."""
        if outcome is DutyOutcome.FENCED:
            self._fenced_token = max(self._fenced_token, holder.token)
            log_message(message_type='shallotmux:fenced', token=holder.token)


@dataclass(frozen=True, slots=True)
class LeaderDependencies:
    """What the duties of the leader share that look after services.

    :param table: returns the look-ups of the document in force, None before the first one.
    """

    desk: KnowledgeService
    border: PlatformApi
    term: LeaderTerm
    table: Callable[[], RouteTable | None]


async def look_after_services(
    tools: LeaderDependencies, look_after: Callable[[Service], Awaitable[None]]
) -> None:
    """Look after each service of the document while this instance leads, until cancelled."""
    while True:
        await trio.sleep(SERVICES_S)
        current = tools.table()
        if current is None or tools.term.holder() is None:
            continue
        for service in current.document.services:
            await look_after(service)


class WindowReporter:
    """Fixes the counts of each window in the log and reports them.

    :param window_s: length of a window.
    """

    def __init__(
        self,
        member: ControlMember,
        desk: KnowledgeService,
        border: PlatformApi,
        clock: TrueClock,
        term: LeaderTerm,
        window_s: float,
    ) -> None:
        self._member = member
        self._desk = desk
        self._border = border
        self._clock = clock
        self._term = term
        self._window_s = window_s
        self._leading_since = float('inf')

    async def run(self) -> None:
        """Report while this instance leads, until cancelled."""
        while True:
            await trio.sleep(CHECK_S)
            if self._term.holder() is None:
                self._leading_since = float('inf')
                continue
            now = trio.current_time()
            self._leading_since = min(self._leading_since, now)
            if now - self._leading_since < COLLECT_S:
                continue
            try:
                await self._fix_due_window()
                await self._report_fixed()
            except ShallotmuxError as error:
                log_message(message_type='shallotmux:usage-delayed', reason=str(error))

    async def _fix_due_window(self) -> None:
        reports = self._member.state.zone.reports
        first = self._desk.usage.first_window()
        if first is None:
            return
        window = max(first, reports.last_window + 1)
        due_at = (window + 1) * self._window_s + SETTLE_S
        if self._clock.now() < due_at:
            return
        totals = self._desk.usage.totals(window)
        counts = tuple(ReportCount(name, number) for name, number in sorted(totals.items()))
        await self._member.authority.submit(FixReport(uuid4().hex, window, counts))

    async def _report_fixed(self) -> None:
        for report in self._member.state.zone.reports.waiting():
            holder = self._term.holder()
            if holder is None:
                return
            outcome = await self._border.report_usage(_plain_report(report), holder)
            self._term.note(holder, outcome)
            log_message(
                message_type='shallotmux:usage-report',
                window=report.window,
                outcome=outcome.value,
                token=holder.token,
                requests=sum(each.requests for each in report.counts),
            )
            if outcome is not DutyOutcome.ACCEPTED:
                return
            await self._member.authority.submit(AcceptReport(uuid4().hex, report.window))


def _plain_report(report: FixedReport) -> UsageReport:
    return UsageReport(report.window, {each.customer: each.requests for each in report.counts})
