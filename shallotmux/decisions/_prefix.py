"""Approximate index from prompt prefixes to the endpoints that have them cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

#: Tokens in a block of the engines' prefix cache.
BLOCK_TOKENS = 2048

#: Endpoints indexed per block; more holders do not improve the choice.
HOLDERS_LIMIT = 8

#: Blocks indexed by one instance: 10 MB with one holder each (docs/CAPACITY.md).
BLOCK_LIMIT = 40_000

#: Probability that an endpoint still holds a block after a gap in its cache events.
STALE_HOLD_PROBABILITY = 0.5


def hash_blocks(prompt: bytes, block_bytes: int) -> tuple[int, ...]:
    """Return a chained hash for each full block of a prompt.

    :param block_bytes: size of a block; a token is about four bytes of text.
    :returns: hashes that each cover their block and all before it, so that equal hashes mean
        equal prefixes.
    """
    chained = b''
    hashes = []
    for start in range(0, len(prompt) - block_bytes + 1, block_bytes):
        digest = blake2b(prompt[start : start + block_bytes], digest_size=8, key=chained)
        chained = digest.digest()
        hashes.append(int.from_bytes(chained, 'big'))
    return tuple(hashes)


@dataclass(slots=True)
class PrefixIndex:
    """Index of the endpoints that probably hold each block.

    A gap in the cache events of an endpoint starts a new generation for it. Entries of an earlier
    generation are stale until they are confirmed, which needs no scan of the index. Generations
    are never reused, so that an endpoint that returns under its name does not revive old entries.

    :param limit: largest number of blocks; the least recently added one is evicted.
    :param holders: for each block, its endpoints and the generation of each entry.
    :param sequences: sequence number of the last cache event by endpoint.
    """

    limit: int = BLOCK_LIMIT
    holders: OrderedDict[int, dict[str, int]] = field(default_factory=OrderedDict)
    generations: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    last_generation: int = 0

    def add(self, endpoint: str, blocks: Sequence[int]) -> None:
        """Record that an endpoint holds blocks, after a dispatch or a cache event."""
        generation = self.generations.get(endpoint) or self.mark_stale(endpoint)
        for block in blocks:
            known = self.holders.setdefault(block, {})
            self.holders.move_to_end(block)
            known.pop(endpoint, None)
            known[endpoint] = generation
            if len(known) > HOLDERS_LIMIT:
                known.pop(next(iter(known)))
        while len(self.holders) > self.limit:
            self.holders.popitem(last=False)

    def discard(self, endpoint: str, block: int) -> None:
        """Record that an endpoint evicted a block."""
        known = self.holders.get(block)
        if known is not None:
            known.pop(endpoint, None)
            if not known:
                self.holders.pop(block)

    def apply_event(self, endpoint: str, sequence: int, block: int, *, stored: bool) -> None:
        """Apply a cache event; a gap in the sequence numbers makes the endpoint's entries stale."""
        last = self.sequences.get(endpoint)
        if last is not None and sequence <= last:
            return
        if last is not None and sequence > last + 1:
            self.mark_stale(endpoint)
        self.sequences[endpoint] = sequence
        if stored:
            self.add(endpoint, (block,))
        else:
            self.discard(endpoint, block)

    def mark_stale(self, endpoint: str) -> int:
        """Make the entries of an endpoint stale and return its new generation."""
        self.last_generation += 1
        self.generations[endpoint] = self.last_generation
        return self.last_generation

    def remove(self, endpoint: str) -> None:
        """Remove the state of an endpoint that left; its entries age out of the index."""
        self.generations.pop(endpoint, None)
        self.sequences.pop(endpoint, None)

    def matches(self, blocks: Sequence[int]) -> dict[str, float]:
        """Return the number of leading blocks that each endpoint is expected to hold.

        :returns: expected number of blocks by endpoint, for a few endpoints at most.
        """
        found: dict[str, float] = {}
        leading: set[str] | None = None
        for block in blocks:
            known = self.holders.get(block, {})
            leading = set(known) if leading is None else leading & known.keys()
            if not leading:
                break
            for endpoint in leading:
                probability = self._hold_probability(endpoint, known[endpoint])
                found[endpoint] = found.get(endpoint, 0) + probability
        return found

    def _hold_probability(self, endpoint: str, generation: int) -> float:
        return 1.0 if generation == self.generations.get(endpoint) else STALE_HOLD_PROBABILITY
