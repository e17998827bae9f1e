"""Approximate index from prompt prefixes to the endpoints that hold them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

#: Tokens in a block of the engines' prefix cache.
BLOCK_TOKENS = 2048

#: Endpoints remembered for one block; more holders do not improve the choice.
HOLDERS_LIMIT = 8

#: Blocks remembered by one instance: 10 MB with one holder each (docs/CAPACITY.md).
ENTRY_LIMIT = 40_000

#: Probability that an endpoint still holds a block after a gap in its cache events.
DOUBTFUL_TRUST = 0.5


def hash_blocks(prompt: bytes, block_bytes: int) -> tuple[int, ...]:
    """Return a chained hash for each full block of a prompt.

    :param block_bytes: size of a block; a token is about four bytes of text.
    :returns: hashes in which each covers all blocks before it, so that equal hashes mean equal
        prefixes.
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
    """Which endpoints probably hold a block, as generations seen for each endpoint.

    A gap in the cache events of an endpoint gives it a new generation; entries of another
    generation are doubtful until they are seen again. No scan is needed for it. Generations are
    never used twice, so that an endpoint that returns under its name does not revive old entries.
    """

    limit: int = ENTRY_LIMIT
    holders: OrderedDict[int, dict[str, int]] = field(default_factory=OrderedDict)
    generations: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    last_generation: int = 0

    def add(self, endpoint: str, blocks: Sequence[int]) -> None:
        """Note that an endpoint holds blocks, from a dispatch or an event."""
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
        """Note that an endpoint evicted a block."""
        known = self.holders.get(block)
        if known is not None:
            known.pop(endpoint, None)
            if not known:
                self.holders.pop(block)

    def follow(self, endpoint: str, sequence: int, block: int, *, stored: bool) -> None:
        """Apply a cache event; a gap before it makes the endpoint's entries doubtful."""
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
        """Make the entries of an endpoint doubtful and return its new generation."""
        self.last_generation += 1
        self.generations[endpoint] = self.last_generation
        return self.last_generation

    def remove(self, endpoint: str) -> None:
        """Drop what is kept for an endpoint that left; its entries age out of the index."""
        self.generations.pop(endpoint, None)
        self.sequences.pop(endpoint, None)

    def matches(self, blocks: Sequence[int]) -> dict[str, float]:
        """Return the blocks that endpoints are expected to hold of a prefix.

        :returns: expected leading blocks by endpoint, at most a few endpoints.
        """
        found: dict[str, float] = {}
        leading: set[str] | None = None
        for block in blocks:
            known = self.holders.get(block, {})
            leading = set(known) if leading is None else leading & known.keys()
            if not leading:
                break
            for endpoint in leading:
                trust = self._trust(endpoint, known[endpoint])
                found[endpoint] = found.get(endpoint, 0) + trust
        return found

    def _trust(self, endpoint: str, generation: int) -> float:
        return 1.0 if generation == self.generations.get(endpoint) else DOUBTFUL_TRUST
