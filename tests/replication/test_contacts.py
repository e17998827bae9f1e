"""Tests of what a new leader knows of when the members were last heard of."""

from __future__ import annotations

import msgspec

from shallotmux.replication import AppendRequest, MemberSilence, ReplicaOptions, Role
from tests.replication._group import Group, voters

OPTIONS = ReplicaOptions()

#: Longest time by which a silence is known too short: a member is named once it has been silent for the
#: shortest election timeout, in the heartbeat after that.
REPORT_DELAY_S = OPTIONS.election_min_s + OPTIONS.heartbeat_s

#: Longest time by which it is known too long: it counts from the last heartbeat that was answered.
ANSWER_DELAY_S = OPTIONS.heartbeat_s + 0.05


def heard_ago(group: Group, member: str) -> float:
    """Return for how long the leader has not heard of a member."""
    return group.now - group.replicas[group.leader()].followers()[member].heard_at


def lose_leader(group: Group) -> str:
    """Remove the leader, run until another one is elected, and return the name of the first."""
    lost = group.leader()
    group.kill(lost)
    while not any(each.status().role is Role.LEADER for each in group.replicas.values()):
        group.step()
    return lost


def test_new_leader_knows_since_when_a_voter_is_silent() -> None:
    """Guards against leaders that count the silence of a voter anew, so that none replaces it."""
    for seed in range(10):
        group = Group(voters(5), seed)
        group.run(3)
        silent = next(name for name in sorted(group.replicas) if name != group.leader())
        group.kill(silent)
        lost_at = group.now
        group.run(2)
        old_leader = lose_leader(group)
        leader_lost_at = lost_at + 2
        group.run(0.2)
        known = heard_ago(group, silent)
        assert group.now - lost_at - REPORT_DELAY_S <= known <= group.now - lost_at + ANSWER_DELAY_S
        known = heard_ago(group, old_leader)
        assert (
            group.now - leader_lost_at - 0.05
            <= known
            <= group.now - leader_lost_at + ANSWER_DELAY_S
        )


def test_silence_is_handed_on_from_leader_to_leader() -> None:
    """Guards against knowledge that ends with the second leader after the loss."""
    group = Group(voters(7))
    group.run(3)
    silent = next(name for name in sorted(group.replicas) if name != group.leader())
    group.kill(silent)
    lost_at = group.now
    group.run(2)
    for _ in range(2):
        lose_leader(group)
        group.run(0.5)
    assert heard_ago(group, silent) >= group.now - lost_at - REPORT_DELAY_S


def test_voters_that_answer_a_new_leader_are_not_silent() -> None:
    """Guards against a new leader that takes a voter for silent since before the election."""
    group = Group(voters(3))
    group.run(3)
    lose_leader(group)
    group.run(0.1)
    living = group.replicas.keys() - {group.leader()}
    assert max(heard_ago(group, name) for name in living) <= ANSWER_DELAY_S


class OldAppendRequest(msgspec.Struct, frozen=True, tag='AppendRequest'):
    """Heartbeat of a build that knows nothing of silences."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[()]
    commit_index: int
    round_number: int
    sent_at: float


def test_heartbeat_of_a_build_without_silences_is_read() -> None:
    """Guards against builds beside each other that refuse each other's heartbeats."""
    old = OldAppendRequest(2, 1, 1, (), 1, 5, 3.5)
    new = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=AppendRequest)
    assert new == AppendRequest(2, 1, 1, (), 1, 5, 3.5)
    reported = AppendRequest(2, 1, 1, (), 1, 5, 3.5, (MemberSilence('v1', 2.5),))
    payload = msgspec.msgpack.encode(reported)
    assert msgspec.msgpack.decode(payload, type=AppendRequest) == reported
    assert msgspec.msgpack.decode(payload, type=OldAppendRequest) == old
