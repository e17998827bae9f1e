"""Tests of the membership changes of the control group."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import pytest

from shallotmux.control import ControlGroupView, next_group_change
from shallotmux.replication import (
    AddLearner,
    Configuration,
    FollowerStatus,
    PromoteLearner,
    RemoveMember,
)


def make_view(
    voters: Iterable[str],
    learners: Iterable[str] = (),
    *,
    silent: Iterable[str] = (),
    behind: Iterable[str] = (),
    joining: Iterable[str] = (),
    tolerated: int = 1,
) -> ControlGroupView:
    """Return the view of leader ``a:1``, which has led for longer than all timeouts."""
    members = frozenset(voters) | frozenset(learners)
    followers = {
        name: FollowerStatus(
            10 if name in set(behind) else 1000, 80.0 if name in set(silent) else 99.9
        )
        for name in members - {'a:1'}
    }
    configuration = Configuration(frozenset(voters), frozenset(learners), members)
    return ControlGroupView(
        'a:1', configuration, followers, frozenset(joining), 1000, 10.0, 100.0, tolerated
    )


VOTERS = ('a:1', 'b:1', 'c:1')


def test_healthy_group_is_not_changed() -> None:
    """Guards against changes of a group that needs none."""
    assert next_group_change(make_view(VOTERS)) is None
    assert next_group_change(make_view(VOTERS, ('d:1',))) is None


def test_new_member_is_added_as_learner() -> None:
    """Guards against a new voter with an empty log, for which each commit would wait."""
    assert next_group_change(make_view(VOTERS, joining=['d:1~7'])) == AddLearner(
        'd:1~7', has_disk=True
    )
    assert next_group_change(make_view(VOTERS[:2], ['d:1~7'], behind=['d:1~7'])) is None
    assert next_group_change(make_view(VOTERS[:2], ['d:1~7'])) == PromoteLearner('d:1~7')


def test_wiped_voter_is_removed_before_its_successor_joins() -> None:
    """Guards against a voter that lost its vote and still counts under its old identity."""
    wiped = make_view(VOTERS, silent=['c:1'], joining=['c:1~7'])
    assert next_group_change(wiped) == RemoveMember('c:1')
    removed = make_view(VOTERS[:2], joining=['c:1~7'])
    assert next_group_change(removed) == AddLearner('c:1~7', has_disk=True)


def test_wiped_voter_is_not_removed_without_majority_of_others() -> None:
    """Guards against a removal after which the group cannot commit."""
    wiped = make_view(VOTERS, silent=['b:1', 'c:1'], joining=['c:1~7'])
    assert next_group_change(wiped) is None


def test_lost_voter_is_replaced_only_by_a_ready_learner() -> None:
    """Guards against fewer voters while no member can replace a silent one."""
    assert next_group_change(make_view(VOTERS, silent=['c:1'])) is None
    assert next_group_change(make_view(VOTERS, ['d:1'], silent=['c:1'], behind=['d:1'])) is None
    assert next_group_change(make_view(VOTERS, ['d:1'], silent=['c:1'])) == PromoteLearner('d:1')
    promoted = make_view((*VOTERS, 'd:1'), silent=['c:1'])
    assert next_group_change(promoted) == RemoveMember('c:1')


def test_voter_that_returns_after_its_successor_was_promoted_is_not_kept_twice() -> None:
    """Guards against a group that keeps an even number of voters, or removes its leader."""
    assert next_group_change(make_view((*VOTERS, 'd:1'))) == RemoveMember('b:1')
    assert next_group_change(make_view((*VOTERS, 'd:1'), silent=['b:1', 'c:1', 'd:1'])) is None


@pytest.mark.parametrize('tolerated', (1, 2))
def test_one_more_lost_disk_leaves_a_majority_at_each_step(tolerated: int) -> None:
    """Guards against a group that has no leader any more, though one disk alone was lost.

    A voter stands still and is replaced; at each step of that, another one loses its disk. The first
    one comes back with its disk.
    """
    names = [f'{letter}:1' for letter in 'abcdefg'[: 2 * tolerated + 1]]
    voters, learners, silent = set(names), {'x:1'}, names[-1]
    steps = 0
    while True:
        for lost in voters:
            assert len(voters - {lost}) >= len(voters) // 2 + 1
        view = make_view(voters, learners, silent={silent} & voters, tolerated=tolerated)
        change = next_group_change(view)
        match change:
            case PromoteLearner(name):
                learners.remove(name)
                voters.add(name)
            case RemoveMember(name):
                voters.remove(name)
            case _:
                break
        steps += 1
    assert (steps, voters) == (2, {*names, 'x:1'} - {silent})


@pytest.mark.parametrize('tolerated', (1, 2, 3))
def test_no_more_than_one_voter_is_exchanged_at_a_time(tolerated: int) -> None:
    """Guards against voters beyond the target plus one, which the replica refuses."""
    names = [f'{letter}:1' for letter in 'abcdefgh'[: 2 * tolerated + 2]]
    others_silent = names[1:]
    assert next_group_change(make_view(names, ['x:1'], silent=others_silent)) is None


def test_new_leader_completes_an_exchange_once_live_voters_had_time_to_answer() -> None:
    """Guards against the removal of a live voter in place of the lost one after a change of leader.

    A leader that is elected while there is one voter too many has no answer of either at first.
    """
    voters = ('a:1', 'b:1', 'c:1', 'd:1')
    unanswered = make_view(voters, silent=['b:1', 'd:1'])
    assert next_group_change(replace(unanswered, led_since=99.9)) is None
    answered = make_view(voters, silent=['d:1'])
    assert next_group_change(replace(answered, led_since=98.9)) == RemoveMember('d:1')


def test_new_leader_waits_before_it_removes_voters() -> None:
    """Guards against a new leader that replaces voters which have not answered it yet."""
    view = make_view(VOTERS, ['d:1'], silent=['c:1'])
    # The voter was silent to earlier leaders for long enough.
    assert next_group_change(replace(view, led_since=99.5)) is None
    assert next_group_change(replace(view, led_since=98.0)) == PromoteLearner('d:1')
    # It was heard of shortly before this leader was elected, and has not answered this one.
    unanswered = {**view.followers, 'c:1': FollowerStatus(1000, float('-inf'), 98.0)}
    assert next_group_change(replace(view, followers=unanswered, led_since=98.0)) is None


def test_more_tolerated_disks_need_more_voters() -> None:
    """Guards against commits on no more disks than may be lost at once."""
    assert next_group_change(make_view(VOTERS, ['d:1'], tolerated=2)) == PromoteLearner('d:1')


def test_lost_learner_is_removed() -> None:
    """Guards against lost learners that stay in the configuration."""
    assert next_group_change(make_view(VOTERS, ['d:1'], silent=['d:1'])) == RemoveMember('d:1')
