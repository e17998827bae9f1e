"""Tests of the decisions that spread the voters of the control group over the zones."""

from __future__ import annotations

import pytest

from shallotmux.control import next_group_change
from shallotmux.control._voter_placement import MemberStability, choose_exchange
from shallotmux.replication import PromoteLearner, RemoveMember
from tests.control._placements import PlacedGroup, zone_of

FOUR_ZONES_OF_TWO = tuple(f'{zone}{number}' for zone in 'abcd' for number in (1, 2))

#: Instances, and the numbers of tolerated losses. One has three instances in one zone.
DEPLOYMENTS = (
    (FOUR_ZONES_OF_TWO, 2),
    (FOUR_ZONES_OF_TWO, 1),
    (('a1', 'b1', 'c1', 'd1'), 1),
    (('a1', 'b1', 'c1', 'd1', 'e1', 'f1'), 2),
    (('a1', 'a2', 'a3', 'b1', 'b2', 'c1', 'c2', 'd1'), 2),
    (FOUR_ZONES_OF_TWO, 3),
)


def start_group(instances: tuple[str, ...], tolerated: int) -> PlacedGroup:
    """Return a settled group of which three instances of different zones were the first voters."""
    seeds = {each for each in instances if each in {'a1', 'b1', 'c1'}}
    group = PlacedGroup(seeds, set(instances) - seeds, tolerated=tolerated)
    for step in group.settle():
        assert group.bears_each_zone(), step
    return group


@pytest.mark.parametrize(('instances', 'tolerated'), DEPLOYMENTS)
def test_each_zone_can_be_lost_during_the_start_and_each_replacement(
    instances: tuple[str, ...], tolerated: int
) -> None:
    """Guards against a group without a majority after the loss of a zone, which is tolerated.

    Each voter is lost for good. Its successor has another address in the same zone or, where a zone has
    several instances, in the next one.
    """
    settled = start_group(instances, tolerated)
    assert len(settled.voters) == 2 * tolerated + 1
    zones = sorted(set(map(zone_of, instances)))
    for lost in sorted(settled.voters):
        for successor in (f'{zone_of(lost)}9', f'{zones[zones.index(zone_of(lost)) - 1]}9'):
            group = PlacedGroup(set(settled.voters), set(settled.learners), {lost}, tolerated)
            group.learners.add(successor)
            for step in group.settle():
                assert group.bears_each_zone(), step
                assert group.has_live_majority(), step
            assert lost not in group.voters
            assert len(group.voters) == 2 * tolerated + 1


def test_successor_in_the_only_free_zone_is_promoted() -> None:
    """Guards against two voters in one zone for long.

    With one instance in each of three zones, the successor shares its zone with the lost voter until
    that is removed. Without a change of two voters in one step, this cannot be avoided.
    """
    group = PlacedGroup({'a1', 'b1', 'c1'}, {'c9'}, {'c1'})
    assert [group.bears_each_zone() for _ in group.settle()] == [False, True]
    assert group.voters == {'a1', 'b1', 'c9'}


def test_lost_zone_is_replaced_by_voters_of_all_others() -> None:
    """Guards against a second zone that holds a majority after the loss of the first one."""
    group = start_group(FOUR_ZONES_OF_TWO, 2)
    assert group.voters_by_zone() == [2, 1, 1, 1]
    group.silent = {'a1', 'a2'}
    for step in group.settle():
        assert group.has_live_majority(), step
    assert group.voters_by_zone() == [2, 2, 1]
    assert not group.voters & group.silent


def test_learner_of_a_zone_without_voters_is_promoted() -> None:
    """Guards against the first learner in the order of addresses, in the zone of another voter."""
    group = PlacedGroup({'a1', 'b1', 'c1'}, {'a2', 'b2', 'd1'}, {'c1'})
    assert next_group_change(group.view()) == PromoteLearner('d1')


def test_learner_of_unknown_zone_is_promoted_in_the_order_of_addresses() -> None:
    """Guards against a group that replaces nobody while builds without zones run in it."""
    group = PlacedGroup({'a1', 'b1', 'c1'}, {'a2', 'd1'}, {'c1'})
    view = group.view()
    unknown = type(view)(
        view.leader,
        view.configuration,
        view.followers,
        view.joining,
        view.last_index,
        view.led_since,
        view.now,
    )
    assert next_group_change(unknown) == PromoteLearner('a2')


def test_surplus_voter_of_the_most_crowded_zone_is_removed() -> None:
    """Guards against the removal of a voter whose zone has no other while another zone has two."""
    assert next_group_change(PlacedGroup({'a1', 'b1', 'c1', 'c2'}).view()) == RemoveMember('c1')
    silent = PlacedGroup({'a1', 'b1', 'c1', 'c2'}, silent={'b1'})
    assert next_group_change(silent.view()) == RemoveMember('b1')


def test_leader_in_the_most_crowded_zone_is_not_removed() -> None:
    """Guards against the removal of the leader, which would cost an election."""
    group = PlacedGroup({'a1', 'a2', 'b1', 'c1'})
    assert group.leader() == 'a1'
    assert next_group_change(group.view()) == RemoveMember('a2')


#: Time after which a live voter may be exchanged, and one that is too short.
SETTLED_S = 11.0
UNSETTLED_S = 9.0


@pytest.mark.parametrize(
    ('voters', 'learners', 'tolerated', 'expected'),
    (
        (('a1', 'a2', 'a3'), ('b1', 'c1', 'd1'), 1, [1, 1, 1]),
        (('a1', 'a2', 'b1'), ('a3', 'b2', 'c1'), 1, [1, 1, 1]),
        (('a1', 'a2', 'b1', 'b2', 'c1'), ('c2', 'd1', 'd2'), 2, [2, 1, 1, 1]),
        (('a1', 'a2', 'a3', 'b1', 'c1'), ('b2', 'c2', 'd1'), 2, [2, 1, 1, 1]),
        (('a1', 'a2', 'b1', 'b2', 'c1'), ('d1', 'e1', 'f1'), 2, [1, 1, 1, 1, 1]),
        (('a1', 'a2', 'a3', 'b1', 'b2'), ('b3', 'a4'), 2, [3, 2]),
    ),
)
def test_voters_are_exchanged_until_they_are_spread_best(
    voters: tuple[str, ...], learners: tuple[str, ...], tolerated: int, expected: list[int]
) -> None:
    """Guards against voters that stay in a crowded zone for ever while nothing is lost.

    A change never leaves a group less able to bear the loss of a zone than it was.
    """
    group = PlacedGroup(set(voters), set(learners), tolerated=tolerated, live_s=SETTLED_S)
    leader, could_bear = group.leader(), group.bears_each_zone()
    for step in group.settle():
        assert group.bears_each_zone() or not could_bear, step
        could_bear = group.bears_each_zone()
        assert leader in group.voters, step
    assert group.voters_by_zone() == expected


def test_group_that_is_not_settled_is_left_alone() -> None:
    """Guards against changes beside restarts and pauses, which would add losses to these."""
    voters, learners = {'a1', 'a2', 'b1'}, {'c1'}
    settled = PlacedGroup(voters, learners, live_s=SETTLED_S)
    assert next_group_change(settled.view()) == PromoteLearner('c1')
    fresh = PlacedGroup(voters, learners, live_s=UNSETTLED_S)
    assert next_group_change(fresh.view()) is None
    paused = PlacedGroup(voters, learners, silent={'c1'}, live_s=SETTLED_S)
    assert next_group_change(paused.view()) == RemoveMember('c1')


def test_voters_are_not_exchanged_while_the_zone_of_one_is_unknown() -> None:
    """Guards against exchanges for a spread that only seems better."""
    learners, zones = ('d1',), {'a1': 'a', 'a2': 'a', 'd1': 'd'}
    voters = frozenset(('a1', 'a2', 'b1'))
    assert choose_exchange(learners, voters, zones) is None
    assert choose_exchange(learners, voters, {**zones, 'b1': 'b'}) == 'd1'
    assert choose_exchange(('c1', 'd1'), voters, {**zones, 'b1': 'b'}) == 'd1'


def test_member_is_live_since_the_last_silence_or_change_of_the_voters() -> None:
    """Guards against an instance that restarts again and again and counts as live all the time."""
    stability = MemberStability()
    voters = frozenset(('a1', 'b1'))
    assert stability.update(voters, ('a1', 'b1', 'c1'), 1.0) == {'a1': 1.0, 'b1': 1.0, 'c1': 1.0}
    assert stability.update(voters, ('a1', 'c1'), 2.0) == {'a1': 1.0, 'c1': 1.0}
    assert stability.update(voters, ('a1', 'b1'), 3.0) == {'a1': 1.0, 'b1': 3.0}
    assert stability.update(voters | {'c1'}, ('a1', 'c1'), 4.0) == {'a1': 4.0, 'c1': 4.0}
