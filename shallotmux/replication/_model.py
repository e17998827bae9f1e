"""Data types that a replica exchanges with its driver, storage and peers."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

import msgspec

if TYPE_CHECKING:
    from shallotmux.replication._messages import Envelope

#: Term and index of the entry that holds the first configuration of a group.
FIRST_TERM = 1
FIRST_INDEX = 1


class EntryKind(enum.Enum):
    """Kind of a log entry's payload."""

    COMMAND = 'command'
    CONFIGURATION = 'configuration'
    TERM_START = 'term_start'


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Configuration(msgspec.Struct, frozen=True):
    """Members of a group.

    :param voters: members that elect leaders and count towards the majority.
    :param learners: members that replicate the log without a vote.
    :param disks: members that store the log on a disk.
    :param witnesses: members that replicate the log and vote once promoted, but never lead.
    """

    voters: frozenset[str]
    learners: frozenset[str] = frozenset()
    disks: frozenset[str] = frozenset()
    witnesses: frozenset[str] = frozenset()

    @property
    def members(self) -> frozenset[str]:
        """Return the voters and the learners."""
        return self.voters | self.learners

    @property
    def majority(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def may_lead(self, name: str) -> bool:
        """Return whether a member may become leader."""
        return name in self.voters and name not in self.witnesses


#: Ticks per heartbeat interval.
TICKS_PER_HEARTBEAT = 4


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Timeouts and limits of a replica; times in seconds.

    :param heartbeat_s: interval of the leader's heartbeats.
    :param election_min_s: shortest election timeout; no vote is granted within this time after a
        message of the leader.
    :param election_max_s: longest election timeout; a leader that has no quorum for this time
        steps down.
    :param lease_s: duration of the leader's lease before the clock margin is subtracted.
    :param clock_rate_margin: maximum relative difference between the clock rates of instances.
    :param max_batch_entries: maximum number of entries in one message.
    :param max_batch_bytes: maximum payload bytes in one message; a single entry may exceed it.
    :param max_in_flight_entries: maximum number of entries sent to a follower and not yet
        acknowledged.
    :param max_in_flight_bytes: maximum payload bytes of these entries; a single entry may exceed it.
    :param max_uncommitted_bytes: payload bytes of uncommitted entries beyond which a leader refuses
        further commands; a single entry may exceed it.
    :param snapshot_after_entries: number of committed entries after which a snapshot is due.
    :param snapshot_after_bytes: payload bytes of committed entries after which a snapshot is due,
        unless the last snapshot is larger: then it is due after as many bytes as that has.
    :param retained_entries: number of entries kept in memory before a snapshot, for followers
        that are behind.
    :param retained_bytes: maximum payload bytes of these entries.
    :param snapshot_retry_s: time after which an unacknowledged snapshot is sent again.
    """

    heartbeat_s: float = 0.2
    election_min_s: float = 0.8
    election_max_s: float = 1.6
    lease_s: float = 0.7
    clock_rate_margin: float = 0.02
    max_batch_entries: int = 256
    max_batch_bytes: int = 1 << 20
    max_in_flight_entries: int = 2048
    max_in_flight_bytes: int = 4 << 20
    max_uncommitted_bytes: int = 8 << 20
    snapshot_after_entries: int = 10000
    snapshot_after_bytes: int = 8 << 20
    retained_entries: int = 1000
    retained_bytes: int = 8 << 20
    snapshot_retry_s: float = 5.0

    @property
    def tick_s(self) -> float:
        """Return the longest interval between two ticks."""
        return self.heartbeat_s / TICKS_PER_HEARTBEAT

    @property
    def lease_length_s(self) -> float:
        """Return the time for which an acknowledged heartbeat round extends the lease.

        The lease must end before any voter grants its next vote, even if the clock of the voter
        is faster by the margin: ``(1 - margin) * (1 + margin) < 1``.
        """
        return min(self.lease_s, self.election_min_s) * (1 - self.clock_rate_margin)


class HardState(msgspec.Struct, frozen=True):
    """Term and vote; must be durable before any message of that term is sent."""

    term: int
    vote: str | None = None


class Entry(msgspec.Struct, frozen=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class Snapshot(msgspec.Struct, frozen=True):
    """State of the application after an index; replaces the entries up to it."""

    index: int
    term: int
    configuration: Configuration
    payload: bytes


class StoredGroup(msgspec.Struct, frozen=True):
    """Stored state of a replica; a new member starts with the default."""

    hard_state: HardState = HardState(0)
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class ReadReady:
    """Read that may be served once the application has applied the index."""

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class Effects:
    """Actions that a driver executes for a replica, in the order of the fields.

    The driver makes the first three durable, calls ``Replica.mark_persisted`` and only then sends
    the messages.

    :param hard_state: new term and vote, if they changed.
    :param entries: entries to append, after truncating the stored log from the index of the first.
    :param snapshot: snapshot to store. If its index is beyond the last applied entry, it came from
        the leader and the application must be restored from it.
    :param committed: newly committed entries of all kinds, in the order of the log.
    :param reads: reads that may be served once their index is applied.
    """

    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    messages: tuple[Envelope, ...] = ()
    committed: tuple[Entry, ...] = ()
    reads: tuple[ReadReady, ...] = ()


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """Status of a replica and of its group as known to it.

    :param lease_end: end of the lease on the local clock; minus infinity unless this replica leads.
    :param last_leader_contact: local time of the last message of the leader; on the leader, the
        send time of the newest heartbeat round acknowledged by a majority.
    """

    role: Role
    term: int
    leader: str | None
    commit_index: int
    last_index: int
    lease_end: float
    last_leader_contact: float
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class LogSizes:
    """Sizes of what a replica holds, in bytes.

    :param entry_bytes: payloads of the log entries held in memory.
    :param snapshot_bytes: payload of the latest snapshot.
    """

    entry_bytes: int
    snapshot_bytes: int


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """Replication status of a follower as known to the leader.

    :param match_index: last index up to which the logs are known to be equal.
    :param acked_at: send time of the newest heartbeat that it acknowledged; minus infinity before
        the first.
    :param heard_at: latest time at which this leader or an earlier one is known to have heard of it;
        the start of the leadership, or the time when it became a member, if none is known.
    """

    match_index: int
    acked_at: float
    heard_at: float = float('-inf')


@dataclass(frozen=True, slots=True)
class AddLearner:
    """Adds a member that replicates the log without a vote."""

    name: str
    has_disk: bool = False
    is_witness: bool = False


@dataclass(frozen=True, slots=True)
class PromoteLearner:
    """Makes a voter of a learner that has caught up."""

    name: str


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Removes a voter or a learner."""

    name: str


MembershipChange: TypeAlias = AddLearner | PromoteLearner | RemoveMember


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode the payload of a configuration entry; equal configurations give equal bytes."""
    return msgspec.msgpack.encode(configuration, order='deterministic')


def decode_configuration(payload: bytes) -> Configuration:
    """Decode the payload of a configuration entry."""
    return msgspec.msgpack.decode(payload, type=Configuration)


def bootstrap_group(configuration: Configuration) -> StoredGroup:
    """Return the initial state of a new group, identical for all its voters.

    A replica without stored state waits for a leader, so a new group cannot start in another way.
    """
    first = Entry(
        FIRST_INDEX, FIRST_TERM, EntryKind.CONFIGURATION, encode_configuration(configuration)
    )
    return StoredGroup(HardState(FIRST_TERM), (first,))


def initial_voters(stored: StoredGroup) -> frozenset[str]:
    """Return the voters of a group that is as :func:`bootstrap_group` made it, otherwise none.

    No voter has voted in such a state.
    """
    if stored.hard_state != HardState(FIRST_TERM) or stored.snapshot is not None:
        return frozenset()
    match stored.entries:
        case (Entry(index=1, kind=EntryKind.CONFIGURATION, payload=payload),):
            return decode_configuration(payload).voters
        case _:
            return frozenset()
