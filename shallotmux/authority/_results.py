"""Results common to all commands."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Applied:
    """The command took effect at this revision of the zone's state."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The expected revision is not the current one.

    :param subject: kind and name of the object, for example ``route/sorter``.
    :param winning_revision: current revision of the object, 0 if it does not exist.
    """

    subject: str
    winning_revision: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The command is not valid in the current state."""

    reason: str
