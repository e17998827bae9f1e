"""Callers with kept connections, and an operator."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

import h11
import trio

from shallotmux.checking.programs._records import SAFE, UNSAFE, Call, Records
from shallotmux.platform import GET_PATH, HEADERS, PUT_PATH
from shallotmux.platform._samples import encode_document, read_document_version

#: Time after which a caller gives a request up, beyond the timeout of its route.
PATIENCE_S = 8.0

#: Longest pause between two requests of a caller, and share of requests with a connection of their own.
MAX_PAUSE_S = 0.1
NEW_CONNECTION_SHARE = 0.1

#: Time for one call of the operator, and pause before it is repeated.
OPERATOR_TIMEOUT_S = 1.5
OPERATOR_PAUSE_S = 0.1

_FAILURES = (
    trio.TooSlowError,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
)


@dataclass(slots=True)
class _Connection:
    entry: str
    stream: trio.SocketStream
    protocol: h11.Connection


@dataclass(slots=True)
class Callers:
    """Callers that send one request after another until they are told to stop.

    :param choose_entry: returns name and address of an instance that is ready; None if none is.
    """

    records: Records
    random: Random
    choose_entry: Callable[[], tuple[str, str] | None]
    is_stopping: bool = False
    _numbers: count[int] = field(default_factory=count)

    async def run(self, callers: int) -> None:
        """Send requests until :attr:`is_stopping` is set."""
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(self._call_repeatedly)

    async def _call_repeatedly(self) -> None:
        connection: _Connection | None = None
        while not self.is_stopping:
            await trio.sleep(self.random.uniform(0, MAX_PAUSE_S))
            if connection is None or self.random.random() < NEW_CONNECTION_SHARE:
                await _close(connection)
                connection = await self._connect()
            if connection is not None and not await self._call(connection):
                await _close(connection)
                connection = None
        await _close(connection)

    async def _connect(self) -> _Connection | None:
        chosen = self.choose_entry()
        if chosen is None:
            return None
        name, address = chosen
        host, _, port = address.rpartition(':')
        try:
            with trio.fail_after(1):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError):
            return None
        return _Connection(name, stream, h11.Connection(h11.CLIENT))

    async def _call(self, connection: _Connection) -> bool:
        """Send a request and read its answer; returns whether the connection can be used again."""
        kind = self.random.choice((SAFE, UNSAFE))
        call = Call(f'q-{next(self._numbers)}', kind, connection.entry)
        self.records.calls.append(call)
        try:
            with trio.move_on_after(PATIENCE_S):
                await self._send(connection, call)
                await _read_answer(connection, call)
        except _FAILURES:
            return False
        finally:
            call.ended_at = trio.current_time()
        protocol = connection.protocol
        if (protocol.our_state, protocol.their_state) != (h11.DONE, h11.DONE):
            return False
        protocol.start_next_cycle()
        return True

    async def _send(self, connection: _Connection, call: Call) -> None:
        body = bytes(self.random.randint(0, 4000))
        headers = [
            (b'host', b'checks.example'),
            (HEADERS.request_id, call.request_id.encode()),
            (HEADERS.deadline, b'3000'),
            (b'content-length', str(len(body)).encode()),
        ]
        head = h11.Request(method=b'POST', target=f'/{call.kind}/1'.encode(), headers=headers)
        events = (head, h11.Data(data=body), h11.EndOfMessage())
        content = b''.join(connection.protocol.send(event) or b'' for event in events)
        await connection.stream.send_all(content)
        call.sent_at = trio.current_time()


async def _read_answer(connection: _Connection, call: Call) -> None:
    status, parts = 0, []
    while True:
        event = connection.protocol.next_event()
        if event is h11.NEED_DATA:
            connection.protocol.receive_data(await connection.stream.receive_some())
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            call.status = status
            call.body = b''.join(parts)
            return
        else:
            raise ConnectionResetError('no answer')


async def _close(connection: _Connection | None) -> None:
    if connection is not None:
        await trio.aclose_forcefully(connection.stream)


@dataclass(slots=True)
class Operator:
    """Changes the configuration and reads it back, at any control instance."""

    records: Records
    random: Random
    addresses: Callable[[], list[str]]
    service: str
    version: int = 0

    async def put(self, padding_routes: int = 0) -> None:
        """Send the next version until it is acknowledged."""
        self.version += 1
        version = self.version
        content = encode_document(version, self.service, padding_routes)
        while await self._exchange(b'POST', PUT_PATH, content) is None:
            await trio.sleep(OPERATOR_PAUSE_S)
        self.records.acknowledged = max(self.records.acknowledged, version)

    async def read_back(self, timeout_s: float) -> None:
        """Read the configuration until the acknowledged version is found, or the time is over."""
        with trio.move_on_after(timeout_s):
            while self.records.read_back < self.records.acknowledged:
                content = await self._exchange(b'GET', GET_PATH, b'')
                if content is not None:
                    version = read_document_version(content)
                    self.records.read_back = max(self.records.read_back, version)
                await trio.sleep(OPERATOR_PAUSE_S)

    async def _exchange(self, method: bytes, path: str, body: bytes) -> bytes | None:
        """Return the body of a 200; None for anything else."""
        host, _, port = self.random.choice(self.addresses()).rpartition(':')
        protocol = h11.Connection(h11.CLIENT)
        headers = [(b'host', host.encode()), (b'content-length', str(len(body)).encode())]
        head = h11.Request(method=method, target=path.encode(), headers=headers)
        events = (head, h11.Data(data=body), h11.EndOfMessage())
        content = b''.join(protocol.send(event) or b'' for event in events)
        call = Call('operator', '', host)
        try:
            with trio.fail_after(OPERATOR_TIMEOUT_S):
                async with await trio.open_tcp_stream(host, int(port)) as stream:
                    await stream.send_all(content)
                    await _read_answer(_Connection(host, stream, protocol), call)
        except _FAILURES:
            return None
        return call.body if call.status == 200 else None
