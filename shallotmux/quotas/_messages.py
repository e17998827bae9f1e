"""Messages between entry instances about quotas."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from shallotmux.decoding import guard_decoder


class QuotaBeat(msgspec.Struct, frozen=True, array_like=True, tag='quota-beat'):
    """Request for support as granter.

    :param sender: name and incarnation of the candidate.
    :param number: sequence number.
    :param slots: slots for which the sender stands, each with whether it grants already.
    """

    sender: str
    number: int
    slots: dict[int, bool]


class QuotaSupport(msgspec.Struct, frozen=True, array_like=True, tag='quota-support'):
    """Promise to support no other granter for a time.

    :param sender: name of the instance.
    :param granter: name and incarnation of the candidate.
    :param number: number of the beat.
    :param slots: slots for which the sender supports it.
    :param seen: number of instances that the sender has seen of late.
    """

    sender: str
    granter: str
    number: int
    slots: tuple[int, ...]
    seen: int


class QuotaResign(msgspec.Struct, frozen=True, array_like=True, tag='quota-resign'):
    """Statement that an instance, which is about to stop, grants nothing any more.

    :param sender: name and incarnation of the instance.
    """

    sender: str


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True, tag='quota-ask'):
    """Request for a part of a customer's quota.

    :param sender: name and incarnation of the instance.
    :param number: sequence number; a repeated ask has the same.
    :param amount: amount that a request needs.
    :param extra: amount for further requests.
    :param refused: amount of requests that the sender refused since its last ask.
    """

    sender: str
    number: int
    customer: str
    amount: float
    extra: float = 0.0
    refused: float = 0.0


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True, tag='quota-grant'):
    """Answer to a request for a part of a quota.

    :param granter: name and incarnation of the granter.
    :param receiver: name and incarnation of the instance that asked.
    :param number: number of the ask.
    :param amount: amount granted; 0 if none.
    :param is_granter: whether the sender may grant at all.
    :param wait_s: time until there is room again.
    :param line_s: time until there has been room for all that was refused.
    """

    granter: str
    receiver: str
    number: int
    amount: float
    is_granter: bool
    wait_s: float = 0.0
    line_s: float = 0.0


class ReturnedPart(msgspec.Struct, frozen=True, array_like=True):
    """Unused part of a grant."""

    customer: str
    number: int
    amount: float


class QuotaReturn(msgspec.Struct, frozen=True, array_like=True, tag='quota-return'):
    """Unused parts of grants.

    :param sender: name and incarnation of the instance.
    :param granter: name and incarnation of the instance that granted them.
    :param number: sequence number, by which duplicates are detected.
    """

    sender: str
    granter: str
    number: int
    parts: tuple[ReturnedPart, ...]


QuotaMessage: TypeAlias = (
    QuotaBeat | QuotaSupport | QuotaResign | QuotaAsk | QuotaGrant | QuotaReturn
)

#: Decodes a message; raises :class:`msgspec.DecodeError` if it is not valid.
decode_quota_message = guard_decoder(msgspec.msgpack.Decoder(QuotaMessage).decode)


def shorten(value: float) -> float:
    """Return an integral number as an int, which takes 1 to 5 bytes instead of 9 and decodes as a float."""
    return int(value) if float(value).is_integer() else value


def encode_quota_message(message: QuotaMessage) -> bytes:
    """Encode a message as MessagePack."""
    return msgspec.msgpack.encode(message)
