"""Tests of the reports of usage windows with a control group and a platform that refuses some."""

from __future__ import annotations

from types import SimpleNamespace

import trio
import trio.testing

from shallotmux.authority import FixReport, ReportCount
from shallotmux.control import KnowledgeService
from shallotmux.control._duties import LeaderTerm, WindowReporter
from shallotmux.control._platform import DutyHolder, DutyOutcome, UsageReport
from shallotmux.fleet import TrueClock
from tests.control._instances import ControlGroup

#: Time within which leader-only calls must not return to an instance.
ALTERNATION_S = 3.0

WINDOWS = 4


async def test_refused_window_does_not_hold_up_later_ones(
    group: ControlGroup, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against windows that are never reported since the platform refuses an earlier one."""
    member = (await group.wait_for_leader()).member
    for window in range(WINDOWS):
        await member.authority.submit(
            FixReport(f'fix-{window}', window, (ReportCount('tailors', 1),))
        )
    calls: list[int] = []

    async def report_usage(report: UsageReport, holder: DutyHolder) -> DutyOutcome:
        calls.append(report.window)
        return DutyOutcome.UNKNOWN if report.window == 0 else DutyOutcome.ACCEPTED

    clock = TrueClock()
    reporter = WindowReporter(
        member,
        KnowledgeService(member.state, clock, member.peers),
        SimpleNamespace(report_usage=report_usage),  # type: ignore[arg-type]
        clock,
        LeaderTerm(member, member.settings.name, ALTERNATION_S),
        window_s=5,
    )
    nursery.start_soon(reporter.run)
    await trio.sleep(ALTERNATION_S + 5)
    left = [each.window for each in member.state.zone.reports.unaccepted()]
    assert left == [0]
    assert calls.count(0) > 1
    assert [window for window in calls if window] == [1, 2, 3]
