"""Spread the voters of the control group over the availability zones."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

#: Time for which all voters and the learner must have been live, and the voters the same, before a
#: live voter is exchanged. It exceeds the time after which a silent voter is replaced, so instances
#: that restart one after the other, or stand still, cause no further changes.
SPREAD_AFTER_S = 10.0


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


def choose_exchange(
    learners: Sequence[str], voters: frozenset[str], zones: Mapping[str, str]
) -> str | None:
    """Return the learner to promote in exchange for a voter of a more crowded zone, or None.

    The leader stays, since the zone of the voter that is removed has another voter. Without the zones
    of all voters, none is exchanged.
    """
    known = [each for each in learners if each in zones]
    if not known or not all(each in zones for each in voters):
        return None
    learner = choose_learner(known, voters, (), zones)
    after = min(crowding((voters - {each}) | {learner}, zones) for each in voters)
    return learner if after < crowding(voters, zones) else None


class MemberStability:
    """Times since when the members have been live while the voters stayed the same."""

    def __init__(self) -> None:
        self._voters: frozenset[str] = frozenset()
        self._live_since: dict[str, float] = {}

    def update(
        self, voters: frozenset[str], live: Collection[str], now: float
    ) -> Mapping[str, float]:
        """Record which members are live, and return the local times by identity."""
        if voters != self._voters:
            self._live_since.clear()
            self._voters = voters
        self._live_since = {each: self._live_since.get(each, now) for each in live}
        return self._live_since
