"""Values that a quorum of voters has reached."""

from __future__ import annotations

from collections.abc import Mapping

from shallotmux.replication._model import Configuration


def majority_value(configuration: Configuration, reached: Mapping[str, float]) -> float:
    """Return the highest value that a majority of the voters has reached.

    :param reached: value of each voter; a voter that is missing counts as minus infinity.
    """
    by_voter = (reached.get(voter, float('-inf')) for voter in configuration.voters)
    return sorted(by_voter, reverse=True)[configuration.majority - 1]


def committed_index(configuration: Configuration, matches: Mapping[str, int]) -> int:
    """Return the highest index that a majority holds and, if any has a disk, a disk has synced.

    Diskless voters forget the log when a whole zone restarts; the entry then survives on a disk.
    """
    held = majority_value(configuration, matches)
    disks = configuration.voters & configuration.disks
    if disks:
        held = min(held, max(matches.get(disk, 0) for disk in disks))
    return max(0, int(held))
