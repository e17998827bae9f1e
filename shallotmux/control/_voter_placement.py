"""Spread the voters of the control group over the availability zones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence


def crowding(members: Iterable[str], zones: Mapping[str, str]) -> int:
    """Return the sum over the zones of the squared number of members; the lowest is the best spread.

    Members of unknown zones count as those of one zone.
    """
    counts = Counter(zones.get(each, '') for each in members)
    return sum(count * count for count in counts.values())


def choose_learner(
    learners: Sequence[str],
    voters: frozenset[str],
    lost: Collection[str],
    zones: Mapping[str, str],
) -> str:
    """Return the learner whose promotion spreads the voters best.

    The spread of the voters that stay counts first, and then the spread until the lost ones are
    removed. Among equals, the first learner is chosen.
    """
    staying = voters.difference(lost)

    def rank(learner: str) -> tuple[int, int]:
        return crowding((*staying, learner), zones), crowding((*voters, learner), zones)

    return min(learners, key=rank)
