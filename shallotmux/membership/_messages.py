"""Messages by which instances follow a group's log and report on themselves."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from shallotmux.replication import Entry

# Messages are encoded as arrays without field names: reports make up most of the traffic of a
# large zone, and names would double them.


class Report(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What an instance says of itself.

    :param identity: name, with the incarnation of an instance without a disk.
    :param revision: revision of the group's state that is in force on the instance.
    :param age_s: time since the report left the instance, as far as it is known.
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
    """Asks a followed instance for news, and passes reports on to the leader.

    :param number: rises with every poll of the sender, whichever instance it asks.
    :param wants_entries: whether the sender gets the log from here and not as a member.
    :param may_wait: whether the answer may wait for the next message to the sender.
    :param reports: the sender's own and those of the instances that follow it.
    """

    number: int
    applied_index: int
    wants_entries: bool
    may_wait: bool
    reports: tuple[Report, ...]


class StateCopy(msgspec.Struct, frozen=True, array_like=True):
    """The whole applied state, for followers that need entries no longer held."""

    index: int
    term: int
    payload: bytes


class Update(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """News for an instance that follows the sender.

    :param number: newest poll received from the recipient.
    :param leader: identity of the leader, if known.
    :param voters: identities of the voters that may be followed.
    :param applied_index: last index that the sender has applied.
    :param age_s: time from when the sender's state was certainly complete until the arrival of the
        poll, negative if it was so later; None if it never was.
    :param is_member: whether the recipient is a member; None if the sender does not know. A
        removed member gets no more of the log, and so not the entry that removed it.
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
    """Asks an instance that is suspected to be down for its report."""


MembershipMessage: TypeAlias = Report | Poll | Update | Probe

_decoder = msgspec.msgpack.Decoder(MembershipMessage)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: MembershipMessage) -> bytes:
    """Return the form of a message on the wire."""
    return _encoder.encode(message)


def decode_message(payload: bytes) -> MembershipMessage:
    """Return the message in a payload.

    :raises msgspec.DecodeError: if it is none.
    """
    return _decoder.decode(payload)
