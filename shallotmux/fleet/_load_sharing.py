"""Share queued prefill tokens and load reports among entry instances, at a bounded message rate."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable, Collection, Mapping, Sequence
from contextlib import suppress

import trio

from shallotmux.addresses import split_address
from shallotmux.fleet._load_messages import (
    MAX_MESSAGE_BYTES,
    EndpointReport,
    encode_load_message,
    engine_checksum,
)
from shallotmux.fleet._peer_loads import PeerLoads
from shallotmux.transport import Direction, PeerTraffic, TrafficKind, instance_name

#: Minimum interval between two messages of an instance, and its increase per peer. With these, an
#: instance receives at most 200 messages per second, however many peers there are.
MIN_INTERVAL_S = 0.02
INTERVAL_PER_PEER_S = 0.005

#: Maximum number of peers to which an instance sends its load.
MAX_PEERS = 32

#: Largest factor on the load of peers beyond the own zone. Few of them are heard, and a single prompt of
#: one must not count as a long queue.
MAX_FAR_SCALE = 2.5

#: Difference of the times of two reports below which it may come from rounding their ages.
AGE_ROUNDING_S = 0.002


def choose_peers(
    address: str, entries: Sequence[str], neighbours: Collection[str] = ()
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the peers to which an instance sends its load: those of its zone, and others.

    Those of the own zone come first. In each group, they are the next ones in the sorted circle of all
    instances, so that each instance hears from about as many peers as it sends to. Instances that are
    not listed yet send to the first ones.

    :param entries: addresses of all entry instances.
    :param neighbours: addresses of those of the own zone, as far as they are known.
    """
    near = _next_in_circle(address, neighbours, MAX_PEERS)
    known = frozenset(neighbours)
    others = [each for each in entries if each not in known]
    return near, _next_in_circle(address, others, MAX_PEERS - len(near))


def _next_in_circle(address: str, addresses: Collection[str], most: int) -> tuple[str, ...]:
    circle = sorted(each for each in addresses if each != address)
    start = bisect(circle, address)
    return tuple((circle[start:] + circle[:start])[:most])


def _share_none() -> Sequence[EndpointReport]:
    return ()


def _ignore_reports(_: Sequence[EndpointReport]) -> None:
    """Process no reports."""


def _know_none() -> tuple[str, ...]:
    return ()


class LoadSharing:
    """Sends the load of this instance to its peers and receives theirs.

    :param name: name and incarnation of this instance.
    :param address: IP address and port at which messages are received.
    :param peers: returns the addresses of the entry instances.
    :param tokens: returns the queued prefill tokens of this instance by engine identity.
    :param receive_other: processes other messages to the same address; returns whether it knows one.
    :param neighbours: returns the addresses of the entry instances of the own zone. They also get
        reports of endpoints.
    :param traffic: counts the bytes of all messages.
    """

    def __init__(
        self,
        name: str,
        address: str,
        peers: Callable[[], tuple[str, ...]],
        tokens: Callable[[], Mapping[str, float]],
        receive_other: Callable[[bytes], bool] | None = None,
        neighbours: Callable[[], tuple[str, ...]] = _know_none,
        traffic: PeerTraffic | None = None,
    ) -> None:
        self._traffic = traffic or PeerTraffic()
        self._name = name
        self._address = address
        self._peers = peers
        self._tokens = tokens
        self._number = 0
        self._last_sent: dict[int, int] = {}
        self._last_starts: dict[int, float] = {}
        self._neighbours = neighbours
        self.loads = PeerLoads(lambda sender: instance_name(sender) in self._neighbours())
        self._receive_other = receive_other
        self._sock: trio.socket.SocketType | None = None
        self._scale_key: tuple[tuple[str, ...], tuple[str, ...]] | None = None
        self._scales = (1.0, 1.0)
        #: Returns the reports to be sent, those that matter most first.
        self.share_reports: Callable[[], Sequence[EndpointReport]] = _share_none
        #: Called with the reports of each message.
        self.receive_reports: Callable[[Sequence[EndpointReport]], None] = _ignore_reports

    def tokens_at(self, identity: str) -> float:
        """Return the estimated queued prefill tokens of all other instances at an engine.

        In a large fleet an instance hears from a part of its peers, and takes the others to be like
        them; those of its own zone apart from the rest, as each zone prefers its own engines.
        """
        peers, neighbours = self._peers(), self._neighbours()
        key = self._scale_key
        if key is None or key[0] is not peers or key[1] is not neighbours:
            self._scale_key = (peers, neighbours)
            self._scales = _find_scales(self._address, peers, neighbours)
        return self.loads.tokens_at(identity, *self._scales)

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
                self._count(Direction.SENT, peer, content)

    def receive(self, content: bytes) -> None:
        """Process a datagram, which may come from anywhere."""
        if self._receive_other is not None and self._receive_other(content):
            return
        message = self.loads.receive(content)
        if message is not None and message.reports and message.sender != self._name:
            self.receive_reports(message.reports)

    def next_messages(self) -> tuple[bytes, bytes]:
        """Return the messages to peers of the own zone and to others; empty ones need not be sent.

        Reports go to the own zone alone, since traffic between zones is billed.
        """
        tokens = {
            engine_checksum(identity): int(queued)
            for identity, queued in self._tokens().items()
            if queued >= 1
        }
        reports = self.share_reports()
        now = trio.current_time()
        written_at = {each.start: now - each.age_ms / 1000 for each in reports}
        has_news = tokens != self._last_sent
        if not has_news and not self._has_newer(written_at):
            return b'', b''
        self._last_sent = tokens
        self._last_starts = written_at
        self._number += 1
        near = encode_load_message(self._name, self._number, tokens, reports)
        return near, encode_load_message(self._name, self._number, tokens) if has_news else b''

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            with suppress(OSError):
                content, source = await sock.recvfrom(MAX_MESSAGE_BYTES)
                self._count(Direction.RECEIVED, f'{source[0]}:{source[1]}', content)
                self.receive(content)

    async def _send(self, sock: trio.socket.SocketType) -> None:
        while True:
            near, others = choose_peers(self._address, self._peers(), self._neighbours())
            count = len(near) + len(others)
            await trio.sleep(max(MIN_INTERVAL_S, INTERVAL_PER_PEER_S * count))
            to_near, to_others = self.next_messages()
            await self._send_to_all(sock, near, to_near)
            await self._send_to_all(sock, others, to_others)

    async def _send_to_all(
        self, sock: trio.socket.SocketType, peers: Sequence[str], message: bytes
    ) -> None:
        for peer in peers if message else ():
            # The names of instances come from their polls.
            with suppress(OSError, ValueError):
                await sock.sendto(message, split_address(peer))
                self._count(Direction.SENT, peer, message)

    def _count(self, direction: Direction, peer: str, content: bytes) -> None:
        self._traffic.count(TrafficKind.DATAGRAM, direction, peer, len(content))

    def _has_newer(self, written_at: Mapping[int, float]) -> bool:
        """Return whether a report is newer than the last one sent about the same endpoint."""
        last = self._last_starts
        return any(
            at > last.get(start, float('-inf')) + AGE_ROUNDING_S for start, at in written_at.items()
        )


def _find_scales(
    address: str, entries: Sequence[str], neighbours: Collection[str]
) -> tuple[float, float]:
    """Return by how much there are more instances than are heard, in the own zone and beyond."""
    near, others = choose_peers(address, entries, neighbours)
    near_count = len(set(neighbours) - {address})
    other_count = len(set(entries) - set(neighbours) - {address})
    near_scale = max(1.0, near_count / max(1, len(near)))
    other_scale = max(1.0, other_count / max(1, len(others)))
    return near_scale, min(other_scale, MAX_FAR_SCALE) if near_count else other_scale
