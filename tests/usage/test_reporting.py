"""Tests of usage windows from counting to reports accepted by the platform."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
import trio
import trio.testing

from shallotmux.authority import WINDOW_S, Figures, MarkReported, RecordUsage, Refused, UsageEntry
from shallotmux.orders import LeadershipOptions, run_as_leader
from shallotmux.provisioning import AcceptedReport
from shallotmux.standins import MemoryNetwork, PlatformStandin, SharedGroup
from shallotmux.usage import ReporterDependencies, UsageCounter, UsageReporter, reconcile
from tests.support.pausing_sender import PausingSender

PLATFORM = '10.2.0.1:80'
ZONE = 'zone-a'


@dataclass
class Reporting:
    """A platform stand-in and a group whose leaders run usage reporters."""

    network: MemoryNetwork
    platform: PlatformStandin
    group: SharedGroup

    def start(self, name: str, step: str = '') -> PausingSender:
        """Start the reporter of an instance; its sender pauses at a step if one is given."""
        authority = self.group.member(name)
        sender = PausingSender(self.network, name, step)
        dependencies = ReporterDependencies(authority, sender, PLATFORM, ZONE, trio.current_time)
        self.network.nursery.start_soon(
            run_as_leader, authority, name, LeadershipOptions(), UsageReporter(dependencies).run
        )
        return sender

    def bodies(self) -> dict[str, set[bytes]]:
        """Return the distinct bodies received under each operation id."""
        bodies: dict[str, set[bytes]] = {}
        for report in self.platform.reports:
            bodies.setdefault(report.operation_id, set()).add(report.body)
        return bodies


@pytest.fixture
async def reporting(network: MemoryNetwork) -> Reporting:
    """Return a platform stand-in and an empty group."""
    platform = PlatformStandin()
    network.serve(PLATFORM, platform)
    return Reporting(network, platform, SharedGroup())


def batch(number: int, window: int, tokens: int, source: str = 'entry-1/1') -> RecordUsage:
    """Return a batch with one entry of customer tailors."""
    entry = UsageEntry('tailors', window, Figures(1, tokens, 0))
    return RecordUsage(f'usage/{source}/{number}', source, number, (entry,))


async def test_report_is_identical_after_lost_answers_and_failover(
    reporting: Reporting, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a window that is reported twice with different figures."""
    reporting.platform.behaviour.lose_answers = 2
    reporting.start('entry-1')
    reporting.start('entry-2')
    reporting.group.elect('entry-1')
    await trio.sleep(2)
    first = int(trio.current_time() // WINDOW_S)
    reporting.group.state.apply(batch(1, first, 100))
    await trio.sleep(WINDOW_S + 12)
    reporting.group.state.apply(batch(2, first, 50))
    reporting.group.isolated.add('entry-1')
    reporting.group.elect('entry-2')
    await trio.sleep(3 * WINDOW_S)
    assert all(len(bodies) == 1 for bodies in reporting.bodies().values())
    accepted = [
        AcceptedReport(key, body.decode()) for key, body in reporting.platform.accepted.items()
    ]
    windows = reporting.group.state.usage.windows.values()
    assert reconcile(windows, ZONE, accepted) == ()
    assert sum(window.figures.prompt_tokens for window in windows) == 150
    assert sum(window.figures.adjusted_tokens for window in windows) == 50


async def test_partitioned_leader_does_not_report(
    reporting: Reporting, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against reports from two processes that both act as leader."""
    reporting.start('entry-1')
    reporting.group.elect('entry-1')
    await trio.sleep(2)
    reporting.group.state.apply(batch(1, int(trio.current_time() // WINDOW_S), 100))
    await trio.sleep(WINDOW_S)
    reporting.group.isolated.add('entry-1')
    await trio.sleep(WINDOW_S * 2)
    before = len(reporting.platform.reports)
    reporting.start('entry-2')
    reporting.group.elect('entry-2')
    await trio.sleep(WINDOW_S * 2)
    assert {report.source for report in reporting.platform.reports[before:]} == {'entry-2'}


async def test_paused_leader_does_not_report_after_takeover(
    reporting: Reporting, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a report by a former leader that was paused before it sent."""
    pausing_sender = reporting.start('entry-1', 'before-write')
    reporting.group.elect('entry-1')
    await trio.sleep(2)
    reporting.group.state.apply(batch(1, int(trio.current_time() // WINDOW_S), 100))
    await pausing_sender.paused.wait()
    reporting.group.elect('entry-2')
    reporting.start('entry-2')
    await trio.sleep(60)
    pausing_sender.resumed.set()
    await trio.sleep(WINDOW_S)
    assert {report.source for report in reporting.platform.reports} == {'entry-2'}


async def test_counter_records_each_count_once(
    autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
) -> None:
    """Guards against usage counted twice or lost when the answer of a commit is lost."""
    group = SharedGroup()
    group.elect('entry-1')
    counter = UsageCounter('entry-1/1', trio.current_time)
    nursery.start_soon(counter.run, group.member('entry-1'))
    for _ in range(20):
        group.lose_answers = 1
        counter.add('tailors', Figures(1, 10, 2))
        await trio.sleep(0.7)
    await trio.sleep(10)
    total = sum(window.figures.requests for window in group.state.usage.windows.values())
    assert total == 20


def test_repeated_batch_is_ignored() -> None:
    """Guards against a batch recorded twice after its operation id was forgotten."""
    state = SharedGroup().state
    state.apply(batch(1, 5, 100))
    state.results.clear()
    assert isinstance(state.apply(batch(1, 5, 100)), Refused)
    assert state.usage.windows['tailors', 5].figures.prompt_tokens == 100


def test_report_of_earlier_term_is_refused() -> None:
    """Guards against a former leader that marks a window as reported."""
    state = SharedGroup().state
    state.apply(batch(1, 5, 100))
    assert isinstance(state.apply(MarkReported('m', 'tailors', 5, 3)), Refused)


def test_reconciliation_reports_differences() -> None:
    """Guards against a reconciliation that misses differences."""
    state = SharedGroup().state
    state.apply(batch(1, 5, 100))
    accepted = [
        AcceptedReport('usage/zone-a/tailors/5', 'other'),
        AcceptedReport('usage/zone-a/nobody/5', 'x'),
    ]
    problems = [each.problem for each in reconcile(state.usage.windows.values(), ZONE, accepted)]
    assert problems == ['different', 'unexpected']
