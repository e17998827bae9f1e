"""Tests of the in-memory log and of log offers from a witness."""

from __future__ import annotations

from random import Random

from shallotmux.replication import (
    Configuration,
    Entry,
    EntryKind,
    Envelope,
    HardState,
    LogOffer,
    Replica,
    ReplicaOptions,
    Role,
    Snapshot,
    StoredGroup,
    VoteReply,
    bootstrap_group,
    encode_configuration,
)
from shallotmux.replication._log import ReplicaLog
from tests.replication._group import voters

SINGLE_VOTER = Configuration(frozenset(('v1',)))


def entry(index: int, term: int) -> Entry:
    return Entry(index, term, EntryKind.COMMAND, b'a')


def test_replaced_entry_is_not_persisted() -> None:
    """Guards against a late report of a write that marks a newer entry as durable."""
    log = ReplicaLog(StoredGroup())
    for index in (1, 2, 3):
        log.append(entry(index, 1))
    log.take_unsaved()
    log.append(entry(2, 2))
    log.mark_persisted(3)
    assert log.persisted_index == 1
    stored = ReplicaLog(StoredGroup(entries=(entry(1, 1), entry(2, 1))))
    stored.append(entry(2, 2))
    assert stored.persisted_index == 1


def test_replaced_configuration_is_undone() -> None:
    """Guards against elections and commits under a configuration that was never committed."""
    log = ReplicaLog(bootstrap_group(voters(3)))
    log.append(Entry(2, 1, EntryKind.CONFIGURATION, encode_configuration(SINGLE_VOTER)))
    assert log.configuration == SINGLE_VOTER
    log.append(entry(2, 2))
    assert log.configuration == voters(3)


def test_conflicting_snapshot_drops_later_entries() -> None:
    """Guards against entries of a former leader that survive the snapshot of a newer leader."""
    log = ReplicaLog(StoredGroup(entries=(entry(1, 1), entry(2, 1), entry(3, 1))))
    log.restore(Snapshot(2, 2, SINGLE_VOTER, b''))
    assert log.last_index == 2


def start_voter() -> Replica:
    first = bootstrap_group(voters(3))
    stored = StoredGroup(HardState(4), (*first.entries, entry(2, 3)))
    return Replica('v1', stored, ReplicaOptions(), Random(1), 0)


def deliver_offer(replica: Replica, entries: tuple[Entry, ...], now: float) -> list[Entry]:
    replica.take_effects()
    last = entries[-1]
    offer = LogOffer(replica.status().term, 1, 1, entries, None, last.index, last.term)
    replica.receive(Envelope('v2', 'v1', offer), now)
    return list(replica.take_effects().entries)


def test_offer_is_for_candidates_with_an_older_log() -> None:
    """Guards against offers that replace acknowledged entries or a newer log."""
    newer = (entry(2, 4), entry(3, 4))
    replica = start_voter()
    assert not deliver_offer(replica, newer, 1.0)
    replica = start_voter()
    replica.tick(2.0)
    replica.receive(Envelope('v2', 'v1', VoteReply(5, granted=True, is_pre_vote=True)), 2.0)
    assert replica.status().role is Role.CANDIDATE
    assert not deliver_offer(replica, (entry(2, 2), entry(3, 2)), 2.0)
    assert deliver_offer(replica, newer, 2.0) == list(newer)
