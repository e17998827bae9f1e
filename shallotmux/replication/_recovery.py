"""Recovery of a group that has lost its majority, from the disks that are left."""

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
    """Return a member and the state with which it starts the group again as its only voter.

    To be used on an operator's explicit word, when the diskless voters have lost the log and no
    member of the old group runs any more. The other members join again under new identities.
    Every committed entry is on one of the disks, and the newest log among all of them holds them
    all, so no disk may be missing.

    :param stored: what each member with a disk has stored.
    :raises MembershipRefused: if a member with a disk is missing.
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
    alone = frozenset((newest,))
    entry = Entry(
        logs[newest].last_index + 1,
        term,
        EntryKind.CONFIGURATION,
        encode_configuration(Configuration(alone, disks=alone)),
    )
    chosen = stored[newest]
    return newest, StoredGroup(HardState(term), (*chosen.entries, entry), chosen.snapshot)
