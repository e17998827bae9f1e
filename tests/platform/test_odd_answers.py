"""Tests of answers of the platform that are no valid HTTP."""

from __future__ import annotations

import pytest
import trio

from shallotmux.control import DutyHolder, DutyOutcome
from shallotmux.errors import ShallotmuxError
from shallotmux.platform import PlatformClient
from tests.platform._raw_platform import RawPlatform
from tests.platform.test_duties import REPORT, CountedGuard

TEST_TIMEOUT_S = 10

#: Heads of answers, without the line with the version.
HEADS = {
    'no head': b'\xff' * 50,
    'status of five digits': b'HTTP/1.1 99999 OK',
    'negative status': b'HTTP/1.1 -1 OK',
    'status 0': b'HTTP/1.1 000 OK\r\nContent-Length: 0',
    'switch of protocols': b'HTTP/1.1 101 Switching',
    'large header': b'HTTP/1.1 200 OK\r\na: %b' % (b'x' * 200_000),
    'zero byte in a name': b'HTTP/1.1 200 OK\r\na\0b: c',
    'negative length': b'HTTP/1.1 200 OK\r\nContent-Length: -1',
    'length of 5,000 digits': b'HTTP/1.1 200 OK\r\nContent-Length: %b' % (b'9' * 5000),
    'two lengths': b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2',
    'other coding': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip',
    'invalid chunk': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz',
    'large chunk': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%b' % (b'f' * 30),
    'HTTP/2': b'PRI * HTTP/2.0',
}


@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS.keys())
async def test_odd_answer_is_a_typed_error(nursery: trio.Nursery, head: bytes) -> None:
    """Guards against an answer of the platform that ends the poll or the duty that reads it."""
    platform = RawPlatform(b'%b\r\n\r\n' % head)
    client = PlatformClient(await nursery.start(platform.run))
    holder = DutyHolder('core-1', 4, CountedGuard(9))
    with trio.fail_after(TEST_TIMEOUT_S):
        with pytest.raises(ShallotmuxError):
            await client.list_endpoints()
        outcome = await client.report_usage(REPORT, holder)
    assert outcome is DutyOutcome.UNKNOWN
    nursery.cancel_scope.cancel()
