"""Messages to the port for instances, as a foreign or faulty client sends them."""

from __future__ import annotations

import h2.config
import h2.connection
import h2.events
import msgspec
import trio

from tests.support.crowds import QUIET_S

CHUNK_BYTES = 16_384

#: Entries of a datagram, near the largest size.
ENTRIES = 90


async def send_long_message(address: str, total: int) -> None:
    """Begin a call with a message that claims 4 GB, and send a part of it.

    It ends when the peer grants no window for a while, closes the connection, or has the bytes.
    """
    host, _, port = address.rpartition(':')
    protocol = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    protocol.initiate_connection()
    protocol.send_headers(
        1,
        [
            (':method', 'POST'),
            (':scheme', 'http'),
            (':path', '/shallotmux.transport.Peer/Forward'),
            (':authority', address),
            ('te', 'trailers'),
            ('content-type', 'application/grpc'),
            ('shallotmux-instance', '127.0.0.1:1'),
        ],
    )
    protocol.send_data(1, b'\x00\xff\xff\xff\xff')
    try:
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await _send_body(stream, protocol, total)
    except (OSError, trio.BrokenResourceError):
        return


async def _send_body(
    stream: trio.SocketStream, protocol: h2.connection.H2Connection, total: int
) -> None:
    while total > 0:
        size = min(CHUNK_BYTES, protocol.local_flow_control_window(1), total)
        if size > 0:
            protocol.send_data(1, bytes(size))
            total -= size
        is_open = False
        with trio.move_on_after(QUIET_S):
            await stream.send_all(protocol.data_to_send())
            is_open = size > 0 or _process(protocol, await stream.receive_some(65_536))
        if not is_open:
            return


def _process(protocol: h2.connection.H2Connection, content: bytes | bytearray) -> bool:
    """Process what the peer sent; returns whether the call goes on."""
    if not content:
        return False
    return not any(isinstance(each, _ENDS) for each in protocol.receive_data(bytes(content)))


_ENDS = (h2.events.StreamReset, h2.events.ConnectionTerminated, h2.events.StreamEnded)


def forge_load(number: int) -> bytes:
    """Return a datagram with the load of an instance that does not exist."""
    tokens = {(number * ENTRIES + each) % (1 << 32): 1 << 39 for each in range(ENTRIES)}
    return msgspec.msgpack.encode((f'10.0.0.1:{number}#1', 1, tokens))
