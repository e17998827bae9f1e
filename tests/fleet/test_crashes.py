"""Tests of the crashes that instances record and report to each other."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.fleet import CrashNews, CrashRecords, CrashReport
from shallotmux.fleet._crashes import CRASH_TTL_S


async def test_request_is_quarantined_after_three_endpoints(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against requests that keep crashing endpoints, and against refusal too early."""
    records = CrashRecords()
    records.record_crash(7, 1)
    records.record_crash(7, 2)
    records.record_crash(7, 2)
    assert not records.is_quarantined(7)
    records.record_crash(7, 3)
    assert records.is_quarantined(7)
    assert not records.is_quarantined(8)


async def test_crashes_reported_by_others_count_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against three crashes at each instance before refusal, and against double counts."""
    first, second = CrashRecords(), CrashRecords()
    first.record_crash(7, 1)
    second.record_crash(7, 2)
    second.record_crash(7, 3)
    for _ in range(2):
        first.merge(second.build_report())
    assert first.is_quarantined(7)
    second.merge(first.build_report())
    assert len(second.build_report().crashes) == 3


async def test_crashes_expire(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against requests refused forever, also because reports circulate among peers."""
    records = CrashRecords()
    for endpoint in range(3):
        records.record_crash(7, endpoint)
    await trio.sleep(40)
    records.merge(records.build_report())
    await trio.sleep(21)
    assert not records.is_quarantined(7)
    assert not records.build_report().crashes
    assert not records.has_reports


async def test_reports_are_bounded(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against reports that grow without bound."""
    records = CrashRecords()
    records.merge(CrashNews(tuple(CrashReport(each, 1, 0) for each in range(5000))))
    records.merge(CrashNews(tuple(CrashReport(9, endpoint, 0) for endpoint in range(4))))
    crashes = records.build_report().crashes
    assert len(crashes) < 100
    assert sum(each.fingerprint == 9 for each in crashes) == 3


async def test_request_served_after_crashes_is_not_quarantined(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against refusal of identical requests of many callers after unrelated crashes."""
    local, remote = CrashRecords(), CrashRecords()
    for endpoint in range(3):
        local.record_crash(7, endpoint)
        await trio.sleep(1)
    remote.merge(local.build_report())
    assert remote.is_quarantined(7)
    local.record_served(7)
    assert not local.is_quarantined(7)
    remote.merge(local.build_report())
    assert not remote.is_quarantined(7)
    await trio.sleep(1)
    for endpoint in range(3):
        remote.record_crash(7, endpoint)
    assert remote.is_quarantined(7)


async def test_quarantine_tells_when_it_ends(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against callers that are told to return while their request is still refused."""
    records = CrashRecords()
    for endpoint in range(4):
        records.record_crash(7, endpoint)
        await trio.sleep(1)
    remaining_s = records.quarantine_ends_in(7)
    # Two of the four crashes must expire.
    assert remaining_s == CRASH_TTL_S - 3
    await trio.sleep(remaining_s)
    assert not records.is_quarantined(7)
    assert not records.quarantine_ends_in(8)
