"""Health of the control group as its leader sees it."""

from __future__ import annotations

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
    """

    voters: tuple[str, ...]
    silent: tuple[str, ...]
    target: int
    tolerated: int

    @property
    def borne_losses(self) -> int:
        """Return how many further voters may be lost while a majority is left; negative if none is."""
        majority = len(self.voters) // 2 + 1
        return len(self.voters) - len(self.silent) - majority


def assess_group(view: ControlGroupView) -> GroupHealth:
    """Return the health of the group."""
    voters = tuple(sorted(view.configuration.voters))
    silent = tuple(each for each in voters if not view.is_live(each))
    return GroupHealth(voters, silent, view.target_voters, view.tolerated)


def log_health(health: GroupHealth) -> None:
    """Write a line with the voters, those that are silent, and what is borne now."""
    log_message(
        message_type='shallotmux:group-health',
        voters=health.voters,
        silent=health.silent,
        target=health.target,
        tolerated=health.tolerated,
        borne_losses=health.borne_losses,
    )
