"""Tests of what an instance knows of its peers as relays."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.relaying import RelayPeers
from shallotmux.relaying._peers import AVOID_S, DECLINED_S, MAX_DECLINED

OWN = '10.0.0.1:7780'
OTHERS = tuple(f'10.0.0.{number}:7780' for number in range(2, 10))


def make_peers(**changes: object) -> RelayPeers:
    """Return the peers of an instance among nine."""
    fields: dict[str, object] = {'entries': lambda: (OWN, *OTHERS)}
    fields.update(changes)
    return RelayPeers(OWN, 7781, **fields)  # type: ignore[arg-type]


async def test_own_instance_and_strangers_are_no_peers() -> None:
    """Guards against requests relayed to the instance itself, or for callers from anywhere."""
    peers = make_peers()
    chosen = {peers.choose('desk', ()).name for _ in range(200)}  # type: ignore[union-attr]
    assert chosen == set(OTHERS)
    assert peers.accepts('10.0.0.2')
    assert not peers.accepts('10.0.0.77')
    assert not make_peers(entries=lambda: (OWN,)).has_peers


async def test_instance_without_a_port_relays_nothing() -> None:
    """Guards against relays in deployments that do not set them up."""
    assert RelayPeers().choose('desk', ()) is None
    assert not RelayPeers().has_peers


async def test_peer_that_does_not_answer_is_avoided_for_a_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against each request waiting for the same dead peer."""
    peers = make_peers(entries=lambda: (OWN, OTHERS[0]))
    peer = peers.choose('desk', ())
    assert peer is not None
    peers.record_unreachable(peer)
    assert peers.choose('desk', ()) is None
    await trio.sleep(AVOID_S)
    assert peers.choose('desk', ()) is peer


async def test_requests_are_refused_at_once_if_no_peer_reaches_the_service(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an outage of a service that doubles the load of all instances."""
    peers = make_peers()
    asked = 0
    for _ in range(50):
        peer = peers.choose('desk', ())
        if peer is not None:
            asked += 1
            peers.record_declined(peer, 'desk')
    assert asked == MAX_DECLINED
    assert peers.choose('other', ()) is not None
    await trio.sleep(DECLINED_S)
    assert peers.choose('desk', ()) is not None


async def test_peers_known_to_be_cut_off_are_left_out() -> None:
    """Guards against requests sent to the other instances of a zone that is cut off."""
    peers = make_peers(cut_off=lambda _: OTHERS[1:])
    assert {peers.choose('desk', ()).name for _ in range(30)} == {OTHERS[0]}  # type: ignore[union-attr]


async def test_load_that_a_peer_reports_counts_without_the_own_requests() -> None:
    """Guards against counting the requests of this instance twice."""
    peers = make_peers()
    peer = peers.choose('desk', ())
    assert peer is not None
    with peer:
        peers.record_served(peer, 'desk', 5)
        assert (peer.in_flight, peer.load) == (1, 4)
    assert peer.in_flight == 0
