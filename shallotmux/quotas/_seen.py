"""Entry instances that one instance has seen in its lists of late."""

from __future__ import annotations

from collections.abc import Collection, Iterable

#: Time after which an instance that is in no list any more does not count for the majority.
VOTER_TTL_S = 60.0

#: Time after which it does not count for the division of isolated shares. It is long, as an instance that is
#: cut off from this one still uses its share.
SHARER_TTL_S = 900.0

#: Most instances that are counted. Names come from other instances.
MAX_SEEN = 4096


class SeenInstances:
    """Remembers the instances of lists that change.

    While a list holds no majority of the instances, none is forgotten, so that one side of a partition
    does not take itself for the whole.

    :param name: address of this instance.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._seen_at: dict[str, float] = {name: 0.0}
        self._voters: dict[str, float] = {name: 0.0}
        #: Most voters that another instance has told of, and when.
        self._told = 0
        self._told_at = float('-inf')

    @property
    def sharers(self) -> frozenset[str]:
        """Return the instances among which isolated shares are divided."""
        return frozenset(self._seen_at)

    @property
    def voter_names(self) -> Collection[str]:
        """Return the instances that this one has seen of late."""
        return self._voters.keys()

    @property
    def voters(self) -> int:
        """Return how many instances this one has seen of late."""
        return len(self._voters)

    def update(self, entries: Iterable[str], now: float) -> None:
        """Record the present list."""
        listed = dict.fromkeys((self._name, *entries), now)
        self._voters.update(listed)
        if 2 * len(listed) > len(self._voters):
            self._voters = _forget(self._voters, now - VOTER_TTL_S)
        self._seen_at.update(listed)
        self._seen_at = _forget(self._seen_at, now - SHARER_TTL_S)

    def record_told(self, voters: int, now: float) -> None:
        """Record how many instances another one has seen."""
        if voters >= self._told or now - self._told_at > VOTER_TTL_S:
            self._told = min(voters, MAX_SEEN)
            self._told_at = now

    def majority(self, now: float) -> int:
        """Return the smallest number of instances that is a majority."""
        return self._count(len(self._voters), now) // 2 + 1

    def count_sharers(self, now: float) -> int:
        """Return the number of parts of isolated shares."""
        return self._count(len(self._seen_at), now)

    def _count(self, seen: int, now: float) -> int:
        return max(seen, self._told) if now - self._told_at <= VOTER_TTL_S else seen


def _forget(seen_at: dict[str, float], oldest: float) -> dict[str, float]:
    kept = {name: at for name, at in seen_at.items() if at >= oldest}
    if len(kept) <= MAX_SEEN:
        return kept
    newest = sorted(kept.items(), key=lambda each: each[1])[-MAX_SEEN:]
    return dict(newest)
