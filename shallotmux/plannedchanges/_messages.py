"""Planned changes as instances send them to each other."""

from __future__ import annotations

import enum

import msgspec

from shallotmux.decoding import guard_decoder

#: Group name under which the leader sends its plans to the other control instances.
PLANS_GROUP = 'planned-changes'

#: Longest time for which an engine is unused before its order has been sent.
ANNOUNCED_TTL_S = 3.0


class ChangeKind(enum.Enum):
    """What changes."""

    ROLE = 'role'


class PlanPhase(enum.Enum):
    """Phase of a plan as other instances know it."""

    #: The engine gets no new work; the order has not been sent.
    ANNOUNCED = 'announced'
    #: The order has been sent, and the engine may be changing.
    ORDERED = 'ordered'
    #: Cancelled; the engine gets work again.
    WITHDRAWN = 'withdrawn'


class PlannedChange(msgspec.Struct, frozen=True):
    """One planned change.

    Kind, role and phase are text: a value of a later build makes this plan unusable, and not the whole
    message unreadable.

    :param identity: identity of the endpoint.
    :param start: number of the start of the endpoint that is changed.
    :param kind: value of a :class:`ChangeKind`.
    :param role: value of the new engine role.
    :param term: term of the leader that planned it.
    :param phase: value of a :class:`PlanPhase`.
    :param remaining_s: time until the phase ends by itself.
    :param number: number of the plan in the term.
    :param age_s: time since the phase began.
    """

    identity: str
    start: int
    kind: str
    role: str
    term: int
    phase: str
    remaining_s: float
    number: int = 0
    age_s: float = 0.0


class PlanReport(msgspec.Struct, frozen=True):
    """All plans of a leader."""

    plans: tuple[PlannedChange, ...] = ()


def encode_plan_report(report: PlanReport) -> bytes:
    """Encode a report as MessagePack."""
    return msgspec.msgpack.encode(report)


#: Decodes a :class:`PlanReport`; raises :class:`msgspec.DecodeError` if the payload is not valid.
decode_plan_report = guard_decoder(msgspec.msgpack.Decoder(PlanReport).decode)
