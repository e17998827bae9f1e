"""Recovery of a group that has lost its majority, from the disks of its members."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

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

#: Added to the highest known term if voters that are not seen may have entered higher ones: more than
#: the elections of a week. A fencing token must not be used twice.
UNSEEN_TERMS = 1 << 20


@dataclass(frozen=True, slots=True)
class DiskSurvey:
    """What the disks that are left of a group hold.

    :param newest: member with the most up-to-date log.
    :param voters: voters in that log.
    :param missing: members with a disk that is not given.
    :param has_majority: whether a majority of the voters is given; these members elect a leader by
        themselves when they run.
    """

    newest: str
    last_term: int
    last_index: int
    voters: frozenset[str]
    missing: frozenset[str]
    has_majority: bool

    @property
    def is_complete(self) -> bool:
        """Return whether the newest log holds every committed entry.

        A committed entry is on a majority of the voters, and on a disk if any voter has one. The log
        of a majority names all later voters, too, since each configuration needs one of them.
        """
        return self.has_majority or not self.missing


def survey_disks(stored: Mapping[str, StoredGroup]) -> DiskSurvey:
    """Return what the disks of a group hold.

    :param stored: stored state of each member with a disk.
    :raises MembershipRefused: if no disk is given.
    """
    logs = {name: ReplicaLog(each) for name, each in stored.items()}
    if not logs:
        raise MembershipRefused('no disk is left', step='recover')
    newest = max(sorted(logs), key=lambda name: (logs[name].last_term, logs[name].last_index))
    disks = frozenset[str]().union(*(each.configuration.disks for each in logs.values()))
    voters = logs[newest].configuration.voters
    return DiskSurvey(
        newest,
        logs[newest].last_term,
        logs[newest].last_index,
        voters,
        disks - stored.keys(),
        has_majority=2 * len(voters & stored.keys()) > len(voters),
    )


def recover_group(
    stored: Mapping[str, StoredGroup], *, identity: str = '', accepts_loss: bool = False
) -> tuple[str, StoredGroup]:
    """Return a member and the state with which it restarts the group as its only voter.

    To be called only on explicit request of an operator, when no majority can be restarted and no
    member of the old group is running. The other members rejoin under new identities.

    :param stored: stored state of each member with a disk.
    :param identity: identity of the only voter; by default that of the member.
    :param accepts_loss: whether to go on although committed entries may be lost.
    :returns: identity of the member with the most up-to-date log, and its new state.
    :raises MembershipRefused: if no disk is given, or committed entries may be on missing ones alone.
    """
    survey = survey_disks(stored)
    if not (survey.is_complete or accepts_loss):
        raise MembershipRefused(
            f'disks of {sorted(survey.missing)} are missing, and only'
            + f' {len(survey.voters & stored.keys())} of {len(survey.voters)} voters are left;'
            + ' acknowledged changes may be lost',
            step='recover',
        )
    highest_term = max(each.hard_state.term for each in stored.values())
    term = highest_term + (1 if survey.is_complete else UNSEEN_TERMS)
    only_voter = frozenset((identity or survey.newest,))
    entry = Entry(
        survey.last_index + 1,
        term,
        EntryKind.CONFIGURATION,
        encode_configuration(Configuration(only_voter, disks=only_voter)),
    )
    newest_stored = stored[survey.newest]
    return survey.newest, StoredGroup(
        HardState(term), (*newest_stored.entries, entry), newest_stored.snapshot
    )
