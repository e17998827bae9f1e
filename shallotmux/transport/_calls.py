"""Connection for calls to one peer, shared by all calls at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from shallotmux.transport._call_stream import CallStream
from shallotmux.transport._channel import CONNECT_TIMEOUT_S, PeerChannel


class CallConnection:
    """Connection that is opened once for all calls that use it.

    An attempt to connect has a limit of its own, so that calls with short limits do not end it for the
    others, nor for those that follow them.
    """

    def __init__(self, channel: PeerChannel) -> None:
        self.channel = channel
        self._opening: asyncio.Future[None] | None = None
        self._users = 0
        self._is_retired = False
        self._stream: CallStream | None = None
        self._streaming: asyncio.Future[None] | None = None

    @property
    def is_usable(self) -> bool:
        """Return whether further calls may use the connection: it is being opened, or open."""
        if self._is_retired:
            return False
        return self._opening is None or not self._opening.done() or self.channel.is_connected

    @property
    def stream(self) -> CallStream | None:
        """Return the stream for calls if it is open."""
        if self._stream is None or self._is_retired or not self._stream.is_open:
            return None
        return self._stream

    @property
    def knows_no_streams(self) -> bool:
        """Return whether the peer has answered that it knows no streams of calls."""
        return self._stream is not None and self._stream.is_unknown

    def open_stream(self, own_headers: dict[str, str]) -> None:
        """Begin to open a stream for further calls, once. Runs in asyncio."""
        if self._stream is None and not self._is_retired:
            self._stream = CallStream(own_headers)
            self._streaming = asyncio.ensure_future(self._run_stream(self._stream))

    async def wait_open(self) -> None:
        """Wait until the connection is open; the first call opens it.

        :raises ConnectionAbortedError: if the connection is closed meanwhile.
        """
        if self._opening is None:
            self._opening = asyncio.ensure_future(self._open())
            self._opening.add_done_callback(_read_error)
        try:
            await asyncio.shield(self._opening)
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise ConnectionAbortedError('the connection was closed') from error

    @contextmanager
    def use(self) -> Iterator[None]:
        """Keep the connection while a call uses it."""
        self._users += 1
        try:
            yield
        finally:
            self._users -= 1
            self._close_if_unused()

    def retire(self) -> None:
        """Take no further calls, and close the connection after the calls that use it."""
        self._is_retired = True
        self._close_if_unused()

    def close(self) -> None:
        """Close the connection, and end the calls that use it."""
        self._is_retired = True
        for task in (self._opening, self._streaming):
            if task is not None:
                task.cancel()
        self.channel.close()

    async def _open(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await self.channel.__connect__()

    async def _run_stream(self, stream: CallStream) -> None:
        await stream.run(self.channel)
        # A server closes the connection of a stream that has ended.
        self.retire()

    def _close_if_unused(self) -> None:
        if self._is_retired and not self._users:
            self.close()


class PeerCalls:
    """Gives the calls to one peer a connection, and replaces it when it fails.

    :param open_channel: returns a new channel to the peer.
    """

    def __init__(self, open_channel: Callable[[], PeerChannel]) -> None:
        self._open_channel = open_channel
        self._connection: CallConnection | None = None
        self._knows_no_streams = False

    def stream(self) -> tuple[CallConnection, CallStream] | None:
        """Return the open stream for calls and its connection, or None."""
        connection = self._connection
        if connection is None or connection.stream is None:
            return None
        return connection, connection.stream

    def open_stream(self, connection: CallConnection, own_headers: dict[str, str]) -> None:
        """Begin to open a stream for further calls, unless the peer knows none. Runs in asyncio."""
        if not self._knows_no_streams:
            connection.open_stream(own_headers)

    def connection(self) -> CallConnection:
        """Return the connection for a call; a new one if the last one has failed."""
        if self._connection is None or not self._connection.is_usable:
            if self._connection is not None and self._connection.knows_no_streams:
                self._knows_no_streams = True
            self.retire()
            self._connection = CallConnection(self._open_channel())
        return self._connection

    def retire(self) -> None:
        """Use another connection for further calls."""
        if self._connection is not None:
            self._connection.retire()

    def close(self) -> None:
        """Close the connection, and end the calls that use it."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _read_error(opening: asyncio.Future[None]) -> None:
    """Read the error of an attempt, which is logged as forgotten if no call waits any more."""
    if not opening.cancelled():
        opening.exception()
