"""Datagrams of load between entry instances."""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from heapq import nlargest

import msgspec

from shallotmux.decoding import guard_decoder

#: Maximum size of a message. If there is more to tell, the engines with the longest queues and the first
#: reports are sent; neither leaves the other less than half of the room if it needs that.
MAX_MESSAGE_BYTES = 1400

#: Largest sizes of an engine's entry in a message, and of the rest without the sender's name.
MAX_ENTRY_BYTES = 5 + 9
MAX_FRAME_BYTES = 1 + 5 + 9 + 5 + 5


class EndpointReport(msgspec.Struct, frozen=True, array_like=True):
    """Load that an endpoint reported to the sender.

    :param start: number of the start of the endpoint.
    :param running: requests of all instances that it ran.
    :param waiting: requests of all instances that waited there.
    :param slots: requests that it runs at most; 0 if it did not say.
    :param pace_percent: how long work took there; 100 as usual, 200 twice as long.
    :param age_ms: age of the report when the message was sent.
    """

    start: int
    running: int
    waiting: int
    slots: int
    pace_percent: int
    age_ms: int


class LoadMessage(msgspec.Struct, frozen=True, array_like=True):
    """Queued prefill tokens of one instance, and reports that it received.

    An instance of an earlier build sends no reports, and ignores them.

    :param sender: name and incarnation of the sender.
    :param number: sequence number, by which out-of-order messages are detected.
    :param tokens: queued prefill tokens by checksum of the engine's identity.
    :param reports: recent reports of endpoints.
    """

    sender: str
    number: int
    tokens: dict[int, int]
    reports: tuple[EndpointReport, ...] = ()


decode_load_message = guard_decoder(msgspec.msgpack.Decoder(LoadMessage).decode)


def engine_checksum(identity: str) -> int:
    """Return the checksum that identifies an engine in messages."""
    return zlib.crc32(identity.encode())


def encode_load_message(
    sender: str, number: int, tokens: Mapping[int, int], reports: Sequence[EndpointReport] = ()
) -> bytes:
    """Return a message of at most :data:`MAX_MESSAGE_BYTES`.

    :param reports: reports, those that matter most first.
    """
    content = msgspec.msgpack.encode(LoadMessage(sender, number, dict(tokens), tuple(reports)))
    if len(content) <= MAX_MESSAGE_BYTES:
        return content
    room = MAX_MESSAGE_BYTES - MAX_FRAME_BYTES - len(sender.encode())
    sizes = [len(msgspec.msgpack.encode(each)) for each in reports]
    reports_room = max(room // 2, room - MAX_ENTRY_BYTES * len(tokens))
    fitting = _count_fitting(sizes, reports_room)
    tokens_room = room - sum(sizes[:fitting])
    longest = nlargest(tokens_room // MAX_ENTRY_BYTES, tokens, key=tokens.__getitem__)
    named = {engine: tokens[engine] for engine in longest}
    return msgspec.msgpack.encode(LoadMessage(sender, number, named, tuple(reports[:fitting])))


def _count_fitting(sizes: Sequence[int], room: int) -> int:
    """Return how many entries fit, from the first on."""
    used = 0
    for count, size in enumerate(sizes):
        used += size
        if used > room:
            return count
    return len(sizes)
