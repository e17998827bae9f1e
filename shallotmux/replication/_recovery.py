"""Recovery of a group that has lost its majority, from the disks of its members."""

from __future__ import annotations

from collections.abc import Mapping

from shallotmux.errors import MembershipRefused
from shallotmux.replication._log import ReplicaLog
from shallotmux.replication._model import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    StoredGroup,
    encode_configuration,
)


def recover_group(stored: Mapping[str, StoredGroup]) -> tuple[str, StoredGroup]:
    """Return a member and the state with which it restarts the group as its only voter.

    To be called only on explicit request of an operator, when the diskless voters have lost the log
    and no member of the old group is running. The other members rejoin under new identities. Every
    committed entry is on one of the disks, and the most up-to-date log holds all of them, so no
    disk may be missing.

    :param stored: stored state of each member with a disk.
    :returns: identity of the member with the most up-to-date log, and its new state.
    :raises MembershipRefused: if no disk is given or one is missing.
    """
    logs = {name: ReplicaLog(each) for name, each in stored.items()}
    for log in logs.values():
        missing = log.configuration.disks - stored.keys()
        if missing:
            raise MembershipRefused(f'disks of {sorted(missing)} are missing', step='recover')
    if not logs:
        raise MembershipRefused('no disk is left', step='recover')
    newest = max(sorted(logs), key=lambda name: (logs[name].last_term, logs[name].last_index))
    term = max(each.hard_state.term for each in stored.values()) + 1
    only_voter = frozenset((newest,))
    entry = Entry(
        logs[newest].last_index + 1,
        term,
        EntryKind.CONFIGURATION,
        encode_configuration(Configuration(only_voter, disks=only_voter)),
    )
    newest_stored = stored[newest]
    return newest, StoredGroup(
        HardState(term), (*newest_stored.entries, entry), newest_stored.snapshot
    )
