"""Tests of what members that never campaign know of a leader that is gone."""

from __future__ import annotations

import pytest

from shallotmux.replication import AddLearner, RemoveMember, StoredGroup
from tests.replication._group import Group, voters

NEW = 'learner'

#: More than the longest election timeout.
LONG_SILENCE_S = 3.0


@pytest.fixture
def group() -> Group:
    """Return a group of three voters and a learner."""
    group = Group(voters(3))
    group.run(3)
    group.start(NEW, StoredGroup())
    group.replicas[group.leader()].change_membership(AddLearner(NEW, has_disk=True), group.now)
    group.run(1)
    return group


def test_learner_forgets_a_leader_that_is_gone(group: Group) -> None:
    """Guards against a learner that takes the last leader for the present one for ever."""
    assert group.replicas[NEW].status().leader == group.leader()
    for name in set(group.replicas) - {NEW}:
        group.kill(name)
    group.run(LONG_SILENCE_S)
    assert group.replicas[NEW].status().leader is None


def test_learner_keeps_a_leader_that_sends_heartbeats(group: Group) -> None:
    """Guards against a learner that forgets a leader which only has nothing to commit."""
    for _ in range(30):
        group.run(0.1)
        assert group.replicas[NEW].status().leader == group.leader()


def test_removed_learner_forgets_the_leader(group: Group) -> None:
    """Guards against a removed learner that asks the leader of its time for ever."""
    group.replicas[group.leader()].change_membership(RemoveMember(NEW), group.now)
    group.run(LONG_SILENCE_S)
    assert group.replicas[NEW].status().leader is None
