"""One request on a connection, and its answer."""

from __future__ import annotations

from dataclasses import dataclass

import h11
import trio

#: Errors of a connection that ended, or of an answer that cannot be read.
FAILURES = (
    trio.TooSlowError,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
)


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer."""

    status: int
    body: bytes


@dataclass(slots=True)
class Connection:
    """A connection to an entry instance.

    :param answered: answers that came on it.
    """

    entry: str
    stream: trio.SocketStream
    protocol: h11.Connection
    answered: int = 0


async def connect(address: str, name: str = '') -> Connection:
    """Open a connection.

    :raises OSError: if the instance does not accept it.
    """
    host, _, port = address.rpartition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    return Connection(name, stream, h11.Connection(h11.CLIENT))


async def exchange(
    address: str, method: bytes, path: str, body: bytes, timeout_s: float
) -> Answer | None:
    """Send a request on a connection of its own; returns None if there is no answer."""
    headers = [(b'host', address.encode()), (b'content-length', str(len(body)).encode())]
    head = h11.Request(method=method, target=path.encode(), headers=headers)
    try:
        with trio.fail_after(timeout_s):
            connection = await connect(address)
            async with connection.stream:
                await connection.stream.send_all(encode_request(connection, head, body))
                return await read_answer(connection)
    except FAILURES:
        return None


def encode_request(connection: Connection, head: h11.Request, body: bytes) -> bytes:
    """Return the bytes of a request."""
    events = (head, h11.Data(data=body), h11.EndOfMessage())
    return b''.join(connection.protocol.send(event) or b'' for event in events)


async def read_answer(connection: Connection) -> Answer:
    """Read an answer to its end.

    :raises ConnectionResetError: if the connection ends before.
    """
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
            connection.answered += 1
            return Answer(status, b''.join(parts))
        else:
            raise ConnectionResetError('no answer')
