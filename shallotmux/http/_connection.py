"""Server connections with a fast path for the parts of a streamed response."""

from __future__ import annotations

import os
from collections.abc import Generator
from contextvars import ContextVar
from typing import Any

import trio
from eliot import log_message
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import TCPServer

from shallotmux.http._asgi import WRITER_KEY, AsgiApp, Message, Receive, Scope, Send
from shallotmux.membounds import ConnectionSlots, PeerWait, count_unacknowledged

#: Connection that the current task serves.
_current_connection: ContextVar[ServerConnection | None] = ContextVar('connection', default=None)


class ServerConnection(TCPServer):
    """Serves one connection.

    In HTTP/1.1 each part of a chunked response has its own framing, so after the headers, parts
    are written directly to the socket. The event pipeline of hypercorn takes about 100 µs of CPU
    time per part.
    """

    def __init__(self, slots: ConnectionSlots, *parts: Any) -> None:
        super().__init__(*parts)
        self._slots = slots
        self._scope = trio.CancelScope()
        #: Scope of what is being sent, which a cancellation does not interrupt otherwise.
        self._send_scope = trio.CancelScope()
        #: Wait for a request, or for the caller to read.
        self._wait = PeerWait()
        self._wait.begin()
        #: Whether the caller has closed its sending side, so that nothing more is read.
        self._read_closed = False
        #: Framed bytes of :meth:`write_now` that the socket has not accepted yet.
        self._unsent = b''
        # Stored, since the type check costs more than an attribute look-up and each part needs it.
        self._is_unencrypted = isinstance(self.stream, trio.SocketStream)

    def __await__(self) -> Generator[Any]:
        """Run until the connection is closed."""
        return self._run_logging_errors().__await__()

    @property
    def blocked(self) -> bool:
        """Return whether an accepted part has not been written completely."""
        return bool(self._unsent)

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of the server's protocol.

        ``Updated`` controls the wait for a further request. It is ignored once the caller has closed
        its sending side; otherwise such connections would stay open until the keep-alive timeout.
        """
        if isinstance(event, RawData):
            await self._send_data(event.data)
            return
        if isinstance(event, Updated):
            (self._wait.begin if event.idle else self._wait.end)()
        if not (self._read_closed and isinstance(event, Updated)):
            await super().protocol_send(event)

    def waited_s(self, now: float) -> float:
        """Return how long the connection has waited for the caller."""
        plain = self.stream if self._is_unencrypted else self.stream.transport_stream
        return self._wait.lasted_s(now, count_unacknowledged(plain.socket))

    def evict(self) -> None:
        """Close the connection for a new one."""
        self._send_scope.cancel()
        self._scope.cancel()

    async def write_part(self, part: bytes) -> bool:
        """Write a part of a chunked body.

        :returns: False if the connection failed, so that nothing more may be written.
        """
        frame = self._unsent + (_frame(part) if part else b'')
        self._unsent = b''
        try:
            if self.send_lock.locked() or not self._is_unencrypted:
                await self._send_all(frame)
                return True
            written = _write_now(self.stream, frame)
            if written < len(frame):
                await self._send_all(frame[written:])
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    def write_now(self, part: bytes) -> bool:
        """Write a part of a chunked body without waiting.

        :returns: False if the part was not accepted. Otherwise, if ``blocked`` is then true,
            :meth:`write_part` must be called to write the remainder.
        """
        if self._unsent or not self._is_unencrypted or self.send_lock.locked():
            return False
        frame = _frame(part)
        try:
            written = _write_now(self.stream, frame)
        except (OSError, trio.ClosedResourceError):
            return False
        if written < len(frame):
            self._unsent = frame[written:]
        return True

    async def _read_data(self) -> None:
        await super()._read_data()
        self._read_closed = True
        await self.idle_task.stop()

    async def _send_data(self, content: bytes) -> None:
        """Send what the server's protocol has encoded; a connection that takes nothing is closed."""
        try:
            self._send_scope = trio.CancelScope(shield=True)
            with self._send_scope:
                await self._send_all(content)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await self.protocol.handle(Closed())
            await trio.aclose_forcefully(self.stream)

    async def _send_all(self, frame: bytes) -> None:
        """Send some bytes.

        :raises BrokenResourceError: if the caller does not take them within the keep-alive time.
        """
        async with self.send_lock:
            self._wait.begin()
            is_sent = False
            with trio.move_on_after(self.config.keep_alive_timeout):
                await self.stream.send_all(frame)
                is_sent = True
            self._wait.end()
        if not is_sent:
            raise trio.BrokenResourceError('the caller reads nothing')

    async def _run_logging_errors(self) -> None:
        """Log an error of this connection instead of raising it, as it would end the others."""
        _current_connection.set(self)
        self._slots.occupants.add(self)
        try:
            with self._scope:
                await self.run()
        except Exception as error:
            # The message may quote data of the caller, so only the type of the error is logged.
            log_message(
                message_type='shallotmux:http:connection_failed',
                level='error',
                error=type(error).__name__,
            )
        finally:
            self._slots.occupants.discard(self)
            self._slots.taken -= 1


class DirectApp:
    """Wraps an application so that streamed parts are written directly to the connection."""

    def __init__(self, app: AsgiApp) -> None:
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] == 'websocket':
            # The server responds with 403; without a message it would respond with a server error.
            await send({'type': 'websocket.close'})
            return
        connection = _current_connection.get()
        if (
            connection is not None
            and scope['type'] == 'http'
            and scope['http_version'] == '1.1'
            and scope['method'] != 'HEAD'
        ):
            send = DirectSend(connection, send)
            scope[WRITER_KEY] = send
        await self._app(scope, receive, send)


class DirectSend:
    """Sends the messages of one response.

    Only responses with status 200 and without a content length are chunked and written directly.
    """

    def __init__(self, connection: ServerConnection, send: Send) -> None:
        self._connection = connection
        self._send = send
        self._is_direct = False

    async def __call__(self, message: Message) -> None:
        """Send an ASGI message of the application."""
        if self._is_direct:
            part = message.get('body', b'')
            if part or self._connection.blocked:
                self._is_direct = await self._connection.write_part(part)
            if self._is_direct:
                if message.get('more_body', False):
                    return
                message = {**message, 'body': b''}
        await self._send(message)
        if message['type'] == 'http.response.start':
            self._is_direct = _is_chunked(message)

    @property
    def blocked(self) -> bool:
        """Return whether the remainder of a part is buffered until the next message."""
        return self._connection.blocked

    def write_now(self, part: bytes) -> bool:
        """Write a part without waiting, and return whether it was accepted."""
        return self._is_direct and self._connection.write_now(part)


def _is_chunked(start: Message) -> bool:
    names = {bytes(name).lower() for name, _ in start.get('headers', ())}
    return start['status'] == 200 and not names & {b'content-length', b'transfer-encoding'}


def _frame(part: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(part), part)


def _write_now(stream: Any, frame: bytes) -> int:
    """Write to the socket without waiting and return the number of bytes it accepted."""
    try:
        return os.write(stream.socket.fileno(), frame)
    except BlockingIOError:
        return 0
