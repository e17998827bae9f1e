"""Membership of replication groups: failure detection, choice of voters, log distribution."""

from __future__ import annotations

from shallotmux.membership._group import GroupMember, GroupOptions, MemberSpec
from shallotmux.membership._messages import Report
from shallotmux.membership._policy import (
    GroupPlan,
    GroupView,
    desired_voters,
    next_change,
)
from shallotmux.membership._propagation import (
    Propagation,
    PropagationTracker,
    find_propagation,
    lowest_revisions,
)
from shallotmux.membership._table import (
    Member,
    MemberState,
    MemberTable,
    PlatformList,
    SuspicionTimeouts,
)

__all__ = (
    'GroupMember',
    'GroupOptions',
    'GroupPlan',
    'GroupView',
    'Member',
    'MemberSpec',
    'MemberState',
    'MemberTable',
    'PlatformList',
    'Propagation',
    'PropagationTracker',
    'Report',
    'SuspicionTimeouts',
    'desired_voters',
    'find_propagation',
    'lowest_revisions',
    'next_change',
)
