"""Share queued prefill tokens by engine among entry instances, at a bounded message rate."""

from __future__ import annotations

import zlib
from bisect import bisect
from collections import Counter, OrderedDict
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from heapq import nlargest

import msgspec
import trio

from shallotmux.addresses import split_address
from shallotmux.decoding import guard_decoder

#: Minimum interval between two messages of an instance, and its increase per peer. With these, an
#: instance receives at most 200 messages per second, however many peers there are.
MIN_INTERVAL_S = 0.02
INTERVAL_PER_PEER_S = 0.005

#: Maximum number of peers to which an instance sends its load.
MAX_PEERS = 32

#: Age after which the load of a peer is ignored.
LOAD_TTL_S = 1.0

#: Maximum number of senders whose load is remembered, four times as many as send to one instance.
#: Datagrams may name any, and each remembered one may take 35 KB.
MAX_SENDERS = 128

#: Largest number of queued tokens in a message, far beyond what an engine can hold.
MAX_TOKENS = 1 << 40

#: Maximum size of a message. If there is more to tell, the engines with the longest queues are named.
MAX_MESSAGE_BYTES = 1400

#: Largest sizes of an engine's entry in a message, and of the rest without the sender's name.
MAX_ENTRY_BYTES = 5 + 9
MAX_FRAME_BYTES = 1 + 5 + 9 + 5


class LoadMessage(msgspec.Struct, frozen=True, array_like=True):
    """Queued prefill tokens of one instance.

    :param sender: name and incarnation of the sender.
    :param number: sequence number, by which out-of-order messages are detected.
    :param tokens: queued prefill tokens by checksum of the engine's identity.
    """

    sender: str
    number: int
    tokens: dict[int, int]


@dataclass(frozen=True, slots=True)
class _PeerLoad:
    number: int
    at: float
    tokens: dict[int, int]


_decode = guard_decoder(msgspec.msgpack.Decoder(LoadMessage).decode)


def engine_checksum(identity: str) -> int:
    """Return the checksum that identifies an engine in messages."""
    return zlib.crc32(identity.encode())


class PeerLoads:
    """Queued prefill tokens of the other instances.

    The sum for each engine is kept up to date, since it is read for each engine of each choice.
    """

    def __init__(self) -> None:
        #: Loads by sender, the one received last at the end.
        self._loads: OrderedDict[str, _PeerLoad] = OrderedDict()
        self._totals: Counter[int] = Counter()

    def receive(self, content: bytes) -> None:
        """Process a message; invalid and out-of-order ones are dropped.

        Datagrams may come from anywhere, so an invalid one must not raise.
        """
        try:
            message = _decode(content)
        except msgspec.MsgspecError:
            return
        if any(not 0 <= tokens <= MAX_TOKENS for tokens in message.tokens.values()):
            return
        known = self._loads.get(message.sender)
        if known is not None:
            if message.number <= known.number:
                return
            self._remove(message.sender)
        now = trio.current_time()
        self._loads[message.sender] = _PeerLoad(message.number, now, message.tokens)
        self._totals.update(message.tokens)
        if len(self._loads) > MAX_SENDERS:
            self._remove(next(iter(self._loads)))

    def tokens_at(self, identity: str) -> float:
        """Return the queued prefill tokens of other instances at an engine."""
        self._remove_expired()
        return float(self._totals.get(engine_checksum(identity), 0))

    def _remove_expired(self) -> None:
        oldest = trio.current_time() - LOAD_TTL_S
        while self._loads:
            sender, load = next(iter(self._loads.items()))
            if load.at >= oldest:
                return
            self._remove(sender)

    def _remove(self, sender: str) -> None:
        for engine, tokens in self._loads.pop(sender).tokens.items():
            self._totals[engine] -= tokens
            if not self._totals[engine]:
                self._totals.pop(engine)


def choose_peers(address: str, entries: Sequence[str]) -> tuple[str, ...]:
    """Return the peers to which an instance sends its load.

    These are the next ones in the sorted circle of all instances, so that each instance hears from
    as many peers as it sends to. Instances that are not listed yet send to the first ones.

    :param entries: addresses of all entry instances.
    """
    circle = sorted(each for each in entries if each != address)
    start = bisect(circle, address)
    return tuple((circle[start:] + circle[:start])[:MAX_PEERS])


class LoadSharing:
    """Sends the load of this instance to its peers and receives theirs.

    :param name: name and incarnation of this instance.
    :param address: IP address and port at which messages are received.
    :param peers: returns the addresses of the entry instances.
    :param tokens: returns the queued prefill tokens of this instance by engine identity.
    :param receive_other: processes other messages to the same address; returns whether it knows one.
    """

    def __init__(
        self,
        name: str,
        address: str,
        peers: Callable[[], tuple[str, ...]],
        tokens: Callable[[], Mapping[str, float]],
        receive_other: Callable[[bytes], bool] | None = None,
    ) -> None:
        self._name = name
        self._address = address
        self._peers = peers
        self._tokens = tokens
        self._number = 0
        self._last_sent: dict[int, int] = {}
        self.loads = PeerLoads()
        self._receive_other = receive_other
        self._sock: trio.socket.SocketType | None = None

    def tokens_at(self, identity: str) -> float:
        """Return the estimated queued prefill tokens of all other instances at an engine.

        In a large fleet an instance hears from a part of its peers, and takes the others to be like
        them.
        """
        peers = self._peers()
        others = len(peers) - (self._address in peers)
        scale = max(1.0, others / MAX_PEERS)
        return scale * self.loads.tokens_at(identity)

    async def run(self) -> None:
        """Send and receive until cancelled."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
            await sock.bind(split_address(self._address))
            self._sock = sock
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._receive, sock)
                    nursery.start_soon(self._send, sock)
            finally:
                self._sock = None

    async def send_to(self, peer: str, content: bytes) -> None:
        """Send a message of another kind; it is dropped if that is not possible now."""
        if self._sock is not None:
            # The address may come from a datagram of anybody.
            with suppress(OSError, ValueError):
                await self._sock.sendto(content, split_address(peer))

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            with suppress(OSError):
                content, _ = await sock.recvfrom(MAX_MESSAGE_BYTES)
                if self._receive_other is None or not self._receive_other(content):
                    self.loads.receive(content)

    async def _send(self, sock: trio.socket.SocketType) -> None:
        while True:
            peers = choose_peers(self._address, self._peers())
            await trio.sleep(max(MIN_INTERVAL_S, INTERVAL_PER_PEER_S * len(peers)))
            message = self._next_message()
            if message is None:
                continue
            for peer in peers:
                # The names of instances come from their polls.
                with suppress(OSError, ValueError):
                    await sock.sendto(message, split_address(peer))

    def _next_message(self) -> bytes | None:
        """Return the next message, or None if nothing has changed."""
        tokens = {
            engine_checksum(identity): int(queued)
            for identity, queued in self._tokens().items()
            if queued >= 1
        }
        if tokens == self._last_sent:
            return None
        self._last_sent = tokens
        self._number += 1
        content = msgspec.msgpack.encode(LoadMessage(self._name, self._number, tokens))
        if len(content) <= MAX_MESSAGE_BYTES:
            return content
        room = MAX_MESSAGE_BYTES - MAX_FRAME_BYTES - len(self._name.encode())
        longest = nlargest(room // MAX_ENTRY_BYTES, tokens, key=tokens.__getitem__)
        named = {engine: tokens[engine] for engine in longest}
        return msgspec.msgpack.encode(LoadMessage(self._name, self._number, named))
