"""Messages by which instances fetch a group's log and report their own state."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from shallotmux.decoding import guard_decoder
from shallotmux.replication import Entry

# Messages are encoded as arrays without field names. Reports make up most of the traffic of a
# large zone, and field names would double their size.


class Report(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """State of an instance, as reported by itself.

    :param identity: name of the instance, followed by an incarnation if it has no disk.
    :param revision: revision of the group's state that is in force on the instance.
    :param age_s: time since the instance sent the report; a lower bound, as time in transit is
        not included.
    :param is_leaving: whether the instance is shutting down.
    """

    identity: str
    zone: str
    has_disk: bool = False
    applied_index: int = 0
    revision: int = 0
    age_s: float = 0
    is_leaving: bool = False


class Poll(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks the followed instance for an update, and relays reports towards the leader.

    :param number: sequence number over all polls of the sender, whichever instance it polls.
    :param wants_entries: whether the sender needs log entries, as it is no member of the group.
    :param may_wait: whether the answer may wait for the next message to the sender.
    :param reports: the sender's own report and those of its followers.
    """

    number: int
    applied_index: int
    wants_entries: bool
    may_wait: bool
    reports: tuple[Report, ...]


class StateCopy(msgspec.Struct, frozen=True, array_like=True):
    """Copy of the applied state, for followers that need entries which are no longer kept."""

    index: int
    term: int
    payload: bytes


class Update(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """State of the group for a follower of the sender.

    :param number: number of the newest poll received from the recipient.
    :param leader: identity of the leader, if known.
    :param voters: identities of the voters that may be polled.
    :param applied_index: last index that the sender has applied.
    :param age_s: time between the last confirmation that the sender's state was complete and the
        arrival of the poll; negative if it was confirmed after that, None if never.
    :param is_member: whether the recipient is a member; None if the sender does not know. A
        removed member is sent no further entries, not even the one that removes it.
    :param zone_revisions: per zone, the lowest revision in force on its instances.
    """

    number: int
    term: int
    leader: str | None
    voters: tuple[str, ...]
    applied_index: int
    age_s: float | None
    entries: tuple[Entry, ...] = ()
    copy: StateCopy | None = None
    is_member: bool | None = None
    zone_revisions: dict[str, int] = {}


class Probe(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Requests a report from an instance that is suspected to be down."""


MembershipMessage: TypeAlias = Report | Poll | Update | Probe

_decode = guard_decoder(msgspec.msgpack.Decoder(MembershipMessage).decode)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: MembershipMessage) -> bytes:
    """Return the wire encoding of a message."""
    return _encoder.encode(message)


def decode_message(payload: bytes) -> MembershipMessage:
    """Return the message encoded in a payload.

    :raises msgspec.DecodeError: if the payload is not a valid message.
    """
    return _decode(payload)
