"""HTTP/1.1 client for streamed answers, with little CPU time for each part."""

from __future__ import annotations

import os
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import h11
import trio

from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http._chunked import ChunkedDecoder
from shallotmux.http._client import CONNECT_TIMEOUT_S, READ_TIMEOUT_S, HttpRequest

READ_BYTES = 65_536

#: Idle connections kept to one address.
MAX_IDLE = 64

#: Seconds for which an idle connection is kept; servers close theirs later.
IDLE_S = 30.0

#: Interval at which silent connections are looked for.
WATCH_S = 1.0


@dataclass(slots=True, eq=False)
class _Connection:
    """One connection to an endpoint.

    :param last_s: time of the last byte, or of the return to the idle connections.
    """

    address: str
    stream: trio.SocketStream
    last_s: float
    timed_out: bool = False
    machine: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))

    async def read(self) -> bytes:
        """Return the next bytes; empty at the end of the connection.

        Waits for the socket itself: a cancel scope for each read would cost as much as the read,
        so :meth:`RelayClient.run` ends connections that stay silent.
        """
        descriptor = self.stream.socket.fileno()
        try:
            await trio.lowlevel.wait_readable(descriptor)
            received = os.read(descriptor, READ_BYTES)
        except (OSError, trio.ClosedResourceError) as error:
            raise EndpointError(
                f'connection broke: {error!r}', step='stream', peer=self.address
            ) from error
        if self.timed_out:
            raise EndpointError('no byte within the timeout', step='stream', peer=self.address)
        self.last_s = trio.current_time()
        return received

    def is_usable(self) -> bool:
        """Tell whether an idle connection is still open and has received nothing."""
        try:
            os.read(self.stream.socket.fileno(), 1)
        except BlockingIOError:
            return not self.timed_out
        except OSError:
            return False
        return False


@dataclass(slots=True)
class _RelayResponse:
    """Answer whose body is decoded as it arrives."""

    status: int
    headers: Mapping[str, str]
    connection: _Connection
    complete: bool = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives."""
        if 'chunked' not in self.headers.get('transfer-encoding', ''):
            async for plain in self._plain_parts():
                yield plain
            return
        decoder = ChunkedDecoder()
        received = self.connection.machine.trailing_data[0]
        while True:
            part = decoder.feed(received) if received else b''
            self.complete = decoder.done
            if part:
                yield part
            if decoder.done:
                return
            received = await self.connection.read()
            if not received:
                raise EndpointError(
                    'connection closed within the answer',
                    step='stream',
                    peer=self.connection.address,
                )

    async def _plain_parts(self) -> AsyncIterator[bytes]:
        """Read a body that is not chunked."""
        while True:
            event = await _next_event(self.connection)
            match event:
                case h11.Data(data=content):
                    yield bytes(content)
                case h11.EndOfMessage():
                    self.complete = True
                    return


class RelayClient:
    """Client for streamed answers over plain HTTP/1.1.

    :meth:`run` must run as a task beside the requests; it enforces the read timeout.
    """

    def __init__(self, read_timeout_s: float = READ_TIMEOUT_S) -> None:
        self._read_timeout_s = read_timeout_s
        self._idle: dict[str, list[_Connection]] = {}
        self._active: set[_Connection] = set()

    @asynccontextmanager
    async def stream(self, request: HttpRequest) -> AsyncIterator[_RelayResponse]:
        """Send a request and open its answer."""
        connection = self._take_idle(request.address) or await _connect(request.address)
        self._active.add(connection)
        response: _RelayResponse | None = None
        try:
            response = await _exchange(connection, request)
            yield response
        finally:
            self._active.discard(connection)
            if response is not None and _may_reuse(response):
                self._keep(connection)
            else:
                connection.stream.socket.close()

    async def run(self) -> None:
        """End connections that have been silent for longer than the timeout."""
        while True:
            await trio.sleep(WATCH_S)
            now = trio.current_time()
            for connection in self._active:
                if now - connection.last_s > self._read_timeout_s:
                    connection.timed_out = True
                    _shut_down(connection)
            for address, kept in list(self._idle.items()):
                self._idle[address] = [each for each in kept if _expire(each, now)]

    async def close(self) -> None:
        """Close all idle connections."""
        for kept in self._idle.values():
            for connection in kept:
                connection.stream.socket.close()
        self._idle.clear()
        await trio.lowlevel.checkpoint()

    def _take_idle(self, address: str) -> _Connection | None:
        kept = self._idle.get(address, [])
        while kept:
            connection = kept.pop()
            if connection.is_usable():
                connection.last_s = trio.current_time()
                return connection
            connection.stream.socket.close()
        return None

    def _keep(self, connection: _Connection) -> None:
        kept = self._idle.setdefault(connection.address, [])
        if len(kept) >= MAX_IDLE:
            connection.stream.socket.close()
            return
        connection.machine = h11.Connection(h11.CLIENT)
        connection.last_s = trio.current_time()
        kept.append(connection)


async def _connect(address: str) -> _Connection:
    host, _, port = address.rpartition(':')
    family = trio.socket.AF_INET6 if host.startswith('[') else trio.socket.AF_INET
    socket = trio.socket.socket(family)
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            await socket.connect((host.strip('[]'), int(port)))
    except (OSError, trio.TooSlowError) as error:
        socket.close()
        raise EndpointRefused(f'cannot connect: {error!r}', step='connect', peer=address) from error
    except BaseException:
        socket.close()
        raise
    return _Connection(address, trio.SocketStream(socket), trio.current_time())


async def _exchange(connection: _Connection, request: HttpRequest) -> _RelayResponse:
    """Send a request and read the head of its answer.

    :raises EndpointError: if the connection breaks or the answer is not HTTP.
    """
    headers = [('host', request.address), *request.headers.items()]
    if request.body or request.method != 'GET':
        headers.append(('content-length', str(len(request.body))))
    machine = connection.machine
    try:
        head = machine.send(
            h11.Request(method=request.method, target=request.path, headers=headers)
        )
        body = machine.send(h11.Data(data=request.body)) or b''
        end = machine.send(h11.EndOfMessage()) or b''
        await connection.stream.send_all(b''.join((head or b'', body, end)))
    except (h11.LocalProtocolError, OSError, trio.BrokenResourceError) as error:
        raise EndpointError(
            f'cannot send: {error!r}', step='dispatch', peer=request.address
        ) from error
    while True:
        event = await _next_event(connection)
        if isinstance(event, h11.Response):
            names = {str(key, 'latin-1'): str(text, 'latin-1') for key, text in event.headers}
            return _RelayResponse(event.status_code, names, connection)


async def _next_event(connection: _Connection) -> h11.Event:
    """Return the next event of the answer.

    :raises EndpointError: if the connection breaks or the answer is not HTTP.
    """
    try:
        while True:
            event = connection.machine.next_event()
            if event is not h11.NEED_DATA:
                break
            connection.machine.receive_data(await connection.read())
    except h11.RemoteProtocolError as error:
        raise EndpointError(
            f'invalid answer: {error}', step='stream', peer=connection.address
        ) from error
    if isinstance(event, h11.Event) and not isinstance(event, h11.ConnectionClosed):
        return event
    raise EndpointError('connection closed', step='stream', peer=connection.address)


def _may_reuse(response: _RelayResponse) -> bool:
    return response.complete and response.headers.get('connection', '').lower() != 'close'


def _expire(connection: _Connection, now: float) -> bool:
    """Tell whether an idle connection is kept; close it otherwise."""
    if now - connection.last_s <= IDLE_S:
        return True
    connection.stream.socket.close()
    return False


def _shut_down(connection: _Connection) -> None:
    """Wake the reader of a connection, which then finds that it timed out."""
    try:
        connection.stream.socket.shutdown(trio.socket.SHUT_RDWR)
    except OSError:
        return
