"""Tests of the bounded envelope queue and of the in-memory network between instances."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

import trio
import trio.testing
import trio_asyncio

from shallotmux.transport import Channel, MemoryPeerFabric, PeerEnvelope
from shallotmux.transport._link import (
    MAX_BATCH_BYTES,
    MAX_QUEUED_BYTES,
    MAX_QUEUED_ENVELOPES,
    EnvelopeQueue,
)

SEED = 7


@dataclass
class Recorder:
    """Records payloads with their arrival times."""

    received: list[tuple[bytes, float]] = field(default_factory=list)

    def receive(self, envelope: PeerEnvelope) -> None:
        """Record an envelope's payload."""
        self.received.append((envelope.payload, trio.current_time()))


def make_envelope(payload: bytes) -> PeerEnvelope:
    """Return an envelope from entry-1 to entry-2."""
    return PeerEnvelope('zone-a', 'entry-1', 'entry-2', Channel.REPLICATION, payload)


def test_full_queue_drops_instead_of_growing() -> None:
    """Guards against memory that grows while a peer is unreachable."""
    queue = EnvelopeQueue()
    for _ in range(MAX_QUEUED_ENVELOPES + 3):
        queue.put(make_envelope(b''))
    assert queue.dropped == 3


async def test_fabric_delays_for_paused_and_drops_for_partitioned(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a fabric that drops messages of a paused peer or keeps those of a partition."""
    fabric, recorder = MemoryPeerFabric(Random(SEED), delay_s=0.5), Recorder()
    fabric.handlers['entry-2'] = recorder
    nursery.start_soon(fabric.run)
    fabric.partition('entry-1', 'entry-2')
    fabric.post(make_envelope(b'lost'))
    await trio.sleep(1)
    fabric.heal()
    fabric.pause('entry-2')
    fabric.post(make_envelope(b'held'))
    await trio.sleep(2)
    fabric.resume('entry-2')
    start = trio.current_time()
    fabric.post(make_envelope(b'later'))
    await trio.sleep(1)
    assert recorder.received == [(b'held', start + 0.5), (b'later', start + 0.5)]


async def test_queue_is_bounded_by_bytes() -> None:
    """Guards against a queue to a silent peer that grows with the size of what is sent."""
    size = MAX_BATCH_BYTES // 2
    queue = EnvelopeQueue()
    for _ in range(100):
        queue.put(PeerEnvelope('g', 'a', 'b', Channel.REPLICATION, bytes(size)))
    assert 100 - queue.dropped == MAX_QUEUED_BYTES // size
    taken = 0
    while taken < MAX_QUEUED_BYTES // size:
        batch = await trio_asyncio_batch(queue)
        assert sum(len(each.payload) for each in batch.envelopes) <= MAX_BATCH_BYTES
        taken += len(batch.envelopes)
    queue.put(PeerEnvelope('g', 'a', 'b', Channel.REPLICATION, bytes(2 * MAX_QUEUED_BYTES)))
    batch = await trio_asyncio_batch(queue)
    assert len(batch.envelopes[0].payload) == 2 * MAX_QUEUED_BYTES


async def trio_asyncio_batch(queue: EnvelopeQueue) -> Any:
    """Return the next message of a queue, which runs on an asyncio loop."""
    async with trio_asyncio.open_loop():
        return await trio_asyncio.aio_as_trio(queue.next_batch)()
