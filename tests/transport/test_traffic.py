"""Tests of the count of bytes between instances."""

from __future__ import annotations

import trio
from prometheus_client import CollectorRegistry

from shallotmux.transport import (
    Channel,
    Direction,
    ForwardAnswer,
    GrpcPeerNetwork,
    PeerEnvelope,
    PeerTraffic,
    SelfNamedAddresses,
    TrafficKind,
)

FIRST, SECOND = '127.77.4.1:17790', '127.77.4.2:17790'
ZONES = {FIRST: 'a', SECOND: 'b'}


def find_zone(name: str) -> str:
    """Return the zone of an instance; empty if unknown."""
    return ZONES.get(name, '')


def count_of(traffic: PeerTraffic, kind: str, direction: str, crosses: str) -> float | None:
    """Return a value of the metric."""
    registry = CollectorRegistry()
    traffic.register(registry)
    labels = {'kind': kind, 'direction': direction, 'crosses_zones': crosses}
    return registry.get_sample_value('shallotmux_peer_bytes_total', labels)


def test_bytes_are_told_apart_by_zone() -> None:
    """Guards against bytes of unknown instances that count as bytes within or between zones."""
    traffic = PeerTraffic('a', find_zone, 'polls')
    for peer, size in ((FIRST, 1), (SECOND, 10), ('10.0.0.1:7', 100), (SECOND, 1000)):
        traffic.count(TrafficKind.DATAGRAM, Direction.SENT, peer, size)
    assert count_of(traffic, 'datagram', 'sent', 'no') == 1
    assert count_of(traffic, 'datagram', 'sent', 'yes') == 1010
    assert count_of(traffic, 'datagram', 'sent', 'unknown') == 100
    nowhere = PeerTraffic('', ZONES.__getitem__, 'polls')
    nowhere.count(TrafficKind.DATAGRAM, Direction.SENT, FIRST, 1)
    assert count_of(nowhere, 'datagram', 'sent', 'unknown') == 1


class Handler:
    """Answers each call with five bytes."""

    def __init__(self) -> None:
        self.is_reached = trio.Event()

    def receive(self, envelope: PeerEnvelope) -> None:
        """Record that an envelope has arrived."""
        self.is_reached.set()

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Return an answer."""
        return ForwardAnswer(b'12345')


async def test_both_ends_count_calls_and_envelopes() -> None:
    """Guards against messages that are left out of the count, or counted at one end alone."""
    networks = {}
    traffics = {}
    handler = Handler()
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            for name in ZONES:
                traffics[name] = PeerTraffic(ZONES[name], ZONES.__getitem__, 'polls')
                networks[name] = GrpcPeerNetwork(
                    name, name, SelfNamedAddresses(), None, traffics[name]
                )
                await nursery.start(networks[name].run, handler)
            await networks[FIRST].forward(SECOND, 'polls', b'123', 5)
            await networks[FIRST].forward(SECOND, 'other', b'1234', 5)
            networks[FIRST].send(PeerEnvelope('g', FIRST, SECOND, Channel.REPLICATION, b'12'))
            await handler.is_reached.wait()
            nursery.cancel_scope.cancel()
    sent, received = traffics[FIRST], traffics[SECOND]
    expected = (('poll', 3), ('call', 4), ('replication', 2))
    for kind, size in expected:
        assert count_of(sent, kind, 'sent', 'yes') == size
        assert count_of(received, kind, 'received', 'yes') == size
    for kind in ('poll-answer', 'call-answer'):
        assert count_of(sent, kind, 'received', 'yes') == 5
        assert count_of(received, kind, 'sent', 'yes') == 5
