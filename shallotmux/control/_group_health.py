"""Health of the control group as its leader sees it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from eliot import log_message

from shallotmux.control._group_changes import ControlGroupView


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """Voters of the group, and what it bears.

    :param voters: identities of the voters.
    :param silent: voters that have not answered within the live timeout.
    :param target: number of voters that the tolerated losses need.
    :param tolerated: number of disks that may be lost at once, by the settings.
    :param zone_voters: numbers of voters that answer by zone; that of unknown zones is empty.
    """

    voters: tuple[str, ...]
    silent: tuple[str, ...]
    target: int
    tolerated: int
    zone_voters: Mapping[str, int]

    @property
    def borne_losses(self) -> int:
        """Return how many further voters may be lost while a majority is left; negative if none is."""
        majority = len(self.voters) // 2 + 1
        return len(self.voters) - len(self.silent) - majority

    @property
    def borne_after_zone_loss(self) -> int:
        """Return how many voters may be lost besides the zone with the most; negative if none."""
        return self.borne_losses - max(self.zone_voters.values(), default=0)


def assess_group(view: ControlGroupView) -> GroupHealth:
    """Return the health of the group."""
    voters = tuple(sorted(view.configuration.voters))
    silent = tuple(each for each in voters if not view.is_live(each))
    live = (each for each in voters if each not in silent)
    zone_voters = Counter(view.zones.get(each, '') for each in live)
    return GroupHealth(voters, silent, view.target_voters, view.tolerated, zone_voters)


def log_health(health: GroupHealth) -> None:
    """Write a line with the voters, those that are silent, and what is borne now."""
    log_message(
        message_type='shallotmux:group-health',
        voters=health.voters,
        silent=health.silent,
        target=health.target,
        tolerated=health.tolerated,
        borne_losses=health.borne_losses,
        zone_voters=dict(sorted(health.zone_voters.items())),
        borne_after_zone_loss=health.borne_after_zone_loss,
    )
