"""Load generator of the benchmark, on plain sockets to keep its own overhead low."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from time import perf_counter

import msgspec
import trio

from shallotmux.addresses import split_address

MAX_RECEIVE_BYTES = 65_536
EVENT_ID_MARKER = b'\nid: '
DONE_MARKER = b'data: [DONE]'


@dataclass(frozen=True, slots=True)
class Target:
    """Address and requests of a kind of calls.

    :param build: returns the encoded HTTP request for a number of tokens.
    """

    address: str
    build: Callable[[int], bytes]


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of one completed call.

    :param first_byte_s: seconds from sending the call to the first event.
    :param events: number of token events received.
    """

    first_byte_s: float
    events: int


def encode_request(address: str, path: str, content: object, headers: dict[str, str]) -> bytes:
    """Return an encoded POST request that asks the server to close the connection."""
    body = msgspec.json.encode(content)
    lines = [
        f'POST {path} HTTP/1.1',
        f'host: {address}',
        f'content-length: {len(body)}',
        'connection: close',
        *(f'{name}: {text}' for name, text in headers.items()),
    ]
    return '\r\n'.join((*lines, '', '')).encode() + body


async def send_call(target: Target, tokens: int) -> CallResult:
    """Send one call and read the whole stream.

    :raises RuntimeError: if the stream is incomplete.
    """
    address = split_address(target.address)
    payload = target.build(tokens)
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        started = perf_counter()
        await stream.send_all(payload)
        received = bytearray()
        first_byte_s = 0.0
        while True:
            part = await stream.receive_some(MAX_RECEIVE_BYTES)
            if not part:
                break
            received += part
            if not first_byte_s and b'data: ' in received:
                first_byte_s = perf_counter() - started
    events = received.count(EVENT_ID_MARKER)
    if DONE_MARKER not in received or events != tokens:
        raise RuntimeError(
            f'received {events} of {tokens} tokens; response began with {bytes(received[:200])!r}'
        )
    return CallResult(first_byte_s, events)


async def send_many(target: Target, streams: int, tokens: int) -> int:
    """Run concurrent streams and return the number of tokens received."""
    events: list[int] = []

    async def run_one() -> None:
        events.append((await send_call(target, tokens)).events)

    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(run_one)
    return sum(events)
