"""Share the prompt tokens that instances have under way at engines, at a bounded rate."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass

import msgspec
import trio

from shallotmux.addresses import split_address

#: Shortest interval between two messages of an instance, and its growth with each peer. An instance
#: then receives at most 200 messages a second, however many peers there are.
SHORTEST_INTERVAL_S = 0.02
INTERVAL_PER_PEER_S = 0.005

#: Peers that an instance tells of its load.
MAX_PEERS = 32

#: Age from which the figures of a peer count no more.
FIGURES_LIFE_S = 1.0

#: Largest message that is sent or read.
MAX_MESSAGE_BYTES = 1400


class LoadMessage(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that one instance has under way.

    :param sender: incarnation of the sender.
    :param number: counts the sender's messages, so that late ones are told.
    :param tokens: unread prompt tokens by engine; engines are named by a checksum.
    """

    sender: str
    number: int
    tokens: dict[int, int]


@dataclass(frozen=True, slots=True)
class _PeerLoad:
    number: int
    at: float
    tokens: dict[int, int]


_decode = msgspec.msgpack.Decoder(LoadMessage).decode


def engine_number(identity: str) -> int:
    """Return the number by which an engine is named in messages."""
    return zlib.crc32(identity.encode())


class PeerLoads:
    """Figures of the other instances."""

    def __init__(self) -> None:
        self._loads: dict[str, _PeerLoad] = {}

    def take(self, content: bytes) -> None:
        """Take a message; unreadable and late ones are dropped, as they may come from anywhere."""
        try:
            message = _decode(content)
        except msgspec.MsgspecError:
            return
        known = self._loads.get(message.sender)
        if known is None or message.number > known.number:
            now = trio.current_time()
            self._loads[message.sender] = _PeerLoad(message.number, now, message.tokens)

    def tokens_at(self, identity: str) -> float:
        """Return the tokens that other instances have under way at an engine."""
        oldest = trio.current_time() - FIGURES_LIFE_S
        number = engine_number(identity)
        self._loads = {sender: each for sender, each in self._loads.items() if each.at >= oldest}
        return float(sum(each.tokens.get(number, 0) for each in self._loads.values()))


class LoadSharing:
    """Tells peers what this instance has under way, and hears what they have.

    :param name: identity of this instance; its address is where messages are received.
    :param peers: returns the names of the other entry instances.
    :param tokens: returns the unread tokens of this instance by identity of the engine.
    """

    def __init__(
        self,
        name: str,
        address: str,
        peers: Callable[[], tuple[str, ...]],
        tokens: Callable[[], Mapping[str, float]],
    ) -> None:
        self._name = name
        self._address = address
        self._peers = peers
        self._tokens = tokens
        self._number = 0
        self._last_sent: dict[int, int] = {}
        self.loads = PeerLoads()

    async def run(self) -> None:
        """Send and receive until cancelled."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
            await sock.bind(split_address(self._address))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, sock)
                nursery.start_soon(self._send, sock)

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            with suppress(OSError):
                content, _ = await sock.recvfrom(MAX_MESSAGE_BYTES)
                self.loads.take(content)

    async def _send(self, sock: trio.socket.SocketType) -> None:
        while True:
            peers = tuple(each for each in self._peers() if each != self._address)[:MAX_PEERS]
            await trio.sleep(max(SHORTEST_INTERVAL_S, INTERVAL_PER_PEER_S * len(peers)))
            message = self._next_message()
            if message is None:
                continue
            for peer in peers:
                with suppress(OSError):
                    await sock.sendto(message, split_address(peer))

    def _next_message(self) -> bytes | None:
        """Return the message to send, None if nothing has changed."""
        tokens = {
            engine_number(identity): int(unread)
            for identity, unread in self._tokens().items()
            if unread >= 1
        }
        if tokens == self._last_sent:
            return None
        self._last_sent = tokens
        self._number += 1
        content = msgspec.msgpack.encode(LoadMessage(self._name, self._number, tokens))
        return content if len(content) <= MAX_MESSAGE_BYTES else None
