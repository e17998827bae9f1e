"""HTTP/1.1 client for streamed responses that needs little CPU time per part."""

from __future__ import annotations

import os
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import h11
import trio

from shallotmux.addresses import split_address
from shallotmux.calls import HttpRequest
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http._chunked import ChunkedDecoder
from shallotmux.http._client import CONNECT_TIMEOUT_S, MIN_REFUSAL_STATUS, READ_TIMEOUT_S
from shallotmux.http._multiplexing import Accept, IteratorRelay, ReadMultiplexer

MAX_READ_BYTES = 65_536

#: Maximum number of idle connections per address.
MAX_IDLE_CONNECTIONS = 64

#: Time after which an idle connection is closed; shorter than the timeouts of the servers.
IDLE_TIMEOUT_S = 30.0

#: Interval of the checks for read timeouts and expired idle connections.
TIMEOUT_CHECK_INTERVAL_S = 1.0


@dataclass(slots=True, eq=False)
class _Connection:
    """One connection to an endpoint.

    :param last_activity_s: time of the last received byte, or of the change to or from idle, in
        seconds.
    :param timed_out: whether the read timeout has passed.
    """

    address: str
    stream: trio.SocketStream
    last_activity_s: float
    timed_out: bool = False
    protocol: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))

    async def read(self) -> bytes:
        """Wait for the next bytes and return them; empty if the server has closed the connection.

        There is no timeout here, since a cancel scope per read would cost as much as the read.
        Instead, :meth:`RelayClient.run` shuts down connections that receive nothing for too long.
        """
        try:
            await trio.lowlevel.wait_readable(self.stream.socket.fileno())
        except (OSError, trio.ClosedResourceError) as error:
            raise self._connection_error(error) from error
        return self.read_now(self.stream.socket.fileno())

    def read_now(self, descriptor: int) -> bytes:
        """Return the next bytes of a readable connection.

        :raises EndpointError: if the connection failed or timed out.
        """
        try:
            received = os.read(descriptor, MAX_READ_BYTES)
        except OSError as error:
            raise self._connection_error(error) from error
        if self.timed_out:
            raise EndpointError('no byte within the timeout', step='stream', peer=self.address)
        self.last_activity_s = trio.current_time()
        return received

    def is_usable(self) -> bool:
        """Return whether an idle connection is still open and has received nothing."""
        try:
            os.read(self.stream.socket.fileno(), 1)
        except BlockingIOError:
            return not self.timed_out
        except OSError:
            return False
        return False

    def _connection_error(self, error: Exception) -> EndpointError:
        return EndpointError(f'connection broke: {error!r}', step='stream', peer=self.address)


@dataclass(slots=True)
class _RelayResponse:
    """Response whose body is decoded as it arrives.

    :param complete: whether the whole body has been received.
    """

    status: int
    headers: Mapping[str, str]
    connection: _Connection
    multiplexer: ReadMultiplexer
    complete: bool = False
    _decoder: ChunkedDecoder = field(default_factory=ChunkedDecoder)
    _unchunked_relay: IteratorRelay | None = None
    _started: bool = False

    @property
    def has_excess(self) -> bool:
        """Return whether bytes have arrived behind the end of the body."""
        if self._started or 'chunked' in self.headers.get('transfer-encoding', ''):
            return self._decoder.has_excess
        return bool(self.connection.protocol.trailing_data[0])

    async def relay(self, accept: Accept, *, coalesce: bool) -> bool:
        """Pass on the body until the function returns False.

        :param coalesce: whether bytes may be delayed so that one task reads many responses.
        :returns: whether more of the body may follow.
        """
        if 'chunked' not in self.headers.get('transfer-encoding', ''):
            self._unchunked_relay = self._unchunked_relay or IteratorRelay(
                self._iterate_unchunked()
            )
            return await self._unchunked_relay.relay(accept, coalesce=coalesce)
        more = True
        if not self._started:
            self._started = True
            more = self._accept_bytes(accept, self.connection.protocol.trailing_data[0])
        while more and not self.complete:
            more = await self._relay_next(accept, coalesce=coalesce)
        return not self.complete

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives."""
        if 'chunked' not in self.headers.get('transfer-encoding', ''):
            async for content in self._iterate_unchunked():
                yield content
            return
        received = self.connection.protocol.trailing_data[0]
        while True:
            part = self._decode(received) if received else b''
            if part:
                yield part
            if self.complete:
                return
            received = self._require_bytes(await self.connection.read())

    async def _relay_next(self, accept: Accept, *, coalesce: bool) -> bool:
        """Pass on the bytes that arrive next, and return whether to continue."""
        if coalesce and self.multiplexer.running:
            more = True
            connection = self.connection
            descriptor = connection.stream.socket.fileno()

            def on_readable() -> bool:
                nonlocal more
                more = self._accept_bytes(
                    accept, self._require_bytes(connection.read_now(descriptor))
                )
                return more and not self.complete

            await self.multiplexer.watch(descriptor, on_readable)
            return more
        return self._accept_bytes(accept, self._require_bytes(await self.connection.read()))

    def _accept_bytes(self, accept: Accept, received: bytes) -> bool:
        part = self._decode(received) if received else b''
        return accept(part) if part else True

    def _decode(self, received: bytes) -> bytes:
        part = self._decoder.feed(received)
        self.complete = self._decoder.done
        return part

    def _require_bytes(self, received: bytes) -> bytes:
        if not received:
            raise EndpointError(
                'connection closed before the end of the response',
                step='stream',
                peer=self.connection.address,
            )
        return received

    async def _iterate_unchunked(self) -> AsyncIterator[bytes]:
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
    """Client for streamed responses over HTTP/1.1 without TLS.

    :meth:`run` must run as a task concurrently with the requests; it enforces the read timeout and
    reads the responses that are relayed with ``coalesce``.

    :param read_timeout_s: time without a received byte after which a request fails, in seconds.
    """

    def __init__(self, read_timeout_s: float = READ_TIMEOUT_S) -> None:
        self._read_timeout_s = read_timeout_s
        self._idle: dict[str, list[_Connection]] = {}
        self._active: set[_Connection] = set()
        self._multiplexer = ReadMultiplexer()

    @asynccontextmanager
    async def stream(self, request: HttpRequest) -> AsyncIterator[_RelayResponse]:
        """Send a request and open its response."""
        connection = self._pop_idle(request.address) or await _connect(request.address)
        self._active.add(connection)
        response: _RelayResponse | None = None
        try:
            response = await _send_request(connection, request, self._multiplexer)
            yield response
        finally:
            self._active.discard(connection)
            if response is not None and _may_reuse(response):
                self._release(connection)
            else:
                connection.stream.socket.close()

    async def run(self) -> None:
        """Read the responses relayed with ``coalesce``, and enforce timeouts, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._multiplexer.run)
            nursery.start_soon(self._enforce_timeouts)

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.stream.socket.close()
        self._idle.clear()
        await trio.lowlevel.checkpoint()

    async def _enforce_timeouts(self) -> None:
        while True:
            await trio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = trio.current_time()
            for connection in self._active:
                if now - connection.last_activity_s > self._read_timeout_s:
                    connection.timed_out = True
                    _shut_down(connection)
            for address, idle in list(self._idle.items()):
                self._idle[address] = [each for each in idle if _keep_unless_expired(each, now)]

    def _pop_idle(self, address: str) -> _Connection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                connection.last_activity_s = trio.current_time()
                return connection
            connection.stream.socket.close()
        return None

    def _release(self, connection: _Connection) -> None:
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            connection.stream.socket.close()
            return
        connection.protocol = h11.Connection(h11.CLIENT)
        connection.last_activity_s = trio.current_time()
        idle.append(connection)


async def _connect(address: str) -> _Connection:
    try:
        target = split_address(address)
    except ValueError as error:
        raise EndpointRefused(str(error), step='connect', peer=address) from error
    family = trio.socket.AF_INET6 if ':' in target.host else trio.socket.AF_INET
    socket = trio.socket.socket(family)
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            await socket.connect(target)
    except (OSError, UnicodeError, trio.TooSlowError) as error:
        socket.close()
        raise EndpointRefused(f'cannot connect: {error!r}', step='connect', peer=address) from error
    except BaseException:
        socket.close()
        raise
    return _Connection(address, trio.SocketStream(socket), trio.current_time())


async def _send_request(
    connection: _Connection, request: HttpRequest, multiplexer: ReadMultiplexer
) -> _RelayResponse:
    """Send a request and read the status and headers of its response.

    :raises EndpointError: if the connection fails or the response is not valid HTTP.
    """
    headers = [('host', request.address), *request.headers.items()]
    if request.body or request.method != 'GET':
        headers.append(('content-length', str(len(request.body))))
    protocol = connection.protocol
    try:
        head = protocol.send(
            h11.Request(method=request.method, target=request.path, headers=headers)
        )
        body = protocol.send(h11.Data(data=request.body)) or b''
        end = protocol.send(h11.EndOfMessage()) or b''
        await connection.stream.send_all(b''.join((head or b'', body, end)))
    except (h11.LocalProtocolError, OSError, trio.BrokenResourceError) as error:
        raise EndpointError(
            f'cannot send: {error!r}', step='dispatch', peer=request.address
        ) from error
    while True:
        event = await _next_event(connection)
        if isinstance(event, h11.Response):
            response_headers = {
                str(key, 'latin-1'): str(text, 'latin-1') for key, text in event.headers
            }
            return _RelayResponse(event.status_code, response_headers, connection, multiplexer)


async def _next_event(connection: _Connection) -> h11.Event:
    """Return the next event of the response.

    :raises EndpointError: if the connection fails or the response is not valid HTTP.
    """
    try:
        while True:
            event = connection.protocol.next_event()
            if event is not h11.NEED_DATA:
                break
            connection.protocol.receive_data(await connection.read())
    except h11.RemoteProtocolError as error:
        raise EndpointError(
            f'invalid response: {error}', step='stream', peer=connection.address
        ) from error
    if isinstance(event, h11.Event) and not isinstance(event, h11.ConnectionClosed):
        return event
    raise EndpointError('connection closed', step='stream', peer=connection.address)


def _may_reuse(response: _RelayResponse) -> bool:
    """Return whether a connection can take another request.

    An endpoint may write an earlier refusal once more, which would answer the next request.
    """
    is_refusal = response.status >= MIN_REFUSAL_STATUS
    is_closing = response.headers.get('connection', '').lower() == 'close'
    return response.complete and not (is_refusal or is_closing or response.has_excess)


def _keep_unless_expired(connection: _Connection, now: float) -> bool:
    """Close an idle connection if it has expired, and return whether it is still open."""
    if now - connection.last_activity_s <= IDLE_TIMEOUT_S:
        return True
    connection.stream.socket.close()
    return False


def _shut_down(connection: _Connection) -> None:
    """Shut down the socket of a timed-out connection, which wakes the task that reads it."""
    try:
        connection.stream.socket.shutdown(trio.socket.SHUT_RDWR)
    except OSError:
        return
