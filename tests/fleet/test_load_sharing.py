"""Tests of the load that entry instances share."""

from __future__ import annotations

import msgspec
import trio
import trio.testing

from shallotmux.fleet import LoadSharing, PeerLoads
from shallotmux.fleet._load_sharing import LoadMessage, engine_checksum


def message(sender: str, number: int, tokens: int) -> bytes:
    """Return a message about one engine."""
    return msgspec.msgpack.encode(LoadMessage(sender, number, {engine_checksum('e-1'): tokens}))


async def test_loads_of_all_peers_add_up(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against instances that see only their own share of an engine's queue."""
    loads = PeerLoads()
    loads.receive(message('a', 1, 100))
    loads.receive(message('b', 1, 30))
    assert int(loads.tokens_at('e-1')) == 130
    assert not loads.tokens_at('e-2')


async def test_newest_load_of_a_peer_counts(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against out-of-order messages, and a peer that is counted twice."""
    loads = PeerLoads()
    loads.receive(message('a', 2, 50))
    loads.receive(message('a', 1, 900))
    assert int(loads.tokens_at('e-1')) == 50


async def test_load_of_silent_peer_expires(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an engine that is avoided because of requests of a stopped instance."""
    loads = PeerLoads()
    loads.receive(message('a', 1, 900))
    await trio.sleep(1.1)
    assert not loads.tokens_at('e-1')


async def test_invalid_messages_are_dropped(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a datagram from anywhere that ends the receiving task."""
    loads = PeerLoads()
    for content in (b'', b'\xc1', msgspec.msgpack.encode(['a', 'b', 'c']), b'\x00' * 1400):
        loads.receive(content)
    assert not loads.tokens_at('e-1')


async def test_instances_exchange_loads() -> None:
    """Guards against loads that are never sent, or not sent again after a change."""
    names = ('127.0.91.1:17790', '127.0.91.2:17790')
    queued_tokens = {'e-1': 700.0}
    first = LoadSharing('a', names[0], lambda: names, lambda: queued_tokens)
    second = LoadSharing('b', names[1], lambda: names, dict)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        nursery.start_soon(second.run)
        with trio.fail_after(5):
            while not second.loads.tokens_at('e-1'):
                await trio.sleep(0.01)
            queued_tokens['e-1'] = 40
            while int(second.loads.tokens_at('e-1')) != 40:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
