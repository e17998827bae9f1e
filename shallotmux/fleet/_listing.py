"""Endpoints as the platform lists them at one moment."""

from __future__ import annotations

import enum

import msgspec


class EngineRole(enum.Enum):
    """Part of the work that an engine does."""

    #: Reads prompts for other engines.
    PREFILL = 'prefill'
    #: Streams answers; reads prompts more slowly between the tokens of others.
    DECODE = 'decode'
    #: Does both, or is no engine.
    MIXED = 'mixed'


class ListedEndpoint(msgspec.Struct, frozen=True):
    """One endpoint of the list.

    :param identity: changes with each start of the endpoint in most cases.
    :param address: IP address and port; it may pass to another endpoint later.
    :param is_leaving: whether it takes no new work.
    :param is_cheap: whether the platform may reclaim it.
    :param cold_s: time for which it is still slow after its start.
    :param started_ms: time of its start; it may start again under the identity that it had.
    """

    identity: str
    service: str
    address: str
    zone: str
    slots: int = 0
    is_leaving: bool = False
    role: EngineRole = EngineRole.MIXED
    is_cheap: bool = False
    cold_s: float = 0.0
    started_ms: int = 0


class Listing(msgspec.Struct, frozen=True):
    """The platform's list, read completely."""

    endpoints: tuple[ListedEndpoint, ...] = ()
