"""Tests of membership change, new members and recovery."""

from __future__ import annotations

import pytest

from shallotmux.errors import MembershipRefused
from shallotmux.replication import (
    MAX_VOTERS_IN_EXCHANGE,
    AddLearner,
    AppendRequest,
    Configuration,
    Entry,
    EntryKind,
    HardState,
    PromoteLearner,
    RemoveMember,
    ReplicaOptions,
    Role,
    StoredGroup,
    bootstrap_group,
    recover_group,
    survey_disks,
)
from shallotmux.replication._recovery import UNSEEN_TERMS
from tests.replication._group import Group, voters


def start_group(options: ReplicaOptions | None = None) -> tuple[Group, str]:
    group = Group(voters(3), options=options)
    group.run(3)
    return group, group.leader()


def test_new_member_without_state_never_campaigns() -> None:
    """Guards against a new, empty group that starts after all state is lost."""
    group, leader = start_group()
    group.start('new', StoredGroup())
    group.isolated.add('new')
    group.run(10)
    status = group.replicas['new'].status()
    assert (status.role, status.term) == (Role.FOLLOWER, 0)


def test_diskless_voter_rejoins_under_new_identity() -> None:
    """Guards against a group that tolerates fewer failures after a diskless voter restarts."""
    group, leader = start_group()
    old = next(name for name in group.replicas if name != leader)
    group.kill(old)
    group.start('new', StoredGroup())
    for change in (AddLearner('new'), PromoteLearner('new'), RemoveMember(old)):
        group.replicas[leader].change_membership(change, group.now)
        group.run(0.5)
    configuration = group.replicas['new'].status().configuration
    assert configuration.voters == {leader, 'new', *group.replicas}
    assert old not in configuration.disks


def test_second_pending_change_is_refused() -> None:
    """Guards against two configurations whose majorities do not overlap."""
    group, leader = start_group()
    group.replicas[leader].change_membership(AddLearner('a'), group.now)
    with pytest.raises(MembershipRefused, match='not committed'):
        group.replicas[leader].change_membership(AddLearner('b'), group.now)


def test_learner_that_lags_is_not_promoted() -> None:
    """Guards against a new voter without the log, for which commits have to wait."""
    group, leader = start_group()
    group.replicas[leader].change_membership(AddLearner('absent'), group.now)
    group.run(0.5)
    with pytest.raises(MembershipRefused, match='caught up'):
        group.replicas[leader].change_membership(PromoteLearner('absent'), group.now)


def test_voters_beyond_the_limit_are_refused() -> None:
    """Guards against a group that grows without bound, each commit of which waits for more voters."""
    group = Group(voters(MAX_VOTERS_IN_EXCHANGE))
    group.run(3)
    leader = group.leader()
    group.start('new', StoredGroup())
    group.replicas[leader].change_membership(AddLearner('new'), group.now)
    group.run(0.5)
    with pytest.raises(MembershipRefused, match='one voter more than 8'):
        group.replicas[leader].change_membership(PromoteLearner('new'), group.now)


def test_removed_leader_steps_down() -> None:
    """Guards against a removed leader that continues to lead the group."""
    group, leader = start_group()
    group.replicas[leader].change_membership(RemoveMember(leader), group.now)
    group.run(0.5)
    assert group.replicas[leader].status().role is Role.FOLLOWER
    group.run(3)
    assert group.leader() != leader


def test_batches_and_window_bound_the_messages() -> None:
    """Guards against an overloaded follower, and a message larger than the transport accepts."""
    options = ReplicaOptions(max_batch_entries=4, max_batch_bytes=100, max_in_flight_entries=6)
    group, leader = start_group(options)
    replica = group.replicas[leader]
    for size in (90, 90, 10, 10, 10, 10, 10, 10, 10):
        replica.propose(b'x' * size, group.now)
    sent = [each for each in replica.take_effects().messages if each.recipient != leader]
    recipient = sent[0].recipient
    counts = [
        len(each.message.entries)
        for each in sent
        if each.recipient == recipient and isinstance(each.message, AppendRequest)
    ]
    assert counts == [1, 2, 3]


def test_snapshot_is_due_after_entries() -> None:
    """Guards against a log that grows without bound, and with it the replay at a restart."""
    group, leader = start_group(ReplicaOptions(snapshot_after_entries=5))
    assert not group.replicas[leader].is_snapshot_due()
    for _ in range(5):
        group.replicas[leader].propose(b'a', group.now)
    group.run(0.5)
    assert group.replicas[leader].is_snapshot_due()
    group.replicas[leader].compact(6, b'state')
    assert not group.replicas[leader].is_snapshot_due()
    with pytest.raises(ValueError, match='no snapshot at 6'):
        group.replicas[leader].compact(6, b'state')


def test_recovery_takes_the_newest_disk() -> None:
    """Guards against a recovery that loses a committed entry or ignores a missing disk."""
    names = frozenset(('d1', 'd2', 'v'))
    first = bootstrap_group(Configuration(names, disks=frozenset(('d1', 'd2'))))
    command = Entry(2, 2, EntryKind.COMMAND, b'a')
    newer = StoredGroup(HardState(2), (*first.entries, command))
    with pytest.raises(MembershipRefused, match='d2'):
        recover_group({'d1': first})
    name, recovered = recover_group({'d1': first, 'd2': newer})
    group = Group(Configuration(frozenset()))
    group.start(name, recovered)
    group.run(3)
    assert group.leader() == name == 'd2'
    assert group.commands('d2') == [b'a']


@pytest.mark.parametrize(
    ('voters', 'left', 'is_complete'),
    ((3, 1, False), (3, 2, True), (4, 2, False), (4, 3, True), (5, 2, False), (5, 3, True)),
)
def test_recovery_needs_a_majority_of_the_disks(voters: int, left: int, is_complete: bool) -> None:
    """Guards against a loss that nobody accepted; half of the disks may miss a later voter."""
    names = [f'd{number}' for number in range(voters)]
    members = Configuration(
        frozenset(names), frozenset(('learner',)), frozenset((*names, 'learner'))
    )
    stored = dict.fromkeys(names[:left], bootstrap_group(members))
    assert survey_disks(stored).is_complete is is_complete
    if not is_complete:
        with pytest.raises(MembershipRefused, match=f'only {left} of {voters} voters'):
            recover_group(stored)
    term = recover_group(stored, accepts_loss=True)[1].hard_state.term
    assert (term > UNSEEN_TERMS) is not is_complete
