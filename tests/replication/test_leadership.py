"""Tests of leases, reads, leadership transfer, quorum loss, votes and witnesses."""

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


def start_group(count: int = 3, options: ReplicaOptions | None = None) -> tuple[Group, str]:
    group = Group(voters(count), options=options)
    group.run(3)
    return group, group.leader()


def other_members(group: Group, name: str) -> list[str]:
    return [each for each in group.replicas if each != name]


def test_isolated_leader_steps_down() -> None:
    """Guards against a leader that serves reads and commands after it lost its quorum."""
    group, leader = start_group()
    group.isolated.add(leader)
    isolated_at = group.now
    group.run(0.7)
    assert group.replicas[leader].status().lease_end < group.now
    group.run(2)
    status = group.replicas[leader].status()
    assert status.role is not Role.LEADER
    assert status.last_leader_contact <= isolated_at
    assert group.leader() != leader


def test_returning_follower_keeps_leader() -> None:
    """Guards against a follower that replaces a healthy leader after a partition heals."""
    group, leader = start_group()
    term = group.replicas[leader].status().term
    group.isolated.add(other_members(group, leader)[0])
    group.run(10)
    group.isolated.clear()
    group.run(3)
    assert group.leader() == leader
    assert group.replicas[leader].status().term == term


def test_read_under_lease_needs_no_round() -> None:
    """Guards against a read that waits for a heartbeat round while the lease holds."""
    group, leader = start_group()
    token = group.replicas[leader].read_index(group.now)
    group.execute_effects(leader)
    assert [ready.token for ready in group.reads] == [token]


def test_read_without_lease_waits_for_quorum() -> None:
    """Guards against a stale read from a leader that may have been replaced."""
    group, leader = start_group(options=ReplicaOptions(lease_s=0))
    group.isolated.add(leader)
    group.replicas[leader].read_index(group.now)
    group.run(0.5)
    assert not group.reads
    group.isolated.clear()
    group.run(0.5)
    assert len(group.reads) == 1


def test_transfer_moves_leadership_at_once() -> None:
    """Guards against a transfer that takes an election timeout, and against overlapping leases."""
    group, leader = start_group()
    target = other_members(group, leader)[0]
    group.replicas[leader].transfer(target, group.now)
    with pytest.raises(NotLeader, match='transferred'):
        group.replicas[leader].propose(b'a', group.now)
    assert group.replicas[leader].status().lease_end < group.now
    group.execute_effects(leader)
    group.run(0.1)
    assert group.leader() == target


def test_failed_transfer_steps_down() -> None:
    """Guards against a new lease while the transfer target may still start its election."""
    group, leader = start_group()
    target = other_members(group, leader)[0]
    group.isolated.add(target)
    group.replicas[leader].transfer(target, group.now)
    group.run(1.61)
    assert group.replicas[leader].status().role is Role.FOLLOWER


def test_entry_waits_for_a_disk() -> None:
    """Guards against a committed entry that a restart of the whole zone would lose."""
    names = frozenset(('v1', 'v2', 'v3'))
    group = Group(Configuration(names, disks=frozenset(('v1',))))
    group.run(3)
    if group.leader() == 'v1':
        group.replicas['v1'].transfer('v2', group.now)
        group.run(0.5)
    leader = group.leader()
    assert leader != 'v1'
    group.isolated.add('v1')
    group.replicas[leader].propose(b'a', group.now)
    group.run(0.5)
    assert not group.commands(leader)
    group.isolated.clear()
    group.run(0.5)
    assert group.commands(leader) == [b'a']


def test_restarted_voter_waits_before_it_votes() -> None:
    """Guards against a vote during a lease that depends on a reply before the restart."""
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


def test_witness_sends_its_log_and_never_leads() -> None:
    """Guards against a group without a leader when only a witness holds the newest entries."""
    names = frozenset(('v1', 'v2', 'w'))
    group = Group(Configuration(names, disks=names, witnesses=frozenset('w')))
    group.run(3)
    leader = group.leader()
    survivor = next(name for name in ('v1', 'v2') if name != leader)
    group.isolated.add(survivor)
    group.replicas[leader].propose(b'a', group.now)
    group.run(0.5)
    assert group.commands(leader) == [b'a']
    group.kill(leader)
    group.isolated.clear()
    for _ in range(500):
        group.step()
        assert group.replicas['w'].status().role is Role.FOLLOWER
    assert group.leader() == survivor
    assert group.commands(survivor) == [b'a']


def test_transfer_to_witness_is_refused() -> None:
    """Guards against a witness that becomes leader by a leadership transfer."""
    names = frozenset(('v1', 'v2', 'w'))
    group = Group(Configuration(names, disks=names, witnesses=frozenset('w')))
    group.run(3)
    with pytest.raises(MembershipRefused, match="'w' cannot take over"):
        group.replicas[group.leader()].transfer('w', group.now)
