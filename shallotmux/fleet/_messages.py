"""Messages between entry instances or joining control instances and the control group."""

from __future__ import annotations

import msgspec

from shallotmux.fleet._listing import Listing

#: Group name of forwarded polls.
KNOWLEDGE_GROUP = 'knowledge'

#: Group name of forwarded join requests.
JOIN_GROUP = 'join'


class CustomerCount(msgspec.Struct, frozen=True):
    """Number of requests of one customer that started in one window at one instance."""

    customer: str
    window: int
    requests: int


class ServiceDemand(msgspec.Struct, frozen=True):
    """Recent demand for one service at one instance, in prompt tokens per second."""

    service: str
    tokens_per_s: float


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Crash of an endpoint while it ran a request.

    :param fingerprint: identifies the request; a resend of it has the same fingerprint.
    :param endpoint: identifies the endpoint and its start.
    :param age_s: time since the crash.
    """

    fingerprint: int
    endpoint: int
    age_s: float


class ServedReport(msgspec.Struct, frozen=True, array_like=True):
    """A request that an endpoint served after others had crashed during it.

    :param age_s: time since the request was served.
    """

    fingerprint: int
    age_s: float


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """Recent crashes, and requests served after crashes, that an instance knows of."""

    crashes: tuple[CrashReport, ...] = ()
    served: tuple[ServedReport, ...] = ()


class Poll(msgspec.Struct, frozen=True):
    """Request of an entry instance for the state of the fleet, with its own reports.

    :param sender: name and incarnation of the instance.
    :param version: version of the sender's document; 0 for none.
    :param counts: running totals of the sender for all open windows.
    :param demands: demand at the sender, by service.
    :param crashes: recent crashes that the sender knows of.
    """

    sender: str
    version: int
    counts: tuple[CustomerCount, ...] = ()
    demands: tuple[ServiceDemand, ...] = ()
    crashes: CrashNews = CrashNews()


class Knowledge(msgspec.Struct, frozen=True):
    """Answer to a poll: the state of the fleet.

    :param version: version of the answering instance's document; 0 for none.
    :param document: that document; empty if it is not newer than the sender's.
    :param peers: names of the control instances.
    :param listing: the platform's list of endpoints; None if it was never read.
    :param listing_age_s: time since that list was read.
    :param entries: names of the live entry instances.
    :param true_time_s: the answering instance's local estimate of the time since 1970.
    :param crashes: recent crashes reported by all instances.
    """

    version: int
    document: bytes
    peers: tuple[str, ...]
    listing: Listing | None
    listing_age_s: float
    entries: tuple[str, ...]
    true_time_s: float
    crashes: CrashNews = CrashNews()


class Join(msgspec.Struct, frozen=True):
    """Request of a control instance to join the control group.

    :param identity: name of the instance and incarnation of its disk.
    """

    identity: str


class JoinAnswer(msgspec.Struct, frozen=True):
    """Answer to a join request.

    :param leader: name of the leader; empty if it is unknown.
    :param peers: names of the control instances.
    """

    leader: str
    peers: tuple[str, ...]


def encode_fleet_message(message: Poll | Knowledge | Join | JoinAnswer) -> bytes:
    """Encode a message as MessagePack."""
    return msgspec.msgpack.encode(message)


decode_poll = msgspec.msgpack.Decoder(Poll).decode
decode_knowledge = msgspec.msgpack.Decoder(Knowledge).decode
decode_join = msgspec.msgpack.Decoder(Join).decode
decode_join_answer = msgspec.msgpack.Decoder(JoinAnswer).decode
