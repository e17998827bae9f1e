"""Tests of leases, reads, transfer, quorum loss and witnesses."""

from __future__ import annotations

from random import Random

import pytest

from shallotmux.errors import MembershipRefused, NotLeader
from shallotmux.replication import (
    Configuration,
    Envelope,
    Replica,
    ReplicaOptions,
    Role,
    VoteReply,
    VoteRequest,
    bootstrap_group,
)
from tests.replication._group import Group, voters


def elected(count: int = 3, options: ReplicaOptions | None = None) -> tuple[Group, str]:
    group = Group(voters(count), options=options)
    group.run(3)
    return group, group.leader()


def others(group: Group, name: str) -> list[str]:
    return [each for each in group.replicas if each != name]


def test_isolated_leader_steps_down() -> None:
    """Guards against a leader that serves reads and orders after it lost its quorum."""
    group, leader = elected()
    group.cut.add(leader)
    cut_at = group.now
    group.run(0.7)
    assert group.replicas[leader].status().lease_end < group.now
    group.run(2)
    status = group.replicas[leader].status()
    assert status.role is not Role.LEADER
    assert status.last_leader_contact <= cut_at
    assert group.leader() != leader


def test_returning_follower_keeps_leader() -> None:
    """Guards against a follower that deposes a working leader after a partition heals."""
    group, leader = elected()
    term = group.replicas[leader].status().term
    group.cut.add(others(group, leader)[0])
    group.run(10)
    group.cut.clear()
    group.run(3)
    assert group.leader() == leader
    assert group.replicas[leader].status().term == term


def test_read_under_lease_needs_no_round() -> None:
    """Guards against a read that waits for the network while the lease holds."""
    group, leader = elected()
    token = group.replicas[leader].read_index(group.now)
    group.settle(leader)
    assert [ready.token for ready in group.reads] == [token]


def test_read_without_lease_waits_for_quorum() -> None:
    """Guards against a stale read from a leader that may have been replaced."""
    group, leader = elected(options=ReplicaOptions(lease_s=0))
    group.cut.add(leader)
    group.replicas[leader].read_index(group.now)
    group.run(0.5)
    assert not group.reads
    group.cut.clear()
    group.run(0.5)
    assert len(group.reads) == 1


def test_transfer_moves_leadership_at_once() -> None:
    """Guards against a planned shutdown that costs an election timeout, or overlapping leases."""
    group, leader = elected()
    target = others(group, leader)[0]
    group.replicas[leader].transfer(target, group.now)
    with pytest.raises(NotLeader, match='transferred'):
        group.replicas[leader].propose(b'a', group.now)
    assert group.replicas[leader].status().lease_end < group.now
    group.settle(leader)
    group.run(0.1)
    assert group.leader() == target


def test_failed_transfer_steps_down() -> None:
    """Guards against a new lease while the target may still start its election."""
    group, leader = elected()
    target = others(group, leader)[0]
    group.cut.add(target)
    group.replicas[leader].transfer(target, group.now)
    group.run(1.61)
    assert group.replicas[leader].status().role is Role.FOLLOWER


def test_entry_waits_for_a_disk() -> None:
    """Guards against a commit that a restart of the whole zone would lose."""
    names = frozenset(('v1', 'v2', 'v3'))
    group = Group(Configuration(names, disks=frozenset(('v1',))))
    group.run(3)
    if group.leader() == 'v1':
        group.replicas['v1'].transfer('v2', group.now)
        group.run(0.5)
    leader = group.leader()
    assert leader != 'v1'
    group.cut.add('v1')
    group.replicas[leader].propose(b'a', group.now)
    group.run(0.5)
    assert not group.commands(leader)
    group.cut.clear()
    group.run(0.5)
    assert group.commands(leader) == [b'a']


def test_restarted_voter_waits_before_it_votes() -> None:
    """Guards against a vote that breaks a lease which rests on the voter's former answer."""
    options = ReplicaOptions()
    replica = Replica('v1', bootstrap_group(voters(3)), options, Random(1), 0)
    request = VoteRequest(5, 9, 4, 0)
    replica.receive(Envelope('v2', 'v1', request), options.election_min_s / 2)
    assert not replica.take_effects().messages
    replica.receive(Envelope('v2', 'v1', request), options.election_min_s)
    answers = replica.take_effects().messages
    assert [each.message for each in answers] == [VoteReply(5, granted=True)]


def test_one_vote_in_a_term() -> None:
    """Guards against two leaders in one term."""
    replica = Replica('v1', bootstrap_group(voters(3)), ReplicaOptions(), Random(1), 0)
    replica.receive(Envelope('v2', 'v1', VoteRequest(5, 9, 4, 0)), 0.8)
    replica.receive(Envelope('v3', 'v1', VoteRequest(5, 9, 4, 0)), 0.8)
    effects = replica.take_effects()
    assert [each.message.granted for each in effects.messages] == [True, False]  # type: ignore
    assert effects.hard_state is not None
    assert effects.hard_state.vote == 'v2'


def test_witness_hands_over_its_log_and_never_leads() -> None:
    """Guards against a pair that cannot go on once the leader and its newest entries are lost."""
    names = frozenset(('v1', 'v2', 'w'))
    group = Group(Configuration(names, disks=names, witnesses=frozenset('w')))
    group.run(3)
    leader = group.leader()
    survivor = next(name for name in ('v1', 'v2') if name != leader)
    group.cut.add(survivor)
    group.replicas[leader].propose(b'a', group.now)
    group.run(0.5)
    assert group.commands(leader) == [b'a']
    group.kill(leader)
    group.cut.clear()
    for _ in range(500):
        group.step()
        assert group.replicas['w'].status().role is Role.FOLLOWER
    assert group.leader() == survivor
    assert group.commands(survivor) == [b'a']


def test_transfer_to_witness_is_refused() -> None:
    """Guards against a witness that is made leader by hand."""
    names = frozenset(('v1', 'v2', 'w'))
    group = Group(Configuration(names, disks=names, witnesses=frozenset('w')))
    group.run(3)
    with pytest.raises(MembershipRefused, match="'w' cannot take over"):
        group.replicas[group.leader()].transfer('w', group.now)
