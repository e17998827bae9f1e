"""Tests of the load that entry instances share."""

from __future__ import annotations

from collections import Counter
from random import Random

import msgspec
import pytest
import trio
import trio.testing

from shallotmux.fleet import LoadSharing, PeerLoads
from shallotmux.fleet._load_messages import LoadMessage, engine_checksum
from shallotmux.fleet._load_sharing import MAX_PEERS, choose_peers
from shallotmux.fleet._peer_loads import LOAD_TTL_S, MAX_SENDERS
from tests.support.networks import private_network


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


@pytest.mark.parametrize('tokens', [-1, 2**41, 2**63])
async def test_load_out_of_range_is_dropped(
    autojump_clock: trio.testing.MockClock, tokens: int
) -> None:
    """Guards against a datagram that attracts all prompts to one engine, or keeps them off it."""
    loads = PeerLoads()
    loads.receive(message('a', 1, tokens))
    assert not loads.tokens_at('e-1')


async def test_senders_are_bounded(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against datagrams under many names that fill the memory of an instance without prompts."""
    loads = PeerLoads()
    for number in range(2 * MAX_SENDERS):
        loads.receive(message(f'x-{number}', 1, 1))
    assert loads.tokens_at('e-1') == MAX_SENDERS


@pytest.mark.parametrize('count', [2, 33, 75, 380])
def test_each_instance_hears_from_as_many_peers_as_it_sends_to(count: int) -> None:
    """Guards against a large fleet in which some hear all others and the rest hear nobody."""
    entries = tuple(f'10.0.{number % 7}.{number}:1' for number in range(count))
    heard = Counter(peer for each in entries for peer in choose_peers(each, entries)[1])
    expected = min(count - 1, MAX_PEERS)
    assert {heard[each] for each in entries} == {expected}
    assert all(each not in choose_peers(each, entries)[1] for each in entries)


async def test_unheard_peers_are_taken_to_be_like_the_others(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a queue that looks shorter the more instances share it."""
    entries = tuple(f'10.0.0.{number}:1' for number in range(2 * MAX_PEERS + 1))
    sharing = LoadSharing('a', entries[0], lambda: entries, dict)
    for number in range(MAX_PEERS):
        sharing.loads.receive(message(f'b-{number}', 1, 10))
    assert int(sharing.tokens_at('e-1')) == 10 * 2 * MAX_PEERS


async def test_sums_stay_right_over_many_messages(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against sums that drift from the loads of which they are kept."""
    random = Random(5)
    loads = PeerLoads()
    latest: dict[str, tuple[float, int]] = {}
    for number in range(2000):
        sender = random.choice('abcdefgh')
        tokens = random.randrange(5000)
        loads.receive(message(sender, number, tokens))
        latest[sender] = (trio.current_time(), tokens)
        await trio.sleep(random.choice((0.0, 0.1, 0.4)))
        oldest = trio.current_time() - LOAD_TTL_S
        assert loads.tokens_at('e-1') == sum(held for at, held in latest.values() if at >= oldest)


async def test_instances_exchange_loads() -> None:
    """Guards against loads that are never sent, or not sent again after a change."""
    names = tuple(f'{private_network(92)}.{number}:17790' for number in (1, 2))
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


async def test_more_engines_than_fit_leave_the_longest_queues() -> None:
    """Guards against an instance that tells no load at all while many engines are busy."""
    names = tuple(f'{private_network(150)}.{number}:17790' for number in (1, 2))
    queued_tokens = {f'e-{number}': 1_000_000.0 + number for number in range(500)}
    first = LoadSharing('a', names[0], lambda: names, lambda: queued_tokens)
    second = LoadSharing('b', names[1], lambda: names, dict)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(first.run)
        nursery.start_soon(second.run)
        with trio.fail_after(5):
            while int(second.loads.tokens_at('e-499')) != 1_000_499:
                # A load that does not change is not sent again.
                queued_tokens['e-0'] += 1
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    told = sum(second.loads.tokens_at(each) > 0 for each in queued_tokens)
    assert 90 <= told < len(queued_tokens)
