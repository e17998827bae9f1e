"""Tests of the prefix index and the candidate set."""

from __future__ import annotations

from random import Random

from shallotmux.decisions import CandidateSet, PrefixIndex, hash_blocks


def test_hash_blocks_covers_what_comes_before() -> None:
    """Guards against equal hashes of equal blocks behind different prefixes."""
    first = hash_blocks(b'aaaaabbbbbc', 5)
    second = hash_blocks(b'xxxxxbbbbb', 5)
    assert len(first) == 2
    assert first[1] != second[1]
    assert hash_blocks(b'aaaaazzzzz', 5)[0] == first[0]


def test_index_memory_is_bounded() -> None:
    """Guards against memory that grows with the number of prompts."""
    index = PrefixIndex(limit=100)
    for block in range(1000):
        index.add('e0', (block,))
    assert len(index.holders) == 100
    assert index.matches((999,)) == {'e0': 1}


def test_index_bounds_the_holders_of_a_hot_block() -> None:
    """Guards against a hot block whose holders make every decision slow."""
    index = PrefixIndex()
    for place in range(100):
        index.add(f'e{place}', (1,))
    assert len(index.matches((1,))) == 8
    assert 'e99' in index.matches((1,))


def test_gap_makes_entries_doubtful_until_seen_again() -> None:
    """Guards against full trust in blocks whose eviction may be in the gap."""
    index = PrefixIndex()
    index.follow('e0', 1, 7, stored=True)
    index.follow('e0', 2, 8, stored=True)
    index.follow('e0', 5, 9, stored=True)
    assert index.matches((7, 8)) == {'e0': 1}
    index.add('e0', (7, 8))
    assert index.matches((7, 8)) == {'e0': 2}


def test_endpoint_that_returns_does_not_revive_old_entries() -> None:
    """Guards against trust in the cache of a replaced endpoint, and memory for removed ones."""
    index = PrefixIndex()
    index.add('e0', (7,))
    index.remove('e0')
    assert not index.generations
    index.add('e0', (8,))
    assert index.matches((7,)) == {'e0': 0.5}
    assert index.matches((8,)) == {'e0': 1}


def test_late_event_does_not_undo_a_newer_one() -> None:
    """Guards against a repeated or reordered event that brings back an evicted block."""
    index = PrefixIndex()
    index.follow('e0', 1, 7, stored=True)
    index.follow('e0', 2, 7, stored=False)
    index.follow('e0', 1, 7, stored=True)
    assert not index.matches((7,))


def test_match_ends_at_the_first_missing_block() -> None:
    """Guards against counting blocks behind a missing one, which save nothing."""
    index = PrefixIndex()
    index.add('e0', (1, 3))
    index.add('e1', (1, 2))
    assert index.matches((1, 2, 3)) == {'e0': 1, 'e1': 2}


def test_candidate_set_stays_consistent_under_changes() -> None:
    """Guards against a sample that names a removed endpoint or misses a new one."""
    random = Random(5)
    candidates, model = CandidateSet(), set[str]()
    for _ in range(600):
        name = f'e{random.randrange(30)}'
        if random.randrange(2):
            candidates.add(name)
            model.add(name)
        else:
            candidates.remove(name)
            model.discard(name)
        assert set(candidates.sample(100, random)) == model
        assert {name for _, name in candidates.ring} == model
        ring_owners = candidates.ring_owners(random.getrandbits(64), 2)
        assert len(ring_owners) == min(2, len(model))
