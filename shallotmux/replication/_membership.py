"""Membership changes, each of which adds or removes at most one voter."""

from __future__ import annotations

from shallotmux.errors import MembershipRefused
from shallotmux.replication._model import (
    AddLearner,
    Configuration,
    MembershipChange,
    PromoteLearner,
    RemoveMember,
)

#: Maximum number of voters of a group at rest; seven bear the loss of three disks. Further members
#: stay learners, since more voters slow down commits.
MAX_VOTERS = 7

#: Maximum number of voters while one is exchanged: its successor is promoted before it is removed.
MAX_VOTERS_IN_EXCHANGE = MAX_VOTERS + 1


def change_configuration(configuration: Configuration, change: MembershipChange) -> Configuration:
    """Return the configuration after a change of at most one voter.

    :raises MembershipRefused: if the change is not valid for the configuration.
    """
    match change:
        case AddLearner():
            return _add_learner(configuration, change)
        case PromoteLearner():
            return _promote(configuration, change.name)
        case RemoveMember():
            return _remove(configuration, change.name)


def _add_learner(configuration: Configuration, change: AddLearner) -> Configuration:
    name = change.name
    if name in configuration.members:
        raise MembershipRefused(f'{name!r} is a member already', step='change membership')
    return Configuration(
        configuration.voters,
        configuration.learners | {name},
        configuration.disks | ({name} if change.has_disk else set()),
        configuration.witnesses | ({name} if change.is_witness else set()),
    )


def _promote(configuration: Configuration, name: str) -> Configuration:
    if name not in configuration.learners:
        raise MembershipRefused(f'{name!r} is not a learner', step='change membership')
    if len(configuration.voters) >= MAX_VOTERS_IN_EXCHANGE:
        raise MembershipRefused(
            f'{name!r} would be one voter more than {MAX_VOTERS_IN_EXCHANGE}',
            step='change membership',
        )
    return Configuration(
        configuration.voters | {name},
        configuration.learners - {name},
        configuration.disks,
        configuration.witnesses,
    )


def _remove(configuration: Configuration, name: str) -> Configuration:
    if name not in configuration.members:
        raise MembershipRefused(f'{name!r} is not a member', step='change membership')
    removed = {name}
    remaining = Configuration(
        configuration.voters - removed,
        configuration.learners - removed,
        configuration.disks - removed,
        configuration.witnesses - removed,
    )
    if not remaining.voters - remaining.witnesses:
        raise MembershipRefused(
            f'{name!r} is the last voter that may lead', step='change membership'
        )
    return remaining
