"""HTTP/1.1 client for streamed answers, with little CPU time for each part."""

from __future__ import annotations

import os
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import h11
import trio

from shallotmux.addresses import split_address
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http._chunked import ChunkedDecoder
from shallotmux.http._client import CONNECT_TIMEOUT_S, READ_TIMEOUT_S, HttpRequest
from shallotmux.http._pump import Accept, IteratorRelay, ReadPump

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
        try:
            await trio.lowlevel.wait_readable(self.stream.socket.fileno())
        except (OSError, trio.ClosedResourceError) as error:
            raise self._broken(error) from error
        return self.read_now(self.stream.socket.fileno())

    def read_now(self, descriptor: int) -> bytes:
        """Return the next bytes of a readable connection."""
        try:
            received = os.read(descriptor, READ_BYTES)
        except OSError as error:
            raise self._broken(error) from error
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

    def _broken(self, error: Exception) -> EndpointError:
        return EndpointError(f'connection broke: {error!r}', step='stream', peer=self.address)


@dataclass(slots=True)
class _RelayResponse:
    """Answer whose body is decoded as it arrives."""

    status: int
    headers: Mapping[str, str]
    connection: _Connection
    pump: ReadPump
    complete: bool = False
    _decoder: ChunkedDecoder = field(default_factory=ChunkedDecoder)
    _plain: IteratorRelay | None = None
    _begun: bool = False

    async def relay(self, accept: Accept, *, gather: bool) -> bool:
        """Pass on the body until the function returns False.

        :param gather: whether bytes may wait, so that one task reads those of many answers.
        :returns: whether more of the body may follow.
        """
        if 'chunked' not in self.headers.get('transfer-encoding', ''):
            self._plain = self._plain or IteratorRelay(self._plain_parts())
            return await self._plain.relay(accept, gather=gather)
        going = True
        if not self._begun:
            self._begun = True
            going = self._pass(accept, self.connection.machine.trailing_data[0])
        while going and not self.complete:
            going = await self._pass_next(accept, gather=gather)
        return not self.complete

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives."""
        if 'chunked' not in self.headers.get('transfer-encoding', ''):
            async for plain in self._plain_parts():
                yield plain
            return
        received = self.connection.machine.trailing_data[0]
        while True:
            part = self._decode(received) if received else b''
            if part:
                yield part
            if self.complete:
                return
            received = self._check(await self.connection.read())

    async def _pass_next(self, accept: Accept, *, gather: bool) -> bool:
        """Pass on what arrives next, and tell whether to go on."""
        if gather and self.pump.running:
            going = True
            connection = self.connection
            descriptor = connection.stream.socket.fileno()

            def step() -> bool:
                nonlocal going
                going = self._pass(accept, self._check(connection.read_now(descriptor)))
                return going and not self.complete

            await self.pump.watch(descriptor, step)
            return going
        return self._pass(accept, self._check(await self.connection.read()))

    def _pass(self, accept: Accept, received: bytes) -> bool:
        part = self._decode(received) if received else b''
        return accept(part) if part else True

    def _decode(self, received: bytes) -> bytes:
        part = self._decoder.feed(received)
        self.complete = self._decoder.done
        return part

    def _check(self, received: bytes) -> bytes:
        if not received:
            raise EndpointError(
                'connection closed within the answer', step='stream', peer=self.connection.address
            )
        return received

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

    :meth:`run` must run as a task beside the requests; it enforces the read timeout and reads the
    answers whose bytes may be gathered.
    """

    def __init__(self, read_timeout_s: float = READ_TIMEOUT_S) -> None:
        self._read_timeout_s = read_timeout_s
        self._idle: dict[str, list[_Connection]] = {}
        self._active: set[_Connection] = set()
        self._pump = ReadPump()

    @asynccontextmanager
    async def stream(self, request: HttpRequest) -> AsyncIterator[_RelayResponse]:
        """Send a request and open its answer."""
        connection = self._take_idle(request.address) or await _connect(request.address)
        self._active.add(connection)
        response: _RelayResponse | None = None
        try:
            response = await _exchange(connection, request, self._pump)
            yield response
        finally:
            self._active.discard(connection)
            if response is not None and _may_reuse(response):
                self._keep(connection)
            else:
                connection.stream.socket.close()

    async def run(self) -> None:
        """Read gathered answers, and end connections that are silent beyond the timeout."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump.run)
            nursery.start_soon(self._watch_silence)

    async def close(self) -> None:
        """Close all idle connections."""
        for kept in self._idle.values():
            for connection in kept:
                connection.stream.socket.close()
        self._idle.clear()
        await trio.lowlevel.checkpoint()

    async def _watch_silence(self) -> None:
        while True:
            await trio.sleep(WATCH_S)
            now = trio.current_time()
            for connection in self._active:
                if now - connection.last_s > self._read_timeout_s:
                    connection.timed_out = True
                    _shut_down(connection)
            for address, kept in list(self._idle.items()):
                self._idle[address] = [each for each in kept if _expire(each, now)]

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
    target = split_address(address)
    family = trio.socket.AF_INET6 if ':' in target.host else trio.socket.AF_INET
    socket = trio.socket.socket(family)
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            await socket.connect(target)
    except (OSError, trio.TooSlowError) as error:
        socket.close()
        raise EndpointRefused(f'cannot connect: {error!r}', step='connect', peer=address) from error
    except BaseException:
        socket.close()
        raise
    return _Connection(address, trio.SocketStream(socket), trio.current_time())


async def _exchange(
    connection: _Connection, request: HttpRequest, pump: ReadPump
) -> _RelayResponse:
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
            return _RelayResponse(event.status_code, names, connection, pump)


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
