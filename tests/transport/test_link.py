"""Tests of the link to one peer."""

from __future__ import annotations

import asyncio
from typing import Any

from shallotmux.transport._link import PeerLink

#: Time in which a cancelled link must end. A reconnect would follow after less.
TIMEOUT_S = 1.0


class FailingChannel:
    """Channel whose connection is refused at the moment at which the link is cancelled."""

    def __init__(self) -> None:
        self.connects = 0
        self.connecting: asyncio.Task[None] | None = None

    async def __connect__(self) -> None:  # noqa: WPS607
        """Cancel the link and fail."""
        self.connects += 1
        if self.connecting is not None and self.connects == 1:
            self.connecting.cancel()
        raise ConnectionRefusedError

    def close(self) -> None:
        """Serve as the end of the channel."""


async def count_connects() -> tuple[bool, int]:
    """Cancel a link while its connection fails; return whether it has ended, and its attempts."""
    channel: Any = FailingChannel()
    link = PeerLink('entry', 'control', lambda _: channel, lambda *_: None)
    channel.connecting = asyncio.ensure_future(link.connect())
    await asyncio.wait({channel.connecting}, timeout=TIMEOUT_S)
    has_ended = channel.connecting.done()
    channel.connecting.cancel()
    return has_ended, channel.connects


def test_link_that_is_cancelled_while_a_connect_fails_ends() -> None:
    """Guards against a process that does not end after SIGTERM when its peers stop with it."""
    assert asyncio.run(count_connects()) == (True, 1)
