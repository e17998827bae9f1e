"""Connections of the server, with a short way for the parts of a streamed answer."""

from __future__ import annotations

import os
from collections.abc import Generator
from contextvars import ContextVar
from typing import Any

import trio
from eliot import log_message
from hypercorn.events import Event, Updated
from hypercorn.trio.tcp_server import TCPServer

from shallotmux.http._asgi import WRITER_KEY, AsgiApp, Message, Receive, Scope, Send

#: Connection in whose task the current code runs.
_current: ContextVar[ServerConnection | None] = ContextVar('connection', default=None)


class ServerConnection(TCPServer):
    """Serves one connection.

    In HTTP/1.1 a part of a chunked answer is framed by itself, so once the head is out, parts are
    written to the socket directly. The server's own way through its event pipeline cost about
    100 µs of CPU for each part.
    """

    def __init__(self, *parts: Any) -> None:
        super().__init__(*parts)
        #: Whether the caller has ended its sending side, after which nothing more is read.
        self._ended = False
        #: Framed bytes that the socket did not take from :meth:`write_now`.
        self._rest = b''
        # The check of the type costs more than a look-up, and is needed for each part.
        self._is_plain = isinstance(self.stream, trio.SocketStream)

    def __await__(self) -> Generator[Any]:
        """Run until the connection is closed."""
        return self._run_guarded().__await__()

    @property
    def blocked(self) -> bool:
        """Tell whether a part was taken that is not yet written to its end."""
        return bool(self._rest)

    async def protocol_send(self, event: Event) -> None:
        """Send what the server's protocol asks for.

        The wait for a further request is skipped once the caller has closed its side; otherwise
        every connection that a caller closes would stay open until the keep-alive timeout.
        """
        if not (self._ended and isinstance(event, Updated)):
            await super().protocol_send(event)

    async def write_part(self, part: bytes) -> bool:
        """Write a part of a chunked body.

        :returns: False if the connection is broken and nothing may follow.
        """
        framed = self._rest + (_frame(part) if part else b'')
        self._rest = b''
        try:
            if self.send_lock.locked() or not self._is_plain:
                await self._write_waiting(framed)
                return True
            written = _write_now(self.stream, framed)
            if written < len(framed):
                await self._write_waiting(framed[written:])
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    def write_now(self, part: bytes) -> bool:
        """Write a part of a chunked body without waiting.

        :returns: False if nothing was taken. Otherwise the caller sees to it that
            :meth:`write_part` is called when ``blocked`` is true.
        """
        if self._rest or not self._is_plain or self.send_lock.locked():
            return False
        framed = _frame(part)
        try:
            written = _write_now(self.stream, framed)
        except (OSError, trio.ClosedResourceError):
            return False
        if written < len(framed):
            self._rest = framed[written:]
        return True

    async def _read_data(self) -> None:
        await super()._read_data()
        self._ended = True
        await self.idle_task.stop()

    async def _write_waiting(self, framed: bytes) -> None:
        async with self.send_lock:
            await self.stream.send_all(framed)

    async def _run_guarded(self) -> None:
        """Keep an error on one connection from reaching the others."""
        _current.set(self)
        try:
            await self.run()
        except Exception as error:
            # The message may quote what the caller sent, so only the kind of error is logged.
            log_message(
                message_type='shallotmux:http:connection_failed',
                level='error',
                error=type(error).__name__,
            )


class DirectApp:
    """Passes requests to an application and its streamed parts directly to the connection."""

    def __init__(self, app: AsgiApp) -> None:
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] == 'websocket':
            # Refused with 403; without an answer the server would report a fault of its own.
            await send({'type': 'websocket.close'})
            return
        connection = _current.get()
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
    """Sends the messages of one answer.

    Only answers with status 200 and without a length are chunked and go the direct way.
    """

    def __init__(self, connection: ServerConnection, send: Send) -> None:
        self._connection = connection
        self._send = send
        self._direct = False

    async def __call__(self, message: Message) -> None:
        """Send a message of the application."""
        if self._direct:
            part = message.get('body', b'')
            if part or self._connection.blocked:
                self._direct = await self._connection.write_part(part)
            if self._direct:
                if message.get('more_body', False):
                    return
                message = {**message, 'body': b''}
        await self._send(message)
        if message['type'] == 'http.response.start':
            self._direct = _is_chunked(message)

    @property
    def blocked(self) -> bool:
        """Tell whether the rest of a part waits to be sent with the next message."""
        return self._connection.blocked

    def write_now(self, part: bytes) -> bool:
        """Write a part, and tell whether it was taken."""
        return self._direct and self._connection.write_now(part)


def _is_chunked(start: Message) -> bool:
    names = {bytes(name).lower() for name, _ in start.get('headers', ())}
    return start['status'] == 200 and not names & {b'content-length', b'transfer-encoding'}


def _frame(part: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(part), part)


def _write_now(stream: Any, framed: bytes) -> int:
    """Return how many bytes the socket took without waiting."""
    try:
        return os.write(stream.socket.fileno(), framed)
    except BlockingIOError:
        return 0
