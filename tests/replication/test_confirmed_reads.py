"""Tests of reads that a majority confirms."""

from __future__ import annotations

from tests.replication._group import Group, voters


def depose_frozen(group: Group) -> str:
    """Freeze the leader and its clock until another one has committed; return the frozen one."""
    frozen = group.leader()
    replica = group.replicas.pop(frozen)
    group.run(4)
    successor = group.replicas[group.leader()]
    successor.propose(b'newer', group.now)
    group.run(1)
    group.replicas[frozen] = replica
    return frozen


def test_leader_whose_clock_stood_still_answers_no_confirmed_read() -> None:
    """Guards against a read of old state under a lease that is valid by the leader's clock alone."""
    group = Group(voters(3))
    group.run(4)
    frozen_at = group.now
    name = depose_frozen(group)
    frozen = group.replicas[name]
    assert frozen.status().lease_end > frozen_at
    # The lease by itself answers at once: what a confirmed read must not do.
    frozen.read_index(frozen_at)
    assert len(frozen.take_effects().reads) == 1
    frozen.read_index(frozen_at, uses_lease=False)
    group.run(3)
    assert not group.reads


def test_confirmed_read_is_answered_after_one_round() -> None:
    """Guards against confirmed reads that wait for a heartbeat interval."""
    group = Group(voters(3))
    group.run(4)
    leader = group.replicas[group.leader()]
    token = leader.read_index(group.now, uses_lease=False)
    group.execute_effects(group.leader())
    assert not group.reads
    group.run(0.03)
    assert [each.token for each in group.reads] == [token]


def test_isolated_leader_answers_no_confirmed_read() -> None:
    """Guards against a read that is confirmed by a round of before the request."""
    group = Group(voters(3))
    group.run(4)
    name = group.leader()
    group.isolated.add(name)
    group.replicas[name].read_index(group.now, uses_lease=False)
    group.run(3)
    assert not group.reads
