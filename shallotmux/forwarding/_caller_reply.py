"""Send the answer to one request of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from shallotmux.forwarding._headers import Headers

if TYPE_CHECKING:
    from shallotmux.forwarding._caller_connection import CallerConnection

#: Value of ``Retry-After`` in refusals for want of memory, about the time in which a body is read and
#: its request answered.
FULL_RETRY_AFTER_S = 0.5

#: Status of answers to requests whose handler failed.
FAULT_STATUS = 502


class CallerReply:
    """Sends the answer to one request of a caller."""

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        #: Whether the answer has a body; what is sent as one is left out otherwise.
        self.has_body = True
        self.is_started = False
        self.is_finished = False

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        if self._connection.listener.is_draining:
            headers = (*headers, (b'connection', b'close'))
        head = h11.Response(status_code=status, headers=list(headers))
        self.is_started = True
        await self._connection.send(head)

    async def send_part(self, content: bytes) -> None:
        """Send a part of the body."""
        if content and self.has_body:
            await self._connection.send(h11.Data(data=content))

    async def finish(self) -> None:
        """End the body as complete."""
        await self._connection.send(h11.EndOfMessage())
        self.is_finished = True

    def abort(self) -> None:
        """Close the connection, so that the caller sees the answer as incomplete."""
        self._connection.reset_unless_end_is_marked()
        self._connection.stream.socket.close()

    async def send_fault(self) -> None:
        """Answer a request whose handler failed, unless an answer has begun.

        The request may have run, so the status promises nothing.
        """
        if not self.is_started:
            await self.send_head(FAULT_STATUS, ((b'content-length', b'0'),))
            await self.finish()

    async def refuse(self, status: int) -> None:
        """Answer an invalid request with a status, and announce the end of the connection."""
        if self.is_started:
            return
        headers: Headers = ((b'content-length', b'0'), (b'connection', b'close'))
        if status == 503:
            headers = (*headers, (b'retry-after', str(FULL_RETRY_AFTER_S).encode()))
        await self.send_head(status, headers)
        await self.finish()
