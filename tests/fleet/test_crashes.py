"""Tests of the crashes that instances remember and tell each other."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.fleet import CrashLedger, CrashNews, CrashReport


async def test_request_is_harmful_after_three_endpoints(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against requests that go on crashing endpoints, and against hasty judgement."""
    ledger = CrashLedger()
    ledger.record_crash(7, 1)
    ledger.record_crash(7, 2)
    ledger.record_crash(7, 2)
    assert not ledger.is_harmful(7)
    ledger.record_crash(7, 3)
    assert ledger.is_harmful(7)
    assert not ledger.is_harmful(8)


async def test_crashes_seen_by_others_count_once(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against instances that each have to be crashed three times, and double counts."""
    first, second = CrashLedger(), CrashLedger()
    first.record_crash(7, 1)
    second.record_crash(7, 2)
    second.record_crash(7, 3)
    for _ in range(2):
        first.merge(second.news())
    assert first.is_harmful(7)
    second.merge(first.news())
    assert len(second.news().crashes) == 3


async def test_crashes_are_forgotten(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against requests that are refused for ever, also by reports that go round."""
    ledger = CrashLedger()
    for endpoint in range(3):
        ledger.record_crash(7, endpoint)
    await trio.sleep(40)
    ledger.merge(ledger.news())
    await trio.sleep(21)
    assert not ledger.is_harmful(7)
    assert not ledger.news().crashes
    assert not ledger.has_reports


async def test_reports_are_bounded(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against messages that grow with each broken connection."""
    ledger = CrashLedger()
    ledger.merge(CrashNews(tuple(CrashReport(each, 1, 0) for each in range(5000))))
    ledger.merge(CrashNews(tuple(CrashReport(9, endpoint, 0) for endpoint in range(4))))
    told = ledger.news().crashes
    assert len(told) < 100
    assert sum(each.fingerprint == 9 for each in told) == 3


async def test_request_that_was_served_since_is_harmless(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against equal requests of many callers that are refused: kockica-mux scale-1."""
    here, there = CrashLedger(), CrashLedger()
    for endpoint in range(3):
        here.record_crash(7, endpoint)
        await trio.sleep(1)
    there.merge(here.news())
    assert there.is_harmful(7)
    here.record_served(7)
    assert not here.is_harmful(7)
    there.merge(here.news())
    assert not there.is_harmful(7)
    await trio.sleep(1)
    for endpoint in range(3):
        there.record_crash(7, endpoint)
    assert there.is_harmful(7)
