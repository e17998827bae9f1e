"""Set of selectable endpoints, updated incrementally so that a choice needs no scan."""

from __future__ import annotations

from bisect import bisect, insort
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

#: No endpoint is excluded.
NONE_EXCLUDED: frozenset[str] = frozenset()

#: Virtual nodes of each endpoint on the hash ring; more of them even out the shares.
RING_POINTS = 16


def _ring_hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), 'big')


@dataclass(slots=True)
class CandidateSet:
    """A set of endpoint names with sampling in constant time and a consistent-hash ring.

    All instances compute the same ring, so that the first requests with a prefix reach the same
    endpoint even before any cache event arrives.

    :param names: endpoints that may be chosen, in no particular order.
    :param positions: index of each endpoint in ``names``.
    :param ring: sorted pairs of hash and endpoint name.
    :param paused: endpoints on the ring that may not be chosen at present.
    """

    names: list[str] = field(default_factory=list)
    positions: dict[str, int] = field(default_factory=dict)
    ring: list[tuple[int, str]] = field(default_factory=list)
    paused: set[str] = field(default_factory=set)

    def add(self, name: str) -> None:
        """Add an endpoint; adding it twice changes nothing."""
        if name in self.positions or name in self.paused:
            return
        self.positions[name] = len(self.names)
        self.names.append(name)
        for point in range(RING_POINTS):
            insort(self.ring, (_ring_hash(f'{name}/{point}'), name))

    def remove(self, name: str) -> None:
        """Remove an endpoint if it is present."""
        if name in self.paused:
            self.paused.discard(name)
        elif not self._drop(name):
            return
        for point in range(RING_POINTS):
            entry = (_ring_hash(f'{name}/{point}'), name)
            self.ring.pop(bisect(self.ring, entry) - 1)

    def pause(self, name: str) -> None:
        """Make an endpoint ineligible while keeping its ring points, which are costly to update."""
        if self._drop(name):
            self.paused.add(name)

    def resume(self, name: str) -> None:
        """Make a paused endpoint eligible again."""
        if name in self.paused:
            self.paused.discard(name)
            self.positions[name] = len(self.names)
            self.names.append(name)

    def sample(
        self, count: int, random: Random, excluded: frozenset[str] = NONE_EXCLUDED
    ) -> list[str]:
        """Return up to ``count`` distinct names that are not excluded."""
        size = len(self.names)
        if size <= count + len(excluded):
            left = [name for name in self.names if name not in excluded]
            return left if len(left) <= count else random.sample(left, count)
        if not excluded:
            return [self.names[position] for position in random.sample(range(size), count)]
        found: set[str] = set()
        while len(found) < count:
            name = random.choice(self.names)
            if name not in excluded:
                found.add(name)
        return sorted(found)

    def ring_owners(self, block: int, count: int) -> list[str]:
        """Return the first ``count`` eligible endpoints at or after a block's hash on the ring."""
        found: list[str] = []
        start = bisect(self.ring, (block, ''))
        for step in range(min(len(self.ring), count * RING_POINTS)):
            name = self.ring[(start + step) % len(self.ring)][1]
            if name in self.positions and name not in found:
                found.append(name)
            if len(found) >= count:
                break
        return found

    def _drop(self, name: str) -> bool:
        position = self.positions.pop(name, None)
        if position is None:
            return False
        last = self.names.pop()
        if last != name:
            self.names[position] = last
            self.positions[last] = position
        return True
