"""What instances without a log ask of the control instances, and the answers."""

from __future__ import annotations

import msgspec

from shallotmux.fleet._listing import Listing

#: Group name under which polls are sent to a peer.
KNOWLEDGE_GROUP = 'knowledge'

#: Group name under which control instances ask to be taken into the group.
JOIN_GROUP = 'join'


class CustomerCount(msgspec.Struct, frozen=True):
    """Requests of one customer that began to run in one window, as one instance counted them."""

    customer: str
    window: int
    requests: int


class ServiceDemand(msgspec.Struct, frozen=True):
    """Prompt tokens that one instance had to have read lately, for one service."""

    service: str
    tokens_per_s: float


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that broke off while it ran a request.

    :param fingerprint: names the request; one that is sent again has the same.
    :param endpoint: names the start of the endpoint.
    :param age_s: time since then.
    """

    fingerprint: int
    endpoint: int
    age_s: float


class ServedReport(msgspec.Struct, frozen=True, array_like=True):
    """A request that an endpoint served though others had broken off at one like it.

    :param age_s: time since then.
    """

    fingerprint: int
    age_s: float


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """What an instance knows of requests that may crash endpoints."""

    crashes: tuple[CrashReport, ...] = ()
    served: tuple[ServedReport, ...] = ()


class Poll(msgspec.Struct, frozen=True):
    """Asks for what is newer than the sender knows.

    :param sender: name and incarnation of the instance.
    :param version: version of the document that the sender holds; 0 for none.
    :param counts: all counts of the sender for the windows that are still open.
    :param demands: demand at the sender, by service.
    :param crashes: requests at which endpoints broke off lately.
    """

    sender: str
    version: int
    counts: tuple[CustomerCount, ...] = ()
    demands: tuple[ServiceDemand, ...] = ()
    crashes: CrashNews = CrashNews()


class Knowledge(msgspec.Struct, frozen=True):
    """Answers a poll.

    :param version: version of the document that the answering instance holds; 0 for none.
    :param document: that document, empty if the sender holds it already.
    :param peers: names of the control instances.
    :param listing: the platform's list; None if it was never read.
    :param listing_age_s: time since that list was read.
    :param entries: names of the entry instances that were heard lately.
    :param true_time_s: estimate of the time since 1970 in seconds.
    :param crashes: requests at which endpoints broke off, as all instances told.
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
    """Asks the leader to take a control instance into the group.

    :param identity: name with the incarnation of its disk.
    """

    identity: str


class JoinAnswer(msgspec.Struct, frozen=True):
    """Answers a request to join.

    :param leader: name of the leader, empty if it is not known.
    :param peers: names of the control instances.
    """

    leader: str
    peers: tuple[str, ...]


def encode_knowledge(message: Poll | Knowledge | Join | JoinAnswer) -> bytes:
    """Return the MessagePack form of a message."""
    return msgspec.msgpack.encode(message)


decode_poll = msgspec.msgpack.Decoder(Poll).decode
decode_answer = msgspec.msgpack.Decoder(Knowledge).decode
decode_join = msgspec.msgpack.Decoder(Join).decode
decode_join_answer = msgspec.msgpack.Decoder(JoinAnswer).decode
