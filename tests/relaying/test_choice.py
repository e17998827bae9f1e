"""Tests of the choice of a peer that relays requests, as a pure function."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from shallotmux.relaying import PeerView, choose_peer

#: Instances that are cut off, peers that are not, and requests in all.
CUT_OFF = 50
PEERS = 150
REQUESTS = 2000

Choose = Callable[[list[PeerView], Callable[[], float]], PeerView | None]


def test_neighbours_come_first() -> None:
    """Guards against bytes between zones while peers of the own zone reach the endpoints."""
    peers = [PeerView('far'), PeerView('near', is_neighbour=True)]
    draw = Random(1).random
    assert {choose_peer(peers, draw).name for _ in range(20)} == {'near'}  # type: ignore[union-attr]
    cut = [PeerView('far'), PeerView('near', is_neighbour=True, is_cut_off=True)]
    assert {choose_peer(cut, draw).name for _ in range(20)} == {'far'}  # type: ignore[union-attr]


def test_nobody_is_asked_if_nobody_reaches_the_service() -> None:
    """Guards against peers that are burdened with requests that they must decline."""
    peers = [PeerView('a', is_cut_off=True), PeerView('b', is_avoided=True)]
    assert choose_peer(peers, Random(1).random) is None
    assert choose_peer([], Random(1).random) is None


def test_load_is_spread_better_than_by_a_naive_choice() -> None:
    """Guards against a quarter of a fleet that sends all its requests to the same few peers.

    Fifty instances that are cut off see the loads of 150 peers as they were a moment ago. A naive
    choice of the least loaded peer sends all of a round to one of them.
    """
    random = _spread(choose_peer)
    naive = _spread(lambda views, _: min(views, key=lambda each: each.load))
    mean = REQUESTS / PEERS
    assert max(random.values()) < 2 * mean
    assert max(naive.values()) >= 3 * mean


def _spread(choose: Choose) -> Counter[str]:
    """Return how many requests each peer gets, in rounds in which all see the same loads."""
    draw = Random(3).random
    load: Counter[str] = Counter()
    for _ in range(REQUESTS // CUT_OFF):
        views = [PeerView(f'p-{number}', load=load[f'p-{number}']) for number in range(PEERS)]
        chosen = [choose(views, draw) for _ in range(CUT_OFF)]
        load.update(each.name for each in chosen if each is not None)
    return load
