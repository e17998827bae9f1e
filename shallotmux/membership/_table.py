"""Which instances are live, suspected, leaving or down."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec

from shallotmux.membership._messages import Report
from shallotmux.transport import instance_name


class MemberState(Enum):
    """What is known of an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECTED = 'suspected'
    DOWN = 'down'


@dataclass(frozen=True, slots=True)
class Patience:
    """Times without a report.

    :param suspect_s: after which an instance is suspected and probed directly. It exceeds the
        time in which a follower of a dead instance finds another one to follow.
    :param down_s: after which a suspected instance counts as down.
    """

    suspect_s: float = 2.5
    down_s: float = 6.0


@dataclass(frozen=True, slots=True)
class PlatformList:
    """The platform's list of instances, which lags behind.

    :param live: names of instances that the platform runs.
    :param leaving: names of those that it will end.
    """

    live: frozenset[str]
    leaving: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Member:
    """An instance as the table knows it.

    :param heard_at: local time at which its last report left it.
    """

    report: Report
    state: MemberState
    heard_at: float


class MemberTable:
    """Reports by identity, and the states that follow from them.

    The platform's list lags. It never overrules a recent report; it only shortens the wait for an
    instance that is silent already.
    """

    def __init__(self, patience: Patience, now: float) -> None:
        self._patience = patience
        self._started_at = now
        self._reports: dict[str, tuple[Report, float]] = {}
        self._platform: PlatformList | None = None

    def take_platform_list(self, listed: PlatformList) -> None:
        """Take note of the platform's list."""
        self._platform = listed

    def record(self, reports: Iterable[Report], now: float) -> None:
        """Take reports; of one instance's reports the youngest counts."""
        for report in reports:
            heard_at = now - report.age_s
            known = self._reports.get(report.identity)
            if known is None or known[1] < heard_at:
                self._reports[report.identity] = (report, heard_at)

    def restart(self, now: float) -> None:
        """Begin to observe members that were reported to another leader until now."""
        self._started_at = now

    def forget(self, identity: str) -> None:
        """Drop an instance that is no member and will not return under this identity."""
        self._reports.pop(identity, None)

    def recent(self, now: float) -> tuple[Report, ...]:
        """Return the reports of instances that are not suspected, with their ages."""
        limit = now - self._patience.suspect_s
        return tuple(
            msgspec.structs.replace(report, age_s=now - heard_at)
            for report, heard_at in self._reports.values()
            if heard_at >= limit
        )

    def members(self, now: float) -> dict[str, Member]:
        """Return all known instances by identity."""
        return {
            identity: Member(report, self._state(report, heard_at, now), heard_at)
            for identity, (report, heard_at) in self._reports.items()
        }

    def state_of(self, identity: str, now: float) -> MemberState:
        """Return the state of an instance, which may never have reported."""
        report, heard_at = self._reports.get(identity, (Report(identity, ''), self._started_at))
        if self._is_superseded(identity, heard_at):
            return MemberState.DOWN
        return self._state(report, heard_at, now)

    def silent_for(self, identity: str, now: float) -> float:
        """Return the time without a report, counted from the start of the observation."""
        heard_at = self._reports.get(identity, (None, self._started_at))[1]
        if self._is_superseded(identity, heard_at):
            return float('inf')
        return now - max(heard_at, self._started_at)

    def is_gone(self, name: str) -> bool:
        """Tell whether the platform no longer lists an instance."""
        return self._platform is not None and name not in self._platform.live

    def _is_superseded(self, identity: str, heard_at: float) -> bool:
        """Tell whether the instance has restarted under a newer identity."""
        name = instance_name(identity)
        return any(
            other != identity and instance_name(other) == name and later > heard_at
            for other, (_, later) in self._reports.items()
        )

    def _state(self, report: Report, heard_at: float, now: float) -> MemberState:
        name = instance_name(report.identity)
        silent_s = now - max(heard_at, self._started_at)
        if silent_s >= self._patience.suspect_s:
            is_down = silent_s >= self._patience.down_s or self.is_gone(name)
            return MemberState.DOWN if is_down else MemberState.SUSPECTED
        is_listed = self._platform is not None and name in self._platform.leaving
        return MemberState.LEAVING if report.is_leaving or is_listed else MemberState.LIVE
