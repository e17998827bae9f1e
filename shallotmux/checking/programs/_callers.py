"""Callers with kept connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

import h11
import trio

from shallotmux.checking.programs._exchange import (
    FAILURES,
    Connection,
    connect,
    encode_request,
    read_answer,
)
from shallotmux.checking.programs._records import SAFE, STREAM, UNSAFE, Call, Records
from shallotmux.platform import HEADERS

#: Time after which a caller gives a request up, beyond the timeout of its route.
PATIENCE_S = 8.0

#: Longest pause between two requests of a caller, and share of requests with a connection of their own.
MAX_PAUSE_S = 0.1
NEW_CONNECTION_SHARE = 0.1

#: Share of the pauses that are long, and the longest one: four fifths of the idle timeout.
LONG_PAUSE_SHARE = 0.01
LONG_PAUSE_S = 12.0

#: Share of bodies that are sent in chunks, and of those that are sent slowly; longest pause in one.
CHUNKED_SHARE = 0.3
SLOW_SHARE = 0.1
MAX_BODY_PAUSE_S = 0.6
BODY_PARTS = 3

#: Share of requests that follow one another without waiting for the answer.
PIPELINED_SHARE = 0.1

CONNECT_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 4000


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
        connection: Connection | None = None
        while not self.is_stopping:
            await self._pause()
            if connection is None or self.random.random() < NEW_CONNECTION_SHARE:
                await _close(connection)
                connection = await self._connect()
            if connection is not None and not await self._call(connection):
                await _close(connection)
                connection = None
        await _close(connection)

    async def _pause(self) -> None:
        if self.random.random() < LONG_PAUSE_SHARE:
            until = trio.current_time() + self.random.uniform(1, LONG_PAUSE_S)
            while trio.current_time() < until and not self.is_stopping:
                await trio.sleep(MAX_PAUSE_S)
        await trio.sleep(self.random.uniform(0, MAX_PAUSE_S))

    async def _connect(self) -> Connection | None:
        chosen = self.choose_entry()
        if chosen is None:
            return None
        name, address = chosen
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                return await connect(address, name)
        except (OSError, trio.TooSlowError):
            return None

    async def _call(self, connection: Connection) -> bool:
        """Send requests and read their answers; returns whether the connection can be used again."""
        length = 2 if self.random.random() < PIPELINED_SHARE else 1
        # An answer may come, and the connection end, while a second request is still being sent.
        is_slow = length == 1 and self.random.random() < SLOW_SHARE
        calls = [self._make_call(connection) for _ in range(length)]
        protocols = [connection.protocol, *(h11.Connection(h11.CLIENT) for _ in calls[1:])]
        try:
            with trio.move_on_after(PATIENCE_S):
                for call, protocol in zip(calls, protocols, strict=True):
                    connection.protocol = protocol
                    await self._send(connection, call, is_slow=is_slow)
                for call, protocol in zip(calls, protocols, strict=True):
                    _hand_over(connection, protocol)
                    await _receive(connection, call)
        except FAILURES:
            return False
        finally:
            _end_calls(calls)
        last = connection.protocol
        if (last.our_state, last.their_state) != (h11.DONE, h11.DONE):
            return False
        last.start_next_cycle()
        return True

    def _make_call(self, connection: Connection) -> Call:
        kind = self.random.choice((SAFE, UNSAFE, STREAM))
        call = Call(f'q-{next(self._numbers)}', kind, connection.entry)
        call.is_kept = connection.answered > 0
        self.records.calls.append(call)
        return call

    async def _send(self, connection: Connection, call: Call, *, is_slow: bool) -> None:
        body = bytes(self.random.randint(0, MAX_BODY_BYTES))
        is_chunked = self.random.random() < CHUNKED_SHARE
        framing = (b'content-length', str(len(body)).encode())
        headers = [
            (b'host', b'checks.example'),
            (HEADERS.request_id, call.request_id.encode()),
            (HEADERS.deadline, b'3000'),
            (b'transfer-encoding', b'chunked') if is_chunked else framing,
        ]
        head = h11.Request(method=b'POST', target=f'/{call.kind}/1'.encode(), headers=headers)
        content = encode_request(connection, head, body)
        call.began_at = trio.current_time()
        if is_slow:
            size = len(content) // BODY_PARTS
            for _ in range(BODY_PARTS - 1):
                await connection.stream.send_all(content[:size])
                content = content[size:]
                await trio.sleep(self.random.uniform(0, MAX_BODY_PAUSE_S))
        await connection.stream.send_all(content)
        call.sent_at = trio.current_time()


def _hand_over(connection: Connection, protocol: h11.Connection) -> None:
    """Let the state of the next request go on with the bytes behind the answer before it."""
    if connection.protocol is protocol:
        return
    received = connection.protocol.trailing_data[0]
    connection.protocol = protocol
    if received:
        protocol.receive_data(received)


async def _receive(connection: Connection, call: Call) -> None:
    try:
        answer = await read_answer(connection)
    except FAILURES:
        call.is_closed = True
        raise
    call.status = answer.status
    call.body = answer.body
    call.ended_at = trio.current_time()


def _end_calls(calls: list[Call]) -> None:
    for call in calls:
        call.ended_at = min(call.ended_at, trio.current_time())


async def _close(connection: Connection | None) -> None:
    if connection is not None:
        await trio.aclose_forcefully(connection.stream)
