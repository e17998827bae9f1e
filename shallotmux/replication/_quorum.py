"""Values reached by a quorum of voters."""

from __future__ import annotations

from collections.abc import Mapping

from shallotmux.replication._model import Configuration


def majority_value(configuration: Configuration, reached: Mapping[str, float]) -> float:
    """Return the highest value reached by a majority of the voters.

    :param reached: value of each voter; a missing voter counts as minus infinity.
    """
    by_voter = (reached.get(voter, float('-inf')) for voter in configuration.voters)
    return sorted(by_voter, reverse=True)[configuration.majority - 1]


def committed_index(configuration: Configuration, match_indexes: Mapping[str, int]) -> int:
    """Return the highest index held by a majority, and by a voter with a disk if there is any.

    Diskless voters lose the log when a whole zone restarts, so an entry must be on a disk as well.
    """
    held = majority_value(configuration, match_indexes)
    disks = configuration.voters & configuration.disks
    if disks:
        held = min(held, max(match_indexes.get(disk, 0) for disk in disks))
    return max(0, int(held))
