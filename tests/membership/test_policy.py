"""Tests of the choice of voters, of failure detection and of the propagation of changes."""

from __future__ import annotations

import pytest

from shallotmux.membership import (
    GroupPlan,
    GroupView,
    MemberState,
    MemberTable,
    PlatformList,
    Report,
    SuspicionTimeouts,
    find_propagation,
    lowest_revisions,
    next_change,
)
from shallotmux.replication import AddLearner, Configuration, PromoteLearner, RemoveMember

FOUR_INSTANCES = GroupPlan({'zone-a': ('a', 'b', 'c', 'd')})
TIMEOUTS = SuspicionTimeouts(suspect_after_s=2, down_after_s=6)


def make_view(
    voters: str, live: str, lost: str = '', learners: str = '', caught_up: str = ''
) -> GroupView:
    """Return the view of leader ``a``; every letter is the name of one instance."""
    configuration = Configuration(frozenset(voters), frozenset(learners))
    reports = {name: Report(name, 'zone-a') for name in live}
    return GroupView('a', configuration, reports, frozenset(lost), frozenset(caught_up))


@pytest.mark.parametrize(
    ('view', 'expected'),
    [
        (make_view('a', 'bc'), AddLearner('b')),
        (make_view('a', 'bc', learners='b'), None),
        (make_view('a', 'bc', learners='b', caught_up='b'), PromoteLearner('b')),
        (make_view('abc', 'bcd'), None),
        (make_view('abc', 'bd', lost='c'), AddLearner('d')),
        (make_view('abc', 'bd', lost='c', learners='d'), None),
        (make_view('abc', 'bd', lost='c', learners='d', caught_up='d'), RemoveMember('c')),
        (make_view('ab', 'bd', learners='d', caught_up='d'), PromoteLearner('d')),
        (make_view('abc', 'b', lost='c'), None),
        (make_view('abc', 'd', lost='bc', learners='d', caught_up='d'), None),
    ],
)
def test_next_change(view: GroupView, expected: object) -> None:
    """Guards against changes that skip catching up or leave a group without a quorum."""
    assert next_change(FOUR_INSTANCES, view) == expected


def test_instances_with_disks_are_preferred_as_voters() -> None:
    """Guards against a majority of voters without disks, which lose the log in a zone restart."""
    plan = GroupPlan({'zone-a': ('a', 'b', 'c', 'd')}, disks=frozenset('acd'))
    assert next_change(plan, make_view('a', 'bcd')) == AddLearner('c')


def test_zone_of_two_adds_its_witness() -> None:
    """Guards against a zone of two instances that the loss of either one stops."""
    plan = GroupPlan({'zone-a': ('a', 'b')}, witness='w')
    assert next_change(plan, make_view('ab', 'bw')) == AddLearner('w', is_witness=True)


def test_fleet_group_has_one_voter_per_zone() -> None:
    """Guards against a zone with several voters, which would outvote the others."""
    plan = GroupPlan({'zone-a': ('a', 'b'), 'zone-b': ('c', 'd')}, one_per_zone=True)
    assert next_change(plan, make_view('a', 'bcd')) == AddLearner('c')
    assert next_change(plan, make_view('ac', 'bcd')) is None


def test_silent_member_is_suspected_before_it_is_down() -> None:
    """Guards against replacing an instance because of one lost report."""
    table = MemberTable(TIMEOUTS, 0)
    table.record([Report('a', 'zone-a')], 1)
    states = [table.state_of('a', now) for now in (2, 3.5, 7.5)]
    assert states == [MemberState.LIVE, MemberState.SUSPECTED, MemberState.DOWN]


def test_platform_list_does_not_overrule_a_recent_report() -> None:
    """Guards against removing a live instance that the platform's list does not contain yet."""
    table = MemberTable(TIMEOUTS, 0)
    table.record([Report('a', 'zone-a')], 1)
    table.update_platform_list(PlatformList(frozenset()))
    states = [table.state_of('a', now) for now in (2, 3.5)]
    assert states == [MemberState.LIVE, MemberState.DOWN]


def test_restarted_instance_supersedes_its_earlier_identity() -> None:
    """Guards against an unused identity that stays a voter until it is replaced by timeout."""
    table = MemberTable(TIMEOUTS, 0)
    table.record([Report('a~1', 'zone-a')], 1)
    table.record([Report('a~2', 'zone-a')], 2)
    assert table.state_of('a~1', 2) is MemberState.DOWN
    assert table.state_of('a~2', 2) is MemberState.LIVE


def test_change_is_pending_where_any_instance_lacks_it() -> None:
    """Guards against showing a change as in force in a zone that it has not fully reached."""
    plan = GroupPlan({'zone-a': ('a',), 'zone-b': ('b', 'c'), 'zone-c': ('d',)})
    reports = (
        Report('a', 'zone-a', revision=5),
        Report('b~1', 'zone-b', revision=5),
        Report('b~2', 'zone-b', revision=4),
        Report('c', 'zone-b', revision=5),
    )
    propagation = find_propagation(5, plan.zones, lowest_revisions(plan, reports))
    assert propagation.in_force == ('zone-a',)
    assert propagation.pending == ('zone-b', 'zone-c')
