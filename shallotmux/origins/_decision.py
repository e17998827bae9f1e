"""Decide at which software version a stream may go on."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from shallotmux.origins._store import UNCERTAIN_VERSION, Origin


class KnownFrom(enum.Enum):
    """Where the version of a stream is known from."""

    #: This instance began the stream.
    OWN = 'own'
    #: A control instance was told of its beginning.
    CONTROL = 'control'
    #: A single version served for as long as a stream can last.
    HISTORY = 'history'


@dataclass(frozen=True, slots=True)
class Knowledge:
    """What is known of the beginning of a stream.

    :param own: its beginning as this instance remembers it.
    :param told: its beginning as control instances know it.
    :param single_version: the only version that may have begun it; None if there may be several.
    :param service: service that the route of the retry leads to.
    """

    own: Origin | None
    told: Origin | None
    single_version: str | None
    service: str


@dataclass(frozen=True, slots=True)
class Continuation:
    """The stream goes on at this service and software version."""

    service: str
    version: str
    known_from: KnownFrom


@dataclass(frozen=True, slots=True)
class Unknown:
    """The stream does not go on, as the version that began it is not known.

    :param reason: text for logs.
    """

    reason: str


def choose_version(knowledge: Knowledge) -> Continuation | Unknown:
    """Return at which version a stream goes on."""
    known = {each for each in (knowledge.own, knowledge.told) if each is not None}
    versions = {(each.service, each.version) for each in known}
    if len(versions) > 1 or any(version == UNCERTAIN_VERSION for _, version in versions):
        return Unknown('several versions may have begun the stream')
    if versions:
        service, version = versions.pop()
        known_from = KnownFrom.CONTROL if knowledge.own is None else KnownFrom.OWN
        return Continuation(service, version, known_from)
    if knowledge.single_version is not None:
        return Continuation(knowledge.service, knowledge.single_version, KnownFrom.HISTORY)
    return Unknown('the version that began the stream is not known')
