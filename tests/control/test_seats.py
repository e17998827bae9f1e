"""Tests of the choice of voters among control instances."""

from __future__ import annotations

from collections.abc import Iterable

from shallotmux.control import SeatView, next_seat_change
from shallotmux.replication import (
    AddLearner,
    Configuration,
    FollowerStatus,
    PromoteLearner,
    RemoveMember,
)


def view(
    voters: Iterable[str],
    learners: Iterable[str] = (),
    *,
    silent: Iterable[str] = (),
    behind: Iterable[str] = (),
    joining: Iterable[str] = (),
    tolerated: int = 1,
) -> SeatView:
    """Return what a leader ``a:1`` knows after a long time in office."""
    members = frozenset(voters) | frozenset(learners)
    followers = {
        name: FollowerStatus(
            10 if name in set(behind) else 1000, 80.0 if name in set(silent) else 99.9
        )
        for name in members - {'a:1'}
    }
    configuration = Configuration(frozenset(voters), frozenset(learners), members)
    return SeatView(
        'a:1', configuration, followers, frozenset(joining), 1000, 10.0, 100.0, tolerated
    )


TRIO = ('a:1', 'b:1', 'c:1')


def test_healthy_group_stays() -> None:
    """Guards against changes of a group that needs none."""
    assert next_seat_change(view(TRIO)) is None
    assert next_seat_change(view(TRIO, ('d:1',))) is None


def test_late_joiner_learns_first() -> None:
    """Guards against a new voter for whose empty log each commit would wait."""
    assert next_seat_change(view(TRIO, joining=['d:1~7'])) == AddLearner('d:1~7', has_disk=True)
    assert next_seat_change(view(TRIO[:2], ['d:1~7'], behind=['d:1~7'])) is None
    assert next_seat_change(view(TRIO[:2], ['d:1~7'])) == PromoteLearner('d:1~7')


def test_wiped_voter_is_removed_before_its_successor_joins() -> None:
    """Guards against a voter that forgot its vote and counts under its old identity."""
    wiped = view(TRIO, silent=['c:1'], joining=['c:1~7'])
    assert next_seat_change(wiped) == RemoveMember('c:1')
    removed = view(TRIO[:2], joining=['c:1~7'])
    assert next_seat_change(removed) == AddLearner('c:1~7', has_disk=True)


def test_wiped_voter_waits_for_a_majority_of_the_others() -> None:
    """Guards against a removal that leaves a group which cannot commit it."""
    wiped = view(TRIO, silent=['b:1', 'c:1'], joining=['c:1~7'])
    assert next_seat_change(wiped) is None


def test_lost_voter_makes_room_only_for_a_ready_learner() -> None:
    """Guards against fewer voters while nobody can take the place of a silent one."""
    assert next_seat_change(view(TRIO, silent=['c:1'])) is None
    assert next_seat_change(view(TRIO, ['d:1'], silent=['c:1'], behind=['d:1'])) is None
    assert next_seat_change(view(TRIO, ['d:1'], silent=['c:1'])) == RemoveMember('c:1')


def test_new_leader_waits_before_it_calls_voters_lost() -> None:
    """Guards against a new leader that replaces voters which it has not heard yet."""
    fresh = view(TRIO, ['d:1'], silent=['c:1'])
    started = SeatView(
        fresh.leader, fresh.configuration, fresh.followers, frozenset(), 1000, 98.0, 100.0
    )
    assert next_seat_change(started) is None


def test_more_tolerated_disks_need_more_voters() -> None:
    """Guards against an acknowledgement that rests on too few disks."""
    assert next_seat_change(view(TRIO, ['d:1'], tolerated=2)) == PromoteLearner('d:1')


def test_silent_learner_is_forgotten() -> None:
    """Guards against members that are gone for good and stay listed."""
    assert next_seat_change(view(TRIO, ['d:1'], silent=['d:1'])) == RemoveMember('d:1')
