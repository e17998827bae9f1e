"""Messages between replicas, and their encoding."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from shallotmux.replication._model import Entry, Snapshot


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Requests a vote, or in a pre-vote asks whether a vote would be granted.

    :param is_transfer: whether the leader of the previous term released its lease and requested
        this election, so that voters need not wait for the election timeout.
    :param commit_index: index up to which the candidate's log is known to be committed.
    """

    term: int
    last_index: int
    last_term: int
    commit_index: int
    is_pre_vote: bool = False
    is_transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to a vote request; a refusal contains the voter's own term."""

    term: int
    granted: bool
    is_pre_vote: bool = False


class MemberSilence(msgspec.Struct, frozen=True):
    """Time for which a leader has not heard of a member, in seconds."""

    name: str
    silence_s: float


class AppendRequest(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Heartbeat, with the entries that follow the entry at the previous index, if any.

    :param round_number: heartbeat round of the leader, returned in the reply.
    :param sent_at: send time on the leader's clock, returned in the reply.
    :param silences: members that the leader has not heard of for longer than the shortest election
        timeout. Builds that do not know the field ignore it, or leave it empty.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round_number: int
    sent_at: float
    silences: tuple[MemberSilence, ...] = ()


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """Snapshot for a follower that needs entries which the leader no longer holds."""

    term: int
    snapshot: Snapshot
    round_number: int
    sent_at: float


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to an append or a snapshot.

    :param accepted: whether the log matched at the previous index.
    :param match_index: last index up to which the log is known to equal the leader's; in a
        refusal, the last index at which the logs can still be equal.
    :param previous_index: previous index of the request, by which stale refusals are detected.
    """

    term: int
    accepted: bool
    match_index: int
    previous_index: int
    round_number: int
    sent_at: float


class LogOffer(msgspec.Struct, frozen=True, tag=True):
    """Part of a witness's log, sent to a candidate whose log is older.

    :param snapshot: sent in place of entries that the witness no longer holds.
    :param last_index: index of the last entry of the witness's log.
    :param last_term: term of that entry.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None
    last_index: int
    last_term: int


class TimeoutNow(msgspec.Struct, frozen=True, tag=True):
    """Makes the target of a leadership transfer start an election at once."""

    term: int


Message: TypeAlias = (
    VoteRequest | VoteReply | AppendRequest | SnapshotRequest | AppendReply | LogOffer | TimeoutNow
)


class Envelope(msgspec.Struct, frozen=True):
    """A message with its sender and recipient."""

    sender: str
    recipient: str
    message: Message


_encoder = msgspec.msgpack.Encoder(order='deterministic')
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the MessagePack form of an envelope."""
    return _encoder.encode(envelope)


def decode_envelope(payload: bytes) -> Envelope:
    """Decode a payload written by :func:`encode_envelope`.

    :raises msgspec.DecodeError: if the payload is not a valid envelope.
    """
    return _decoder.decode(payload)
