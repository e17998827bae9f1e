"""Records that the replica exchanges with its driver, with storage and with its peers."""

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
    """What the payload of a log entry is."""

    COMMAND = 'command'
    CONFIGURATION = 'configuration'
    TERM_START = 'term_start'


class Role(enum.Enum):
    """Part that a replica plays in its current term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Configuration(msgspec.Struct, frozen=True):
    """Members of a group.

    :param voters: members that elect leaders and count for the majority.
    :param learners: members that follow the log without a vote.
    :param disks: voters and learners that keep the log on a disk.
    :param witnesses: voters that hold the log but never lead.
    """

    voters: frozenset[str]
    learners: frozenset[str] = frozenset()
    disks: frozenset[str] = frozenset()
    witnesses: frozenset[str] = frozenset()

    @property
    def members(self) -> frozenset[str]:
        """Return voters and learners."""
        return self.voters | self.learners

    @property
    def majority(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def may_lead(self, name: str) -> bool:
        """Return whether a member may become leader."""
        return name in self.voters and name not in self.witnesses


@dataclass(frozen=True, slots=True)
class ReplicaOptions:
    """Times, limits and margins of a replica.

    :param heartbeat_s: interval of the leader's heartbeats.
    :param election_min_s: shortest election timeout; no vote is granted within this time of a
        leader's message.
    :param election_max_s: longest election timeout; a leader without a quorum for this time
        steps down.
    :param lease_s: length of the leader's lease before the margin is taken off.
    :param clock_rate_margin: bound on the relative difference of two instances' clock rates.
    :param max_batch_entries: entries in one message.
    :param max_batch_bytes: payload bytes in one message, except that one entry always fits.
    :param max_in_flight_entries: entries sent to a follower and not yet acknowledged.
    :param snapshot_after_entries: committed entries after which a snapshot is due.
    :param retained_entries: entries kept in memory before a snapshot, for followers that lag.
    :param snapshot_retry_s: time after which an unanswered snapshot is sent again.
    """

    heartbeat_s: float = 0.2
    election_min_s: float = 0.8
    election_max_s: float = 1.6
    lease_s: float = 0.7
    clock_rate_margin: float = 0.02
    max_batch_entries: int = 256
    max_batch_bytes: int = 1 << 20
    max_in_flight_entries: int = 2048
    snapshot_after_entries: int = 10000
    retained_entries: int = 1000
    snapshot_retry_s: float = 5.0

    @property
    def lease_length_s(self) -> float:
        """Return the time for which an acknowledged heartbeat round extends the lease.

        The lease must end before the earliest vote of any voter whose clock runs faster by the
        margin: ``(1 - margin) * (1 + margin) < 1``.
        """
        return min(self.lease_s, self.election_min_s) * (1 - self.clock_rate_margin)


class HardState(msgspec.Struct, frozen=True):
    """Term and vote, durable before any message of that term is sent."""

    term: int
    vote: str | None = None


class Entry(msgspec.Struct, frozen=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class Snapshot(msgspec.Struct, frozen=True):
    """State of the application after an index, in place of the entries up to it."""

    index: int
    term: int
    configuration: Configuration
    payload: bytes


class StoredGroup(msgspec.Struct, frozen=True):
    """What storage holds of a group; a new member starts with the default."""

    hard_state: HardState = HardState(0)
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read may be served once the application has applied the index."""

    token: int
    index: int


@dataclass(frozen=True, slots=True)
class Effects:
    """What a driver carries out for a replica, in the order of the fields.

    The driver makes the first three durable, calls ``Replica.persisted``, and only then sends
    the messages.

    :param hard_state: new term and vote, if they changed.
    :param entries: entries to append after truncating the log from the first one's index.
    :param snapshot: snapshot to store; one whose index lies beyond the last applied entry came
        from the leader, and the application is restored from it.
    :param committed: entries newly committed, of all kinds, in the order of the log.
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
    """What a replica knows of itself and of its group.

    :param lease_end: end of the leader's lease on the local clock; minus infinity on others.
    :param last_leader_contact: local time of the last message of the leader; for a leader, the
        send time of the last round that a majority answered.
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
class FollowerStatus:
    """What a leader knows of a follower.

    :param match_index: last index at which the logs are known to be equal.
    :param heard_at: send time of the newest heartbeat that it answered; minus infinity before.
    """

    match_index: int
    heard_at: float


@dataclass(frozen=True, slots=True)
class AddLearner:
    """Adds a member that follows the log without a vote."""

    name: str
    has_disk: bool = False
    is_witness: bool = False


@dataclass(frozen=True, slots=True)
class PromoteLearner:
    """Makes a learner that has caught up a voter."""

    name: str


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """Removes a voter or a learner."""

    name: str


MembershipChange: TypeAlias = AddLearner | PromoteLearner | RemoveMember


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the payload of a configuration entry, equal for equal configurations."""
    return msgspec.msgpack.encode(configuration, order='deterministic')


def decode_configuration(payload: bytes) -> Configuration:
    """Return the configuration of a configuration entry."""
    return msgspec.msgpack.decode(payload, type=Configuration)


def bootstrap_group(configuration: Configuration) -> StoredGroup:
    """Return the first state of a new group, the same for each of its voters.

    This is the only way to start a group; a replica without stored state waits for a leader.
    """
    first = Entry(
        FIRST_INDEX, FIRST_TERM, EntryKind.CONFIGURATION, encode_configuration(configuration)
    )
    return StoredGroup(HardState(FIRST_TERM), (first,))
