"""Messages with which instances share at which software version streams began."""

from __future__ import annotations

import msgspec

from shallotmux.decoding import guard_decoder

#: Group name under which these calls are forwarded to a control instance.
ORIGIN_GROUP = 'origins'


class OriginReport(msgspec.Struct, frozen=True, array_like=True):
    """Beginning of a stream.

    :param key: hash of the request that brought the first event, its customer and its target.
    :param version: software version of the endpoint that sent the event.
    :param age_s: time since the event.
    """

    key: int
    service: str
    version: str
    age_s: float


class VersionSpan(msgspec.Struct, frozen=True, array_like=True):
    """Software version of a service.

    :param last_age_s: time since the last list that named an endpoint of it.
    """

    service: str
    version: str
    last_age_s: float


class HistoryReport(msgspec.Struct, frozen=True, array_like=True):
    """Software versions that were listed in a time without gaps.

    :param since_age_s: time since the beginning of that time; infinite if it covers all that was.
    :param until_age_s: time since its end.
    """

    since_age_s: float
    until_age_s: float
    spans: tuple[VersionSpan, ...] = ()


#: Report of an instance that has seen no list; its time ends before it begins.
NO_HISTORY = HistoryReport(0.0, 1.0)


class OriginCall(msgspec.Struct, frozen=True, array_like=True):
    """Beginnings of streams that the receiver is to remember, and those that the sender asks for."""

    reports: tuple[OriginReport, ...] = ()
    wanted: tuple[int, ...] = ()


class OriginAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a call, after the reports in it were stored.

    :param known: the wanted beginnings that the answering instance knows.
    """

    known: tuple[OriginReport, ...] = ()


def encode_origin_message(message: OriginCall | OriginAnswer) -> bytes:
    """Encode a message as MessagePack."""
    return msgspec.msgpack.encode(message)


decode_origin_call = guard_decoder(msgspec.msgpack.Decoder(OriginCall).decode)
decode_origin_answer = guard_decoder(msgspec.msgpack.Decoder(OriginAnswer).decode)
