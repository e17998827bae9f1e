"""Write to a caller who may read slowly, or not at all."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass

import trio

from shallotmux.errors import CallerDisconnected
from shallotmux.membounds import Holding, PeerWait, count_unacknowledged, reset_on_close

#: Bytes of a part that are counted while they wait for the caller. Answers of endpoints come in parts of
#: this size; longer parts are pages, whose readers share them.
MAX_COUNTED_BYTES = 65_536


@dataclass(slots=True)
class CallerWriter:
    """Sends the bytes of answers.

    :param stall_s: returns the time after which a caller who reads nothing counts as gone.
    :param held: counts the bytes that wait for the caller.
    """

    stream: trio.SocketStream
    stall_s: Callable[[], float]
    held: Holding
    wait: PeerWait

    async def send(self, content: bytes) -> None:
        """Send some bytes.

        :raises CallerDisconnected: if the caller reads nothing for :attr:`stall_s`.
        :raises OSError: if the connection is broken or closed.
        """
        await trio.lowlevel.checkpoint()
        sent = _write_now(self.stream, content)
        if sent == len(content):
            return
        counted = min(len(content), MAX_COUNTED_BYTES)
        self.held.add(counted)
        self.wait.begin()
        try:
            await self._send_rest(memoryview(content)[sent:])
        finally:
            self.wait.end()
            self.held.add(-counted)

    async def _send_rest(self, rest: memoryview) -> None:
        sock = self.stream.socket
        unacknowledged = count_unacknowledged(sock)
        while rest:
            sent = 0
            with trio.move_on_after(self.stall_s()):
                sent = await sock.send(rest)
            before, unacknowledged = unacknowledged, count_unacknowledged(sock)
            # The socket becomes writable only after the caller has read much; acknowledged bytes
            # show earlier that it reads.
            if not sent and unacknowledged == before:
                reset_on_close(sock)
                raise CallerDisconnected('the caller reads nothing', step='reply')
            rest = rest[sent:]


def _write_now(stream: trio.SocketStream, content: bytes) -> int:
    """Write without waiting, and return the number of bytes that were accepted."""
    try:
        return os.write(stream.socket.fileno(), content)
    except BlockingIOError:
        return 0
