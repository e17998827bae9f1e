"""Where an instance stands in its group at present."""

from __future__ import annotations

from shallotmux.authority import GroupDriver
from shallotmux.membership._messages import Report
from shallotmux.membership._policy import GroupPlan
from shallotmux.replication import Role
from shallotmux.transport import instance_name


class GroupPosition:
    """Derives an instance's place in the tree from its replica and the settings."""

    def __init__(
        self, identity: str, zone: str, has_disk: bool, driver: GroupDriver, plan: GroupPlan
    ) -> None:
        self._identity = identity
        self._zone = zone
        self._has_disk = has_disk
        self._driver = driver
        self._plan = plan
        #: Whether the instance is shutting down.
        self.is_leaving = False
        self._removed_at = -1

    def own_report(self) -> Report:
        """Return the report on this instance."""
        state = self._driver.state
        return Report(
            self._identity,
            self._zone,
            self._has_disk,
            state.applied_index,
            state.zone.revision,
            is_leaving=self.is_leaving,
        )

    def is_member(self) -> bool:
        """Tell whether this instance gets the log as voter or learner."""
        status = self._driver.status()
        is_current = status.commit_index > self._removed_at
        return is_current and self._identity in status.configuration.members

    def knows_member(self, identity: str) -> bool | None:
        """Tell whether an instance is a member; None if this instance is none itself."""
        if not self.is_member():
            return None
        return identity in self._driver.status().configuration.members

    def note_removed(self, index: int) -> None:
        """Note that this instance was no member as of an applied index."""
        self._removed_at = max(self._removed_at, index)

    def leader(self) -> str | None:
        """Return the leader that the replica knows."""
        return self._driver.status().leader

    def leads(self) -> bool:
        """Tell whether this instance leads."""
        return self._driver.status().role is Role.LEADER

    def term(self) -> int:
        """Return the replica's term."""
        return self._driver.status().term

    def voters(self) -> tuple[str, ...]:
        """Return the voters that may be followed, if the replica is a member."""
        if not self.is_member():
            return ()
        configuration = self._driver.status().configuration
        return tuple(sorted(configuration.voters - configuration.witnesses))

    def followable(self, voters: tuple[str, ...], leader: str | None) -> tuple[str, ...]:
        """Return instances to follow, in order of preference."""
        if self.leads():
            return ()
        if self.is_member():
            others = tuple(each for each in voters if each != self._identity)
            return (leader,) if leader else others
        if self._plan.one_per_zone:
            return self._order_by_zone(voters)
        return self._spread(voters, leader)

    def _spread(self, voters: tuple[str, ...], leader: str | None) -> tuple[str, ...]:
        """Share the instances evenly between the voters, each starting with another one."""
        own = instance_name(self._identity)
        names = sorted(self._plan.names())
        taken = {instance_name(each) for each in voters}
        others = [each for each in names if each not in taken]
        rank = others.index(own) if own in others else 0
        targets = voters or tuple(each for each in names if each != own)
        if len(voters) > 1:
            # The leader has the other voters to care for already.
            targets = tuple(each for each in voters if each != leader)
        return _rotate(targets, rank)

    def _order_by_zone(self, voters: tuple[str, ...]) -> tuple[str, ...]:
        """Prefer the voter of the own zone, then others, then any instance."""
        own = instance_name(self._identity)
        zone_names = self._plan.zones.get(self._zone, ())
        near = tuple(each for each in voters if instance_name(each) in zone_names)
        far = tuple(each for each in voters if each not in near)
        fallback = tuple(sorted(self._plan.names() - {own}))
        rank = zone_names.index(own) if own in zone_names else 0
        return near + _rotate(far, rank) if voters else _rotate(fallback, rank)


def _rotate(targets: tuple[str, ...], places: int) -> tuple[str, ...]:
    if not targets:
        return ()
    start = places % len(targets)
    return targets[start:] + targets[:start]
