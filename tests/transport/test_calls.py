"""Tests of the connection that the calls to a peer share."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from shallotmux.transport._calls import PeerCalls


class SilentChannel:
    """Channel whose peer never answers."""

    is_connected = False

    def __init__(self) -> None:
        self.is_closed = False

    async def __connect__(self) -> None:  # noqa: PLW3201
        """Wait for ever."""
        await asyncio.Event().wait()

    def close(self) -> None:
        """Record the end of the channel."""
        self.is_closed = True


class RefusingChannel(SilentChannel):
    """Channel whose peer refuses connections."""

    async def __connect__(self) -> None:  # noqa: PLW3201
        """Fail."""
        raise ConnectionRefusedError


def make_calls(kind: type[SilentChannel], channels: list[Any]) -> PeerCalls:
    """Return calls that open channels of one kind."""

    def open_channel() -> Any:
        channels.append(kind())
        return channels[-1]

    return PeerCalls(open_channel)


async def wait_open(calls: PeerCalls) -> None:
    """Wait for the connection as a call does."""
    connection = calls.connection()
    with connection.use():
        await connection.wait_open()


def test_call_fails_when_its_connection_is_closed() -> None:
    """Guards against a call that is taken for cancelled when the network stops beside it."""

    async def run() -> None:
        calls = make_calls(SilentChannel, [])
        call = asyncio.ensure_future(wait_open(calls))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        calls.close()
        with pytest.raises(ConnectionAbortedError):
            await call

    asyncio.run(run())


def test_cancelled_call_is_cancelled_while_the_attempt_goes_on() -> None:
    """Guards against a cancellation that is lost, or that ends the attempt for other calls."""

    async def run() -> None:
        channels: list[SilentChannel] = []
        calls = make_calls(SilentChannel, channels)
        call = asyncio.ensure_future(wait_open(calls))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        call.cancel()
        with pytest.raises(asyncio.CancelledError):
            await call
        assert calls.connection().is_usable
        assert [each.is_closed for each in channels] == [False]
        calls.close()

    asyncio.run(run())


def test_failed_attempt_is_replaced_and_closed() -> None:
    """Guards against a refused connection that is never tried again, or whose channel stays open."""

    async def run() -> None:
        channels: list[SilentChannel] = []
        calls = make_calls(RefusingChannel, channels)
        for _ in range(2):
            with pytest.raises(ConnectionRefusedError):
                await wait_open(calls)
        calls.connection()
        assert [each.is_closed for each in channels] == [True, True, False]
        calls.close()

    asyncio.run(run())
