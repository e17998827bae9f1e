"""Tests of reading the platform's list over real connections."""

from __future__ import annotations

import pytest
import trio

from shallotmux.errors import ShallotmuxError
from shallotmux.platform import PlatformClient
from tests.platform._raw_platform import RawPlatform

#: Bytes of a page without end that fit into the limit and the buffers of both sockets.
MAX_SENT_BYTES = 24 << 20


async def test_page_without_end_is_given_up(nursery: trio.Nursery) -> None:
    """Guards against a page that is read for ever, and memory that grows with it."""
    platform = RawPlatform(b'HTTP/1.1 200 OK\r\n\r\n', is_endless=True)
    client = PlatformClient(await nursery.start(platform.run))
    with trio.fail_after(5), pytest.raises(ShallotmuxError):
        await client.list_endpoints()
    assert platform.sent_bytes < MAX_SENT_BYTES
    nursery.cancel_scope.cancel()
