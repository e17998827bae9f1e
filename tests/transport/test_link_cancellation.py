"""Tests of a link that is stopped while it connects."""

from __future__ import annotations

import asyncio

import pytest

from shallotmux.transport._link import PeerLink

#: Turns of the event loop in which a failed attempt is over in any case.
TURNS = 8


class FailingChannel:
    """Channel whose attempt to connect ends once it is told to fail."""

    def __init__(self) -> None:
        self.failure: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def __connect__(self) -> None:  # noqa: PLW3201
        """Wait for the failure."""
        await self.failure

    def close(self) -> None:
        """Close nothing."""


@pytest.mark.parametrize('turns', range(TURNS))
def test_link_stops_at_any_moment_of_an_attempt(turns: int) -> None:
    """Guards against a process that does not stop, as its link goes on connecting after a cancellation.

    A cancellation in the turn in which an attempt failed was lost.
    """

    async def run() -> bool:
        channels: list[FailingChannel] = []

        def open_channel(peer: str) -> FailingChannel:
            channels.append(FailingChannel())
            return channels[-1]

        link = PeerLink('a:1', 'b:1', open_channel, lambda *_: None)  # type: ignore[arg-type]
        task = asyncio.ensure_future(link.connect())
        while not channels:
            await asyncio.sleep(0)
        channels[0].failure.set_exception(ConnectionRefusedError())
        for _ in range(turns):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task], timeout=0.3)
        is_stopped = task.cancelled()
        task.cancel()
        return is_stopped

    assert asyncio.run(run())
