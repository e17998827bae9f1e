"""Tests of the figures that entry instances share."""

from __future__ import annotations

import msgspec
import trio
import trio.testing

from shallotmux.fleet import LoadSharing, PeerLoads
from shallotmux.fleet._load_sharing import LoadMessage, engine_number


def message(sender: str, number: int, tokens: int) -> bytes:
    """Return a message about one engine."""
    return msgspec.msgpack.encode(LoadMessage(sender, number, {engine_number('e-1'): tokens}))


async def test_figures_of_all_peers_add_up(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against instances that see only their own share of an engine's queue."""
    loads = PeerLoads()
    loads.take(message('a', 1, 100))
    loads.take(message('b', 1, 30))
    assert int(loads.tokens_at('e-1')) == 130
    assert not loads.tokens_at('e-2')


async def test_newest_figures_of_a_peer_count(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against messages that overtake each other, and a peer that counts twice."""
    loads = PeerLoads()
    loads.take(message('a', 2, 50))
    loads.take(message('a', 1, 900))
    assert int(loads.tokens_at('e-1')) == 50


async def test_silent_peer_is_forgotten(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an engine that is avoided for the requests of an instance that is gone."""
    loads = PeerLoads()
    loads.take(message('a', 1, 900))
    await trio.sleep(1.1)
    assert not loads.tokens_at('e-1')


async def test_unreadable_messages_are_dropped(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against datagrams from anywhere that end the task."""
    loads = PeerLoads()
    for content in (b'', b'\xc1', msgspec.msgpack.encode(['a', 'b', 'c']), b'\x00' * 1400):
        loads.take(content)
    assert not loads.tokens_at('e-1')


async def test_instances_hear_each_other() -> None:
    """Guards against figures that are never sent, or not again after they changed."""
    names = ('127.0.91.1:17790', '127.0.91.2:17790')
    unread = {'e-1': 700.0}
    first = LoadSharing('a', names[0], lambda: names, lambda: unread)
    second = LoadSharing('b', names[1], lambda: names, dict)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        nursery.start_soon(second.run)
        with trio.fail_after(5):
            while not second.loads.tokens_at('e-1'):
                await trio.sleep(0.01)
            unread['e-1'] = 40
            while int(second.loads.tokens_at('e-1')) != 40:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
