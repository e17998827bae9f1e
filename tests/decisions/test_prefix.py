"""Tests of the prefix index and the candidate set."""

from __future__ import annotations

from random import Random

from shallotmux.decisions import CandidateSet, PrefixIndex, hash_blocks


def test_block_hash_covers_the_preceding_blocks() -> None:
    """Guards against equal hashes of equal blocks that follow different prefixes."""
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


def test_number_of_holders_of_a_block_is_bounded() -> None:
    """Guards against a widely cached block whose many holders slow down each decision."""
    index = PrefixIndex()
    for position in range(100):
        index.add(f'e{position}', (1,))
    assert len(index.matches((1,))) == 8
    assert 'e99' in index.matches((1,))


def test_gap_makes_entries_stale_until_confirmed() -> None:
    """Guards against relying on blocks whose eviction event may have been lost in the gap."""
    index = PrefixIndex()
    index.apply_event('e0', 1, 7, stored=True)
    index.apply_event('e0', 2, 8, stored=True)
    index.apply_event('e0', 5, 9, stored=True)
    assert index.matches((7, 8)) == {'e0': 1}
    index.add('e0', (7, 8))
    assert index.matches((7, 8)) == {'e0': 2}


def test_endpoint_that_returns_does_not_revive_old_entries() -> None:
    """Guards against relying on the cache of a replaced endpoint, and a leak for removed ones."""
    index = PrefixIndex()
    index.add('e0', (7,))
    index.remove('e0')
    assert not index.generations
    index.add('e0', (8,))
    assert index.matches((7,)) == {'e0': 0.5}
    assert index.matches((8,)) == {'e0': 1}


def test_late_event_does_not_undo_a_newer_one() -> None:
    """Guards against a duplicate or reordered event that restores an evicted block."""
    index = PrefixIndex()
    index.apply_event('e0', 1, 7, stored=True)
    index.apply_event('e0', 2, 7, stored=False)
    index.apply_event('e0', 1, 7, stored=True)
    assert not index.matches((7,))


def test_match_ends_at_the_first_missing_block() -> None:
    """Guards against counting blocks after a missing one, which save no prefill work."""
    index = PrefixIndex()
    index.add('e0', (1, 3))
    index.add('e1', (1, 2))
    assert index.matches((1, 2, 3)) == {'e0': 1, 'e1': 2}


def test_candidate_set_stays_consistent_under_changes() -> None:
    """Guards against a sample that contains a removed endpoint or misses a new one."""
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
