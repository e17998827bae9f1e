"""Membership of this instance in a group, and the instances that it polls."""

from __future__ import annotations

from shallotmux.authority import GroupDriver
from shallotmux.membership._messages import Report
from shallotmux.membership._policy import GroupPlan
from shallotmux.replication import Role
from shallotmux.transport import instance_name


class LocalMembership:
    """Derives an instance's membership and poll targets from its replica and the settings."""

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
        """Return whether this instance is a voter or a learner; both get the log from the leader."""
        status = self._driver.status()
        is_current = status.commit_index > self._removed_at
        return is_current and self._identity in status.configuration.members

    def lookup_membership(self, identity: str) -> bool | None:
        """Return whether an instance is a member; None if this instance is not a member itself."""
        if not self.is_member():
            return None
        return identity in self._driver.status().configuration.members

    def record_removal(self, index: int) -> None:
        """Record that this instance was not a member as of an applied index."""
        self._removed_at = max(self._removed_at, index)

    def leader(self) -> str | None:
        """Return the identity of the leader, if the replica knows it."""
        return self._driver.status().leader

    def is_leader(self) -> bool:
        """Return whether this instance is the leader."""
        return self._driver.status().role is Role.LEADER

    def term(self) -> int:
        """Return the replica's term."""
        return self._driver.status().term

    def voters(self) -> tuple[str, ...]:
        """Return the voters that may be polled; empty if this instance is not a member."""
        if not self.is_member():
            return ()
        configuration = self._driver.status().configuration
        return tuple(sorted(configuration.voters - configuration.witnesses))

    def poll_targets(self, voters: tuple[str, ...], leader: str | None) -> tuple[str, ...]:
        """Return the instances to poll, in order of preference; empty on the leader."""
        if self.is_leader():
            return ()
        if self.is_member():
            others = tuple(each for each in voters if each != self._identity)
            return (leader,) if leader else others
        if self._plan.one_per_zone:
            return self._order_by_zone(voters)
        return self._spread_over_voters(voters, leader)

    def _spread_over_voters(self, voters: tuple[str, ...], leader: str | None) -> tuple[str, ...]:
        """Order the voters by the rank of this instance, to spread the polls evenly over them."""
        own = instance_name(self._identity)
        names = sorted(self._plan.names())
        voter_names = {instance_name(each) for each in voters}
        others = [each for each in names if each not in voter_names]
        rank = others.index(own) if own in others else 0
        targets = voters or tuple(each for each in names if each != own)
        if len(voters) > 1:
            # The leader already serves the polls of the other voters.
            targets = tuple(each for each in voters if each != leader)
        return _rotate(targets, rank)

    def _order_by_zone(self, voters: tuple[str, ...]) -> tuple[str, ...]:
        """Prefer the voter of this zone to others; without known voters, use any instance."""
        own = instance_name(self._identity)
        zone_names = self._plan.zones.get(self._zone, ())
        same_zone = tuple(each for each in voters if instance_name(each) in zone_names)
        other_zones = tuple(each for each in voters if each not in same_zone)
        fallback = tuple(sorted(self._plan.names() - {own}))
        rank = zone_names.index(own) if own in zone_names else 0
        return same_zone + _rotate(other_zones, rank) if voters else _rotate(fallback, rank)


def _rotate(targets: tuple[str, ...], offset: int) -> tuple[str, ...]:
    if not targets:
        return ()
    start = offset % len(targets)
    return targets[start:] + targets[:start]
