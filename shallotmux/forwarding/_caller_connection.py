"""One connection of a caller: read its requests, and have them answered one after another."""

from __future__ import annotations

import contextlib
import select
import traceback
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import h11
import trio
from eliot import log_message

from shallotmux.errors import CallerDisconnected
from shallotmux.forwarding._caller_reply import CallerReply
from shallotmux.forwarding._caller_writes import CallerWriter
from shallotmux.forwarding._headers import Headers, find_header
from shallotmux.forwarding._messages import CallerRequest
from shallotmux.membounds import (
    Holding,
    PeerWait,
    count_unacknowledged,
    reset_on_close,
    wait_for_end,
)
from shallotmux.routes import CallerLimits

if TYPE_CHECKING:
    from shallotmux.forwarding._listener import HttpListener

#: Bytes of one read, except of a body with a known length. What follows a request is held while the
#: request is answered.
MAX_READ_BYTES = 16_384

#: Largest part of an answer that is joined with its framing before it is sent.
MAX_JOINED_BYTES = 131_072

#: Lines at the end of a traceback that are logged.
TRACEBACK_LINES = 6

#: Timeout for the next bytes of a request body.
BODY_READ_TIMEOUT_S = 5.0

#: Time after the end of a connection in which the handler may record an answer that was sent. Work for a
#: caller that has disconnected ends within 0.5 s.
RECORD_GRACE_S = 0.1

#: Time for which input is discarded after an early answer.
LINGER_S = 0.5

#: Answers a request; an exception ends the connection.
Handler = Callable[[CallerRequest, CallerReply], Awaitable[None]]


class _RequestRejected(Exception):
    """A request is invalid or over a limit; the connection is closed after the answer.

    :param status: HTTP status of the answer.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class _CallerDisconnected(Exception):
    """The caller closed the connection."""


class CallerConnection:
    """One connection of a caller; its requests are handled one after another."""

    def __init__(self, listener: HttpListener, stream: trio.SocketStream) -> None:
        self.listener = listener
        self.stream = stream
        self._header_bytes = listener.limits().header_bytes
        self.protocol = _new_protocol(self._header_bytes)
        self._is_idle = True
        #: Bytes of the present request's body that were read, and what it declares.
        self._body_bytes = 0
        self._length = 0
        self._idle_scope: trio.CancelScope | None = None
        self._scope = trio.CancelScope()
        #: Bytes that were read and not parsed yet, and those of bodies and of answers being sent.
        self._unparsed = Holding(listener.budget)
        self._held = Holding(listener.budget)
        self._wait = PeerWait()
        self._writer = CallerWriter(
            stream, lambda: listener.limits().idle_timeout_s, self._held, self._wait
        )

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        with (
            self._scope,
            contextlib.suppress(
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                CallerDisconnected,
                h11.ProtocolError,
                _CallerDisconnected,
            ),
        ):
            while await self._serve_next():
                self.protocol.start_next_cycle()
        self._unparsed.release()

    async def send(self, event: Any) -> None:
        """Send an event of the answer; a long part is not copied."""
        parts = self.protocol.send_with_data_passthrough(event) or []
        if sum(len(part) for part in parts) <= MAX_JOINED_BYTES:
            parts = [b''.join(parts)]
        try:
            for part in parts:
                await self._writer.send(part)
        except (OSError, trio.ClosedResourceError) as error:
            raise CallerDisconnected(f'{error!r}', step='reply') from error

    def reset_unless_end_is_marked(self) -> None:
        """Make closing the connection a reset if it would look like the end of the present answer.

        That is so for callers of HTTP/1.0, which get no chunks.
        """
        is_open = self.protocol.our_state in {h11.SEND_BODY, h11.ERROR}
        if is_open and self.protocol.their_http_version != b'1.1':
            reset_on_close(self.stream.socket)

    def waited_s(self, now: float) -> float:
        """Return how long the connection has waited for the caller."""
        return self._wait.lasted_s(now, count_unacknowledged(self.stream.socket))

    def evict(self) -> None:
        """Close the connection for a new one; a request that has just arrived is still answered."""
        if self._is_idle and self._idle_scope is not None:
            self._idle_scope.cancel()
            return
        reset_on_close(self.stream.socket)
        self._scope.cancel()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if self._is_idle and self._idle_scope is not None:
            self._idle_scope.cancel()

    async def _serve_next(self) -> bool:
        """Serve one request; returns whether the connection can be kept alive."""
        listener = self.listener
        if not await self._wait_for_request():
            return False
        listener.open_requests += 1
        reply = CallerReply(self)
        try:
            request = await self._read_request()
            reply.has_body = request.method != b'HEAD'
            await self._answer(request, reply)
        except _RequestRejected as rejection:
            await reply.refuse(rejection.status)
            await self._linger()
            return False
        finally:
            listener.open_requests -= 1
            self._give_back_body()
            self._is_idle = True
        states = (self.protocol.our_state, self.protocol.their_state)
        return states == (h11.DONE, h11.DONE)

    def _give_back_body(self) -> None:
        self.listener.buffered_body_bytes -= self._body_bytes
        self._held.release()
        self._body_bytes = 0
        self._length = 0

    async def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request; returns whether it arrived."""
        if self.protocol.trailing_data[0]:
            self._is_idle = False
            self._adopt_limits()
            return True
        if self.listener.is_closed:
            # The last answer may have begun before the drain, without announcing the close.
            return await self._read_waiting()
        limits = self.listener.limits()
        self._idle_scope = trio.move_on_after(limits.idle_timeout_s)
        with self._idle_scope:
            return await self._begin()
        return await self._read_waiting()

    async def _read_waiting(self) -> bool:
        """Read a request that arrived before the close or the end of the idle time, if there is one.

        Closing a connection with unread bytes would reset it, without an answer to the request.
        """
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        if not poll.poll(0):
            return False
        return await self._begin()

    async def _begin(self) -> bool:
        """Read the first bytes of a request; returns whether there are any."""
        content = await self._receive()
        self._is_idle = False
        self._adopt_limits()
        self.protocol.receive_data(content)
        return bool(content)

    async def _receive(self) -> bytes:
        """Read some bytes, few if the budget is short or the next request may follow."""
        missing = self._length - self._body_bytes
        size = min(self.listener.budget.read_bytes, max(MAX_READ_BYTES, missing))
        self._wait.begin()
        content = bytes(await self.stream.receive_some(size))
        self._wait.end()
        self._unparsed.add(len(content))
        return content

    def _adopt_limits(self) -> None:
        """Replace the parser if the limit of a head has changed since the connection was opened."""
        header_bytes = self.listener.limits().header_bytes
        if header_bytes == self._header_bytes:
            return
        self._header_bytes = header_bytes
        ahead = self.protocol.trailing_data[0]
        self.protocol = _new_protocol(header_bytes)
        if ahead:
            self.protocol.receive_data(ahead)

    async def _read_request(self) -> CallerRequest:
        limits = self.listener.limits()
        try:
            with trio.fail_after(limits.header_timeout_s):
                head = await self._next_event()
        except trio.TooSlowError:
            raise _RequestRejected(408) from None
        received_at = trio.current_time()
        if not isinstance(head, h11.Request):
            raise _CallerDisconnected
        if head.method == b'CONNECT':
            # A successful answer would end HTTP on the connection.
            raise _RequestRejected(400)
        headers = tuple((bytes(name), bytes(text)) for name, text in head.headers)
        self._length = _check_head(headers, limits)
        self._check_room(self._length)
        body = await self._read_body(limits.body_bytes)
        self._unparsed.replace(len(self.protocol.trailing_data[0]))
        return CallerRequest(bytes(head.method), bytes(head.target), headers, body, received_at)

    async def _read_body(self, limit: int) -> bytes:
        if self.protocol.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        parts: list[bytes] = []
        while True:
            try:
                with trio.fail_after(BODY_READ_TIMEOUT_S):
                    event = await self._next_event()
            except trio.TooSlowError:
                raise _RequestRejected(408) from None
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                raise _CallerDisconnected
            if self._body_bytes + len(event.data) > limit:
                raise _RequestRejected(413)
            self._check_room(len(event.data))
            self._body_bytes += len(event.data)
            self.listener.buffered_body_bytes += len(event.data)
            self._held.add(len(event.data))
            self._unparsed.add(-len(event.data))
            parts.append(bytes(event.data))

    def _check_room(self, added_bytes: int) -> None:
        """Reject a request whose body does not fit into memory beside those of others."""
        listener = self.listener
        is_full = listener.buffered_body_bytes + added_bytes > listener.max_buffered_bytes
        if is_full or not listener.budget.has_room(added_bytes):
            raise _RequestRejected(503)

    async def _next_event(self) -> object:
        try:
            event = self.protocol.next_event()
            while event is h11.NEED_DATA:
                self.protocol.receive_data(await self._receive())
                event = self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            if self.protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
                raise
            raise _RequestRejected(error.error_status_hint) from error
        return event

    async def _answer(self, request: CallerRequest, reply: CallerReply) -> None:
        """Run the handler, and cancel it when the caller disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, nursery.cancel_scope, reply)
            await self._handle(request, reply)
            nursery.cancel_scope.cancel()
        if not reply.is_finished:
            self.protocol.send_failed()

    async def _handle(self, request: CallerRequest, reply: CallerReply) -> None:
        """Call the handler; an exception in it ends only this request."""
        try:
            await self.listener.handle(request, reply)
        except CallerDisconnected:
            return
        except Exception as error:  # noqa: BLE001
            log_message(
                message_type='shallotmux:handler-fault',
                level='error',
                request=request.text(self.listener.request_id_header),
                error=repr(error),
                at=traceback.format_exc().splitlines()[-TRACEBACK_LINES:],
            )
            with contextlib.suppress(CallerDisconnected, h11.ProtocolError):
                await reply.send_fault()

    async def _watch_caller(self, scope: trio.CancelScope, reply: CallerReply) -> None:
        """Cancel the handler when the connection ends; pipelined requests stay unread.

        A caller may close the connection as soon as it has the whole answer, while the handler still
        reads its end from the endpoint and records it.
        """
        with contextlib.suppress(OSError, trio.ClosedResourceError):
            await wait_for_end(self.stream.socket)
        if reply.is_started:
            await trio.sleep(RECORD_GRACE_S)
        scope.cancel()

    async def _linger(self) -> None:
        """Discard input for a while before closing, so that the caller can read an early answer.

        Closing a socket with unread input resets the connection, which can lose the answer.
        """
        with trio.move_on_after(LINGER_S), contextlib.suppress(trio.BrokenResourceError):
            await self.stream.send_eof()
            content: bytes | bytearray = b'unread'
            while content:
                content = await self.stream.receive_some(MAX_READ_BYTES)


def _new_protocol(header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)


def _check_head(headers: Headers, limits: CallerLimits) -> int:
    """Reject a request with ambiguous framing or beyond the size limits.

    :returns: the length of the body that the head declares, 0 if it does not.

    With both ``Content-Length`` and ``Transfer-Encoding``, two receivers may disagree on where the
    request ends (request smuggling). The parser limits the size only of heads that arrive in parts.

    :raises _RequestRejected: with the status to answer.
    """
    if sum(len(name) + len(text) for name, text in headers) > limits.header_bytes:
        raise _RequestRejected(431)
    length = find_header(headers, b'content-length')
    if length is not None and int(length) > limits.body_bytes:
        raise _RequestRejected(413)
    names = {name for name, _ in headers}
    if b'content-length' in names and b'transfer-encoding' in names:
        raise _RequestRejected(400)
    return int(length or 0)
