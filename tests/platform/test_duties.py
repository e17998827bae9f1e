"""Tests of the leader's calls over real connections: sent only under the lease, and once."""

from __future__ import annotations

import trio

from shallotmux.calls import LeaseExpired
from shallotmux.control import DutyHolder, DutyOutcome, UsageReport
from shallotmux.platform import PlatformClient
from tests.platform._raw_platform import RawPlatform
from tests.support.log_lines import capture_lines

REPORT = UsageReport(7, {'tailors': 3})
#: Bytes of such an answer that fit into the buffers of both sockets.
MAX_SENT_BYTES = 16 << 20


class CountedGuard:
    """Allows a number of checks, then none."""

    def __init__(self, allowed: int) -> None:
        self.allowed = allowed

    def check(self) -> None:
        """Return if the call may be sent."""
        if not self.allowed:
            raise LeaseExpired('expired', step='send')
        self.allowed -= 1


async def test_call_is_not_written_after_the_lease(nursery: trio.Nursery) -> None:
    """Guards against a call whose lease expires while its connection is opened."""
    platform = RawPlatform()
    client = PlatformClient(await nursery.start(platform.run))
    holder = DutyHolder('core-1', 4, CountedGuard(0))
    assert await client.report_usage(REPORT, holder) is DutyOutcome.NOT_SENT
    assert not any(platform.received)
    nursery.cancel_scope.cancel()


async def test_call_names_holder_and_token(nursery: trio.Nursery) -> None:
    """Guards against calls that the platform cannot attribute to a holder."""
    platform = RawPlatform()
    client = PlatformClient(await nursery.start(platform.run))
    holder = DutyHolder('core-1', 4, CountedGuard(9))
    assert await client.report_usage(REPORT, holder) is DutyOutcome.ACCEPTED
    assert b'X-Shallotmux-Fence-Token: 4' in platform.received[0]
    nursery.cancel_scope.cancel()


async def test_endless_answer_ends_with_unknown_outcome(nursery: trio.Nursery) -> None:
    """Guards against a call that reads an answer without end, and memory that grows with it."""
    platform = RawPlatform(b'HTTP/1.1 200 OK\r\n\r\n', is_endless=True)
    client = PlatformClient(await nursery.start(platform.run))
    holder = DutyHolder('core-1', 4, CountedGuard(9))
    with trio.fail_after(5):
        assert await client.report_usage(REPORT, holder) is DutyOutcome.UNKNOWN
    assert platform.sent_bytes < MAX_SENT_BYTES
    nursery.cancel_scope.cancel()


async def test_call_beyond_the_limit_was_not_carried_out(nursery: trio.Nursery) -> None:
    """Guards against an order that counts as sent although the platform took no more calls."""
    platform = RawPlatform(b'HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n')
    client = PlatformClient(await nursery.start(platform.run))
    holder = DutyHolder('core-1', 4, CountedGuard(9))
    assert await client.report_usage(REPORT, holder) is DutyOutcome.LIMITED
    nursery.cancel_scope.cancel()


async def test_refused_call_is_logged_with_its_status(nursery: trio.Nursery) -> None:
    """Guards against calls that are refused for ever with nothing said but an unknown outcome."""
    platform = RawPlatform(b'HTTP/1.1 422 Unprocessable\r\nContent-Length: 0\r\n\r\n')
    client = PlatformClient(await nursery.start(platform.run))
    holder = DutyHolder('core-1', 4, CountedGuard(9))
    with capture_lines('shallotmux:leader-call-failed') as lines:
        for _ in range(3):
            assert await client.report_usage(REPORT, holder) is DutyOutcome.UNKNOWN
    assert len(lines) == 1
    assert 'status 422' in lines[0]['reason']
    assert lines[0]['outcome'] == 'unknown'
    nursery.cancel_scope.cancel()
