"""Duties of the leader: fencing, the control loop over services, and usage reports."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from uuid import uuid4

import trio
from eliot import log_message

from shallotmux.authority import AcceptReport, FixedReport, FixReport, ReportCount
from shallotmux.calls import LeaseExpired
from shallotmux.control._knowledge import KnowledgeService
from shallotmux.control._member import ControlMember
from shallotmux.control._platform import DutyHolder, DutyOutcome, PlatformApi, UsageReport
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import TrueClock
from shallotmux.repeats import RepeatLog
from shallotmux.routes import RouteTable, Service

#: Interval between checks for usage windows to report.
REPORT_INTERVAL_S = 0.5

#: Time after the write of a call in which its bytes may still arrive: the sender's kernel drops bytes
#: that are not acknowledged for so long.
CALL_FLIGHT_S = 0.5

#: Added to the delay of a new leader for network delay and differing clock rates.
TAKEOVER_MARGIN_S = 0.1

#: Interval of the control loop over the services.
CONTROL_LOOP_S = 1.0

#: Delay between the end of a window and the commit of its counts. Entry instances send their counts
#: to each control instance about once a second.
COUNT_DELAY_S = 3.0

#: Delay before a new leader commits counts, in which entry instances send theirs.
NEW_LEADER_DELAY_S = 2.0


@dataclass(frozen=True, slots=True)
class TermGuard:
    """Allows the calls of one term while this instance may act in it."""

    term: LeaderTerm
    token: int

    def check(self) -> None:
        """Return if a call may be sent.

        :raises LeaseExpired: if it may not.
        """
        if not self.term.may_act(self.token):
            raise LeaseExpired(f'the lease of term {self.token} has expired', step='send')


class LeaderTerm:
    """Tells whether this instance may call the platform as leader, and with which fencing token.

    The platform may not check tokens, so a new leader waits until no call of its predecessor can
    arrive any more, see :func:`takeover_delay_s`.

    :param alternation_s: time within which leadership must not return to an instance that has acted.
    """

    def __init__(self, member: ControlMember, name: str, alternation_s: float) -> None:
        self._member = member
        self._name = name
        self._delay_s = takeover_delay_s(alternation_s)
        self._fenced_token = 0
        self._stopped = RepeatLog('shallotmux:duties-stopped')
        self._is_resigned = False

    def holder(self) -> DutyHolder | None:
        """Return the holder, or None unless this instance has the lease and is not fenced."""
        token = self._member.driver.status().term
        if not self.may_act(token):
            self._record_stopped(token)
            return None
        return DutyHolder(self._name, token, TermGuard(self, token))

    def may_act(self, token: int) -> bool:
        """Return whether this instance may make calls in a term at this moment."""
        driver = self._member.driver
        if not driver.is_leader() or token <= self._fenced_token or self._is_resigned:
            return False
        leads_since = self._member.leads_since(token)
        return driver.status().term == token and trio.current_time() - leads_since >= self._delay_s

    def resign(self) -> None:
        """Make no further calls, so that leadership can be transferred."""
        self._is_resigned = True

    def record_outcome(self, holder: DutyHolder, outcome: DutyOutcome) -> None:
        """Stop using a token that the platform fenced because a higher one was used."""
        if outcome is DutyOutcome.FENCED:
            self._fenced_token = max(self._fenced_token, holder.token)
            log_message(message_type='shallotmux:fenced', token=holder.token)

    def _record_stopped(self, token: int) -> None:
        """Log that nobody performs the duties while this instance leads with a fenced token."""
        if self._member.driver.is_leader() and token <= self._fenced_token:
            self._stopped.record('this leader was told of a higher token', token=token)


def takeover_delay_s(alternation_s: float) -> float:
    """Return the time for which a new leader makes no calls.

    The last call of its predecessor arrives at most :data:`CALL_FLIGHT_S` after the predecessor's
    lease, which has ended when the new leader is elected. Two delays, less that time, lie between
    two calls of an instance that has lost and regained leadership, so that they are more than
    ``alternation_s`` apart.
    """
    return (alternation_s + CALL_FLIGHT_S) / 2 + TAKEOVER_MARGIN_S


@dataclass(frozen=True, slots=True)
class LeaderDependencies:
    """Dependencies of the leader's control loops over services.

    :param table: returns the route table of the current document, None before the first one.
    """

    knowledge: KnowledgeService
    platform: PlatformApi
    term: LeaderTerm
    table: Callable[[], RouteTable | None]


async def run_control_loop(
    dependencies: LeaderDependencies, update_service: Callable[[Service], Awaitable[None]]
) -> None:
    """Update each service of the current document while this instance leads, until cancelled."""
    while True:
        await trio.sleep(CONTROL_LOOP_S)
        current = dependencies.table()
        if current is None or dependencies.term.holder() is None:
            continue
        for service in current.document.services:
            await update_service(service)


class WindowReporter:
    """Commits the usage counts of each window to the log and reports them to the platform.

    Every report of a window has the committed counts, whichever leader sends it.

    :param window_s: length of a window in seconds.
    """

    def __init__(
        self,
        member: ControlMember,
        knowledge: KnowledgeService,
        platform: PlatformApi,
        clock: TrueClock,
        term: LeaderTerm,
        window_s: float,
    ) -> None:
        self._member = member
        self._knowledge = knowledge
        self._platform = platform
        self._clock = clock
        self._term = term
        self._window_s = window_s
        self._leading_since = float('inf')
        #: Window whose report was not accepted when it was last sent.
        self._refused_window = -1

    async def run(self) -> None:
        """Commit and report windows while this instance leads, until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            if self._term.holder() is None:
                self._leading_since = float('inf')
                continue
            now = trio.current_time()
            self._leading_since = min(self._leading_since, now)
            if now - self._leading_since < NEW_LEADER_DELAY_S:
                continue
            try:
                await self._fix_due_window()
                await self._report_fixed()
            except ShallotmuxError as error:
                log_message(message_type='shallotmux:usage-delayed', reason=str(error))

    async def _fix_due_window(self) -> None:
        reports = self._member.state.zone.reports
        first = self._knowledge.usage.first_window()
        if first is None:
            return
        window = max(first, reports.last_window + 1)
        due_at = (window + 1) * self._window_s + COUNT_DELAY_S
        if self._clock.now() < due_at:
            return
        totals = self._knowledge.usage.totals(window)
        counts = tuple(ReportCount(name, number) for name, number in sorted(totals.items()))
        await self._member.authority.submit(FixReport(uuid4().hex, window, counts))

    async def _report_fixed(self) -> None:
        for report in self._unaccepted_in_turn():
            holder = self._term.holder()
            if holder is None:
                return
            outcome = await self._platform.report_usage(_to_usage_report(report), holder)
            self._term.record_outcome(holder, outcome)
            log_message(
                message_type='shallotmux:usage-report',
                window=report.window,
                outcome=outcome.value,
                token=holder.token,
                requests=sum(each.requests for each in report.counts),
            )
            if outcome is not DutyOutcome.ACCEPTED:
                self._refused_window = report.window
                return
            await self._member.authority.submit(AcceptReport(uuid4().hex, report.window))

    def _unaccepted_in_turn(self) -> list[FixedReport]:
        """Return the reports to send, the one that was refused last at the end.

        Otherwise, a report that the platform never accepts would hold up those of later windows.
        """
        reports = self._member.state.zone.reports.unaccepted()
        return sorted(reports, key=lambda each: (each.window <= self._refused_window, each.window))


def _to_usage_report(report: FixedReport) -> UsageReport:
    return UsageReport(report.window, {each.customer: each.requests for each in report.counts})
