"""Changes of the evidence in their order, so that each is sent to each peer once."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from random import SystemRandom

from shallotmux.crashes._evidence import Evidence
from shallotmux.crashes._messages import (
    AliveReport,
    CrashNews,
    CrashReport,
    Position,
    ServedReport,
)

#: Changes that are remembered, for peers that have received none or fewer.
MAX_CHANGES = 8192

#: Maximum number of changes in one message; the next one goes on after them.
MAX_SENT = 256

#: Size of the random number of a history.
SOURCE_BITS = 62


class ChangeKind(enum.Enum):
    """Kind of a change of the evidence."""

    CRASH = 'crash'
    SERVED = 'served'
    ALIVE = 'alive'


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the evidence.

    :param subject: 0 for an endpoint that was alive.
    :param endpoint: 0 for a subject that was served.
    """

    kind: ChangeKind
    subject: int = 0
    endpoint: int = 0


class History:
    """Numbers the changes of the evidence of one instance since its start."""

    def __init__(self) -> None:
        self.source = SystemRandom().getrandbits(SOURCE_BITS) + 1
        self.number = 0
        self._changes: deque[tuple[int, Change]] = deque(maxlen=MAX_CHANGES)

    def add(self, change: Change) -> None:
        """Append a change."""
        self.number += 1
        self._changes.append((self.number, change))

    def build_news(self, after: Position, evidence: Evidence, now: float) -> CrashNews:
        """Return the changes after a position, as far as they still hold.

        :param after: position that the receiver has; that of another start counts as none.
        """
        start = after.number if after.source == self.source else 0
        number = max(start, self.number - len(self._changes))
        first = len(self._changes) - (self.number - number)
        sent = [self._changes[first + offset][1] for offset in range(self._count_after(number))]
        return CrashNews(
            self.source,
            number + len(sent),
            tuple(_crash_reports(sent, evidence, now)),
            tuple(_served_reports(sent, evidence, now)),
            tuple(_alive_reports(sent, evidence, now)),
        )

    def _count_after(self, number: int) -> int:
        return min(MAX_SENT, self.number - number)


def _crash_reports(
    changes: Iterable[Change], evidence: Evidence, now: float
) -> Iterable[CrashReport]:
    for each in changes:
        at = evidence.crashes.get(each.subject, {}).get(each.endpoint)
        if each.kind is ChangeKind.CRASH and at is not None:
            is_repeated = (each.subject, each.endpoint) in evidence.repeated
            yield CrashReport(each.subject, each.endpoint, now - at, is_repeated)


def _served_reports(
    changes: Iterable[Change], evidence: Evidence, now: float
) -> Iterable[ServedReport]:
    for each in changes:
        at = evidence.served.get(each.subject)
        if each.kind is ChangeKind.SERVED and at is not None:
            yield ServedReport(each.subject, now - at)


def _alive_reports(
    changes: Iterable[Change], evidence: Evidence, now: float
) -> Iterable[AliveReport]:
    for each in changes:
        at = evidence.alive.get(each.endpoint)
        if each.kind is ChangeKind.ALIVE and at is not None:
            yield AliveReport(each.endpoint, now - at)
