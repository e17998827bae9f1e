"""Crashes of a zone's engines by the prompt parts that ran on them.

Requests that crash engines may share one part of their prompts and differ otherwise, so that no
request is suspect twice. The same rule as on the forwarding path names the parts that are refused.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from shallotmux.authority._codec import registry
from shallotmux.crashes import EVIDENCE_TTL_S, Crash, Culprit, digest_subject, find_culprits

#: Reports of one engine's crash within this time, by several instances, are the same crash.
SAME_CRASH_S = 5.0

#: Maximum number of crashes that are remembered, and of parts of each.
MAX_CRASHES = 64
MAX_PARTS = 256


@dataclass(frozen=True, slots=True)
class ClearParts:
    """Clears the parts of a request that an engine has served of all crashes before.

    :param parts: hashes of the parts.
    """

    operation_id: str
    parts: tuple[int, ...]
    time_s: float


@dataclass(frozen=True, slots=True)
class PartCrash:
    """Crash of an engine, and the parts that ran on it and were not served since.

    :param alone: whether a single request ran there, on trial after an earlier crash.
    """

    endpoint: str
    time_s: float
    parts: tuple[int, ...]
    alone: bool = False


registry.register(ClearParts, PartCrash)


@dataclass(slots=True)
class PartCrashes:
    """Recent crashes, the oldest first."""

    crashes: list[PartCrash] = field(default_factory=list)

    def record(
        self, endpoint: str, parts: Iterable[int], time_s: float, *, alone: bool = False
    ) -> None:
        """Add a crash, or the parts of another instance's requests to a crash that is known."""
        known = next((each for each in self.crashes if _is_same(each, endpoint, time_s)), None)
        if known is None:
            known = PartCrash(endpoint, time_s, (), alone)
        else:
            self.crashes.remove(known)
        merged = tuple(sorted({*known.parts, *parts}))[:MAX_PARTS]
        oldest = time_s - EVIDENCE_TTL_S
        recent = [each for each in self.crashes if each.time_s > oldest]
        self.crashes = [*recent, replace(known, parts=merged)][-MAX_CRASHES:]

    def clear(self, parts: Iterable[int], time_s: float) -> None:
        """Remove parts from the crashes up to a time."""
        cleared = frozenset(parts)
        self.crashes = [
            replace(each, parts=tuple(part for part in each.parts if part not in cleared))
            if each.time_s <= time_s
            else each
            for each in self.crashes
        ]

    def are_suspect(self, parts: Iterable[int]) -> bool:
        """Return whether an engine crashed under any of the parts."""
        asked = frozenset(parts)
        return any(not asked.isdisjoint(each.parts) for each in self.crashes)

    def find_culprit(self, parts: Iterable[int], time_s: float) -> Culprit | None:
        """Return the quarantine that a prompt with these parts falls under, or None."""
        if not self.crashes:
            return None
        asked = frozenset(parts)
        culprits = find_culprits(
            [
                _describe(each)
                for each in self.crashes
                if each.parts and time_s - each.time_s < EVIDENCE_TTL_S
            ]
        )
        held = (each for each in culprits if each.subjects <= asked and time_s < each.ends_at)
        return next(held, None)


def _is_same(crash: PartCrash, endpoint: str, time_s: float) -> bool:
    return crash.endpoint == endpoint and abs(crash.time_s - time_s) <= SAME_CRASH_S


def _describe(crash: PartCrash) -> Crash:
    """Return a crash as the rule for culprits takes it."""
    number = digest_subject(f'{crash.endpoint} {crash.time_s}'.encode())
    parts = frozenset(crash.parts)
    return Crash(number, crash.time_s, parts, parts if crash.alone else frozenset())
