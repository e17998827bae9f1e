"""A control group of which only the decisions about the membership are played."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from shallotmux.control import ControlGroupView, next_group_change
from shallotmux.replication import (
    AddLearner,
    Configuration,
    FollowerStatus,
    PromoteLearner,
    RemoveMember,
)

#: Changes after which a group counts as one that never settles.
MAX_CHANGES = 40


@dataclass(slots=True)
class PlacedGroup:
    """Members of a control group by zone; the name of an instance starts with its zone.

    :param silent: members that do not answer, for longer than all timeouts.
    :param live_s: time for which all others have been live without a change of the voters.
    """

    voters: set[str]
    learners: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    tolerated: int = 1
    live_s: float = 0.0

    def zones(self) -> dict[str, str]:
        """Return the zone of each member."""
        return {each: zone_of(each) for each in self.voters | self.learners}

    def leader(self) -> str:
        """Return the first voter that answers."""
        return min(self.voters - self.silent)

    def voters_by_zone(self) -> list[int]:
        """Return the numbers of voters in the zones that have any, the highest first."""
        return sorted(Counter(map(zone_of, self.voters)).values(), reverse=True)

    def bears_each_zone(self) -> bool:
        """Return whether a majority of the voters is left by the loss of any zone."""
        majority = len(self.voters) // 2 + 1
        return len(self.voters) - max(self.voters_by_zone()) >= majority

    def has_live_majority(self) -> bool:
        """Return whether a majority of the voters answers."""
        return len(self.voters - self.silent) > len(self.voters) // 2

    def view(self) -> ControlGroupView:
        """Return the view of the leader, which has led for longer than all timeouts."""
        members = frozenset(self.voters | self.learners)
        leader = self.leader()
        followers = {
            each: FollowerStatus(1000, 50.0 if each in self.silent else 99.9)
            for each in members - {leader}
        }
        return ControlGroupView(
            leader,
            Configuration(frozenset(self.voters), frozenset(self.learners), members),
            followers,
            frozenset(),
            1000,
            10.0,
            100.0,
            self.tolerated,
            zones=self.zones(),
            live_since=dict.fromkeys(members - self.silent, 100.0 - self.live_s),
        )

    def settle(self) -> Iterator[str]:
        """Make the changes that the leader decides on, and yield a description after each."""
        for _ in range(MAX_CHANGES):
            change = next_group_change(self.view())
            match change:
                case PromoteLearner(name):
                    self.learners.remove(name)
                    self.voters.add(name)
                case RemoveMember(name):
                    self.voters.discard(name)
                    self.learners.discard(name)
                case AddLearner(name):
                    self.learners.add(name)
                case None:
                    return
            yield f'{change} {sorted(self.voters)}'
        raise AssertionError('the group does not settle')


def zone_of(name: str) -> str:
    """Return the zone of an instance."""
    return name[0]
