"""Tests of election, replication and snapshots."""

from __future__ import annotations

import pytest

from shallotmux.errors import NotLeader
from shallotmux.replication import AddLearner, ReplicaOptions, StoredGroup
from tests.replication._group import Group, voters


def test_command_is_applied_everywhere() -> None:
    """Guards against a committed command that a replica does not apply."""
    group = Group(voters(3))
    group.run(3)
    group.replicas[group.leader()].propose(b'a', group.now)
    group.run(0.1)
    assert all(group.commands(name) == [b'a'] for name in group.replicas)


def test_commands_survive_loss_of_leader() -> None:
    """Guards against a new leader without the committed commands."""
    group = Group(voters(3))
    group.run(3)
    first = group.leader()
    group.replicas[first].propose(b'a', group.now)
    group.run(0.1)
    group.kill(first)
    group.run(4)
    group.replicas[group.leader()].propose(b'b', group.now)
    group.run(0.1)
    assert group.commands(group.leader()) == [b'a', b'b']


def test_follower_refuses_proposal() -> None:
    """Guards against a follower that accepts a proposal, which would never be replicated."""
    group = Group(voters(3))
    group.run(3)
    leader = group.leader()
    follower = next(name for name in group.replicas if name != leader)
    with pytest.raises(NotLeader) as caught:
        group.replicas[follower].propose(b'a', group.now)
    assert caught.value.leader == leader


def test_learner_gets_snapshot() -> None:
    """Guards against a new member that waits for entries that a snapshot has replaced."""
    group = Group(voters(3), options=ReplicaOptions(retained_entries=0))
    group.run(3)
    leader = group.replicas[group.leader()]
    index, _ = leader.propose(b'a', group.now)
    group.run(0.1)
    leader.compact(index, b'state')
    group.start('l1', StoredGroup())
    leader.change_membership(AddLearner('l1'), group.now)
    leader.propose(b'b', group.now)
    group.run(1)
    assert group.commands('l1') == [b'b']
    assert group.replicas['l1'].status().configuration.learners == {'l1'}
