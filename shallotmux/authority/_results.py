"""Results that any command may have."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Applied:
    """The command took effect at this revision of the zone's state."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another write came first.

    :param subject: kind and name of the object, for example ``route/sorter``.
    :param winning_revision: current revision of the object, 0 when it does not exist.
    """

    subject: str
    winning_revision: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The command is invalid in the current state."""

    reason: str
