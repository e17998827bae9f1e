"""Tests of bounded queues and of the in-memory network between instances."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import trio
import trio.testing

from shallotmux.transport import Channel, MemoryPeerFabric, PeerEnvelope
from shallotmux.transport._link import QUEUE_ENVELOPES, EnvelopeQueue

SEED = 7


@dataclass
class Sink:
    """Keeps payloads with their arrival times."""

    got: list[tuple[bytes, float]] = field(default_factory=list)

    def receive(self, envelope: PeerEnvelope) -> None:
        """Keep an envelope."""
        self.got.append((envelope.payload, trio.current_time()))


def envelope(payload: bytes) -> PeerEnvelope:
    """Return an envelope from entry-1 to entry-2."""
    return PeerEnvelope('zone-a', 'entry-1', 'entry-2', Channel.REPLICATION, payload)


def test_full_queue_drops_instead_of_growing() -> None:
    """Guards against memory that grows while a peer is absent."""
    queue = EnvelopeQueue()
    for _ in range(QUEUE_ENVELOPES + 3):
        queue.put(envelope(b''))
    assert queue.dropped == 3


async def test_fabric_holds_for_paused_and_loses_for_cut(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against pauses and cuts that do not do to messages what tests rely on."""
    fabric, sink = MemoryPeerFabric(Random(SEED), delay_s=0.5), Sink()
    fabric.handlers['entry-2'] = sink
    nursery.start_soon(fabric.run)
    fabric.partition('entry-1', 'entry-2')
    fabric.post(envelope(b'lost'))
    await trio.sleep(1)
    fabric.heal()
    fabric.pause('entry-2')
    fabric.post(envelope(b'held'))
    await trio.sleep(2)
    fabric.resume('entry-2')
    start = trio.current_time()
    fabric.post(envelope(b'later'))
    await trio.sleep(1)
    assert sink.got == [(b'held', start + 0.5), (b'later', start + 0.5)]
