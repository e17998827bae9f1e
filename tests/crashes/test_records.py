"""Tests of the crashes that instances record and report to each other."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from shallotmux.crashes import (
    QUARANTINE_S,
    AliveReport,
    CrashNews,
    CrashRecords,
    CrashReport,
    Position,
    ServedReport,
)
from shallotmux.crashes._culprits import TRIAL_SLOT_S
from shallotmux.crashes._evidence import EVIDENCE_TTL_S, MAX_SUBJECTS
from shallotmux.crashes._history import MAX_SENT


def is_quarantined(records: CrashRecords, *subjects: int, holder: str = 'r-1') -> bool:
    """Return whether a request must not run."""
    return records.quarantine_ends_in(frozenset(subjects), holder) > 0


def exchange(sender: CrashRecords, receiver: CrashRecords) -> None:
    """Send everything that one instance knows to another one."""
    receiver.merge(sender.build_news(Position()))


async def test_request_is_quarantined_after_three_endpoints(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against requests that keep crashing endpoints, and against refusal too early."""
    records = CrashRecords()
    await trio.sleep(1)
    records.record_crash((7,), 1)
    await trio.sleep(1)
    records.record_crash((7,), 2)
    await trio.sleep(1)
    records.record_crash((7,), 2)
    assert not is_quarantined(records, 7)
    await trio.sleep(1)
    records.record_crash((7,), 3)
    assert is_quarantined(records, 7)
    assert not is_quarantined(records, 8)


async def test_crashes_reported_by_others_count_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against three crashes at each instance before refusal, and against double counts."""
    first, second = CrashRecords(), CrashRecords()
    await trio.sleep(1)
    first.record_crash((7,), 1)
    await trio.sleep(1)
    second.record_crash((7,), 2)
    await trio.sleep(1)
    second.record_crash((7,), 3)
    for _ in range(2):
        exchange(second, first)
    assert is_quarantined(first, 7)
    exchange(first, second)
    assert second.count(7) == 3


async def test_quarantine_ends_by_itself_and_returns_after_one_more_crash(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against requests refused for ever, and against three more crashes after each end."""
    records = CrashRecords()
    for endpoint in range(3):
        await trio.sleep(1)
        records.record_crash((7,), endpoint)
    await trio.sleep(QUARANTINE_S - 1)
    assert is_quarantined(records, 7)
    await trio.sleep(1)
    assert not is_quarantined(records, 7)
    await trio.sleep(1)
    records.record_crash((7,), 3)
    await trio.sleep(2 * QUARANTINE_S - 1)
    assert is_quarantined(records, 7)


async def test_one_trial_runs_after_a_quarantine(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against all waiting requests that run at once when a quarantine ends."""
    records = CrashRecords()
    for endpoint in range(3):
        await trio.sleep(1)
        records.record_crash((7,), endpoint)
    await trio.sleep(QUARANTINE_S)
    assert not is_quarantined(records, 7, holder='first')
    assert is_quarantined(records, 7, holder='second')
    assert not is_quarantined(records, 7, holder='first')
    await trio.sleep(1)
    records.record_crash((7,), 3)
    assert is_quarantined(records, 7, holder='first')


async def test_served_trial_ends_the_suspicion(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a wrong suspicion that returns after a request was served."""
    records = CrashRecords()
    for endpoint in range(3):
        await trio.sleep(1)
        records.record_crash((7,), endpoint)
    await trio.sleep(QUARANTINE_S)
    assert not is_quarantined(records, 7, holder='first')
    records.record_served((7,))
    assert not is_quarantined(records, 7, holder='second')
    await trio.sleep(1)
    records.record_crash((7,), 3)
    assert not is_quarantined(records, 7, holder='second')


async def test_evidence_expires_although_it_circulates(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against evidence that lives on because instances report it to each other."""
    first, second = CrashRecords(), CrashRecords()
    for endpoint in range(3):
        await trio.sleep(1)
        first.record_crash((7,), endpoint)
    for _ in range(9):
        await trio.sleep(EVIDENCE_TTL_S / 10)
        exchange(first, second)
        exchange(second, first)
    await trio.sleep(EVIDENCE_TTL_S / 10 + 1)
    exchange(first, second)
    assert not first.quarantines()
    assert not second.quarantines()
    assert not first.has_crashes
    assert not second.build_news(Position()).crashes


async def test_state_and_messages_are_bounded(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against requests with ever new parts that fill the memory or displace a culprit."""
    records = CrashRecords()
    for endpoint in (1, 2):
        await trio.sleep(1)
        records.record_crash((9,), endpoint)
    for endpoint in range(3, 80):
        await trio.sleep(1)
        records.record_crash(range(1000 * endpoint, 1000 * endpoint + 256), endpoint)
    news = records.build_news(Position())
    assert len(news.crashes) <= MAX_SENT
    assert len(records._evidence.crashes) <= MAX_SUBJECTS  # noqa: SLF001
    assert records.count(9) == 2
    await trio.sleep(1)
    records.record_crash((9,), 99)
    assert is_quarantined(records, 9)


async def test_all_changes_arrive_in_several_messages(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against evidence that is left out because a message is full."""
    sender, receiver = CrashRecords(), CrashRecords()
    for endpoint in range(3):
        await trio.sleep(1)
        sender.record_crash(range(1, 2 * MAX_SENT), endpoint)
    position = Position()
    for _ in range(8):
        news = sender.build_news(position)
        receiver.merge(news)
        position = Position(news.source, news.number)
    assert receiver.count(2 * MAX_SENT - 1) == 3
    assert not sender.build_news(position).crashes


async def test_request_served_after_crashes_is_not_quarantined(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against refusal of identical requests of many callers after unrelated crashes."""
    local, remote = CrashRecords(), CrashRecords()
    for endpoint in range(3):
        await trio.sleep(1)
        local.record_crash((7,), endpoint)
        await trio.sleep(1)
    exchange(local, remote)
    assert is_quarantined(remote, 7)
    local.record_served((7,))
    assert not is_quarantined(local, 7)
    exchange(local, remote)
    assert not is_quarantined(remote, 7)
    await trio.sleep(1)
    for endpoint in range(3, 6):
        await trio.sleep(1)
        remote.record_crash((7,), endpoint)
    assert is_quarantined(remote, 7)


async def test_part_served_before_a_late_report_is_not_quarantined(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against popular parts that all instances refuse, since news of crashes comes late.

    An instance that was cut off reports crashes that others have refuted by serving the part.
    """
    records = CrashRecords()
    await trio.sleep(10)
    records.record_served((7,))
    reports = tuple(CrashReport(7, endpoint, 5.0 + endpoint) for endpoint in range(3))
    records.merge(CrashNews(crashes=reports))
    assert not is_quarantined(records, 7)
    unserved = CrashRecords()
    unserved.merge(CrashNews(crashes=reports))
    assert is_quarantined(unserved, 7)


async def test_endpoint_that_answers_has_not_crashed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against requests that are quarantined since connections were reset."""
    local, remote = CrashRecords(), CrashRecords()
    for endpoint in range(3):
        await trio.sleep(1)
        local.record_crash((7,), endpoint)
    exchange(local, remote)
    await trio.sleep(0.2)
    local.record_answer(2, trio.current_time())
    assert not is_quarantined(local, 7)
    exchange(local, remote)
    assert not is_quarantined(remote, 7)
    remote.merge(CrashNews(crashes=(CrashReport(7, 2, 0.2),)))
    assert remote.count(7) == 2


async def test_answer_of_a_restarted_endpoint_does_not_refute_its_crash(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against crashes that are forgotten when the endpoint is back under its identity."""
    records = CrashRecords()
    for endpoint in range(3):
        await trio.sleep(1)
        records.record_crash((7,), endpoint)
    await trio.sleep(3)
    records.record_answer(1, trio.current_time())
    assert is_quarantined(records, 7)


async def test_news_of_crashes_may_arrive_in_any_order(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against results that depend on which of two messages comes first."""
    await trio.sleep(10)
    crashes = CrashNews(crashes=tuple(CrashReport(7, each, 5.0 + each) for each in range(3)))
    unrefuted = CrashRecords()
    unrefuted.merge(crashes)
    assert is_quarantined(unrefuted, 7)
    served = CrashNews(served=(ServedReport(7, 4.0),))
    alive = CrashNews(alive=(AliveReport(1, 4.5),))
    for refutation in (served, alive):
        for order in ((crashes, refutation), (refutation, crashes)):
            records = CrashRecords()
            for news in order:
                records.merge(news)
            assert not is_quarantined(records, 7)


@pytest.mark.parametrize('age_s', [float('inf'), 1e308, EVIDENCE_TTL_S, float('nan')])
async def test_crash_of_an_odd_age_is_no_evidence(
    age_s: float, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a report that fails where it is received, and is answered with an error."""
    records = CrashRecords()
    await trio.sleep(1)
    for endpoint in range(4):
        records.merge(CrashNews(crashes=(CrashReport(7, endpoint, age_s, is_repeated=True),)))
    assert not records.has_crashes
    assert records.build_news(Position()).crashes == ()


async def test_quarantine_tells_when_it_ends(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against callers that are told to return while their request is still refused."""
    records = CrashRecords()
    for endpoint in range(4):
        await trio.sleep(1)
        records.record_crash((7,), endpoint)
        await trio.sleep(1)
    subjects = frozenset((7,))
    remaining_s = records.quarantine_ends_in(subjects, 'r-1')
    # The fourth crash, a second ago, has doubled the quarantine.
    assert remaining_s == 2 * QUARANTINE_S - 1
    await trio.sleep(remaining_s)
    assert records.quarantine_ends_in(subjects, 'r-1') == 0
    assert records.quarantine_ends_in(subjects, 'r-2') == TRIAL_SLOT_S
    assert not records.quarantine_ends_in(frozenset((8,)), 'r-3')


async def test_uncertain_end_counts_if_its_endpoint_crashed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a crash after an event that looks like the end of an unframed stream."""
    subjects = frozenset((7,))
    records = CrashRecords()
    records.record_uncertain_end(subjects, 1)
    await trio.sleep(0.5)
    records.record_unreachable(1)
    await trio.sleep(1)
    records.record_uncertain_end(subjects, 2)
    await trio.sleep(1)
    records.record_crash((8,), 2)
    await trio.sleep(1)
    records.record_crash((8,), 3)
    records.record_uncertain_end(subjects, 3)
    assert is_quarantined(records, 7)


async def test_uncertain_end_alone_is_no_crash(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against sound streams without a length that are taken for crashes."""
    records = CrashRecords()
    for endpoint in range(3):
        records.record_uncertain_end(frozenset((7,)), endpoint)
        await trio.sleep(2)
        records.record_unreachable(endpoint)
    assert records.count(7) == 0


async def test_refutation_of_a_late_report_reaches_other_instances(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a popular part that others refuse, though one instance has served it since."""
    observer, server, other = CrashRecords(), CrashRecords(), CrashRecords()
    await trio.sleep(10)
    for endpoint in range(3):
        await trio.sleep(1)
        observer.record_crash((7,), endpoint)
        await trio.sleep(1)
    server.record_served((7,))
    exchange(observer, other)
    assert is_quarantined(other, 7)
    exchange(observer, server)
    exchange(server, other)
    assert not is_quarantined(other, 7)


async def test_retries_during_one_failure_count_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against sound requests that are retried on engines that end at the same moment."""
    records = CrashRecords()
    for endpoint in range(4):
        records.record_crash((7,), endpoint, trio.current_time() - 0.001)
        await trio.sleep(0.002)
    assert not is_quarantined(records, 7)
