"""Tests of the limits in bytes on what a replica keeps of its log."""

from __future__ import annotations

from random import Random

import pytest

from shallotmux.errors import LogFull
from shallotmux.replication import Entry, EntryKind, ReplicaOptions, StoredGroup
from shallotmux.replication._log import ReplicaLog
from tests.replication._group import Group, voters

OPTIONS = ReplicaOptions(snapshot_after_bytes=10_000, retained_bytes=3_000)


def make_log(random: Random, count: int) -> ReplicaLog:
    log = ReplicaLog(StoredGroup())
    for index in range(1, count + 1):
        log.append(Entry(index, 1, EntryKind.COMMAND, bytes(random.randint(0, 50))))
    log.take_unsaved()
    log.mark_persisted(count)
    return log


def held_bytes(log: ReplicaLog, first: int, last: int) -> int:
    """Add up the payloads entry by entry, for comparison."""
    return sum(len(each.payload) for each in log.slice_from(max(first, log.first_index), last))


@pytest.mark.parametrize('seed', range(50))
def test_sizes_agree_with_a_sum_over_the_entries(seed: int) -> None:
    """Guards against cumulative sizes that are wrong after a truncation or a snapshot."""
    random = Random(seed)
    log = make_log(random, 40)
    for _ in range(8):
        if log.first_index > log.last_index:
            log.append(Entry(log.first_index, 2, EntryKind.COMMAND, bytes(random.randint(0, 50))))
            log.take_unsaved()
            log.mark_persisted(log.last_index)
        if random.randint(0, 1):
            first = random.randint(log.first_index, log.last_index)
            log.append(Entry(first, 2, EntryKind.COMMAND, bytes(random.randint(0, 50))))
            log.take_unsaved()
            log.mark_persisted(log.last_index)
        else:
            index = random.randint(log.first_index, log.last_index)
            retained_bytes = random.randint(0, 400)
            before = [(each, held_bytes(log, each, index)) for each in range(1, index + 1)]
            old_first = log.first_index
            log.compact(index, b'state', 10, retained_bytes)
            allowed = [each for each, size in before if size <= retained_bytes] + [index + 1]
            assert log.first_index == max(old_first, index - 9, allowed[0])
        first = random.randint(log.first_index, log.last_index + 1)
        last = random.randint(first - 1, log.last_index)
        assert log.payload_bytes(first, last) == held_bytes(log, first, last)
        limit = random.randint(0, 300)
        within = log.last_within(first, limit)
        assert held_bytes(log, first, within) <= limit
        assert within == log.last_index or held_bytes(log, first, within + 1) > limit


@pytest.mark.parametrize('size', (50, 900, 12_000))
def test_log_is_bounded_by_bytes(size: int) -> None:
    """Guards against a log whose size in memory and on disk grows with that of its entries."""
    group = Group(voters(3), options=OPTIONS)
    group.run(5)
    allowed = OPTIONS.snapshot_after_bytes + OPTIONS.retained_bytes + 2 * size
    for _ in range(60):
        leader = group.replicas[group.leader()]
        leader.propose(bytes(size), group.now)
        group.run(0.1)
        for replica in group.replicas.values():
            if replica.is_snapshot_due():
                replica.compact(replica.status().commit_index, b'state')
        assert max(each.sizes().entry_bytes for each in group.replicas.values()) <= allowed
    assert all(len(group.commands(name)) == 60 for name in group.replicas)


def test_log_may_grow_to_the_size_of_a_large_snapshot() -> None:
    """Guards against rewriting a large state after each few entries."""
    group = Group(voters(1), options=OPTIONS)
    group.run(5)
    leader = group.replicas[group.leader()]
    leader.propose(bytes(10_000), group.now)
    group.run(0.1)
    assert leader.is_snapshot_due()
    leader.compact(leader.status().commit_index, bytes(30_000))
    group.run(0.1)
    sizes_when_due = []
    for number in range(1, 4):
        leader.propose(bytes(10_000), group.now)
        group.run(0.1)
        sizes_when_due.extend([number] if leader.is_snapshot_due() else [])
    assert sizes_when_due == [3]


@pytest.mark.parametrize('size', (100, 900, 5_000))
def test_entries_in_flight_are_bounded_by_bytes(size: int) -> None:
    """Guards against a leader that queues its whole log, once for each member that is silent."""
    group = Group(voters(3), options=ReplicaOptions(max_in_flight_bytes=4_000))
    group.run(5)
    leader = group.replicas[group.leader()]
    silent = min(set(group.replicas) - {group.leader()})
    group.isolated.add(silent)
    group.sent_bytes.clear()
    for _ in range(60):
        leader.propose(bytes(size), group.now)
        group.run(0.05)
    assert group.sent_bytes[silent] <= max(size, 4_000)
    group.isolated.clear()
    group.run(5)
    assert len(group.commands(silent)) == 60


def test_uncommitted_entries_are_bounded_by_bytes() -> None:
    """Guards against a leader without a quorum that takes commands until its memory is used up."""
    options = ReplicaOptions(max_uncommitted_bytes=4_000)
    group = Group(voters(3), options=options)
    group.run(5)
    name = group.leader()
    group.isolated.add(name)
    leader = group.replicas[name]
    before = leader.sizes().entry_bytes
    refused = 0
    for _ in range(60):
        try:
            leader.propose(bytes(900), group.now)
        except LogFull:
            refused += 1
    assert refused == 56
    assert leader.sizes().entry_bytes - before <= options.max_uncommitted_bytes
    group.isolated.clear()
    group.run(5)
    newest = group.replicas[group.leader()]
    newest.propose(bytes(5_000), group.now)
    group.run(1)
    assert bytes(5_000) in group.commands(group.leader())
