"""Failure detection: which instances are live, leaving, suspected or down."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec

from shallotmux.membership._messages import Report
from shallotmux.transport import instance_name


class MemberState(Enum):
    """State of an instance according to its reports and the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECTED = 'suspected'
    DOWN = 'down'


@dataclass(frozen=True, slots=True)
class SuspicionTimeouts:
    """Times without a report after which the state of an instance changes.

    :param suspect_after_s: after this time an instance is suspected and probed directly. It
        exceeds the time that a follower of a failed instance takes to poll another one.
    :param down_after_s: after this time a suspected instance counts as down.
    """

    suspect_after_s: float = 2.5
    down_after_s: float = 6.0


@dataclass(frozen=True, slots=True)
class PlatformList:
    """The platform's list of instances, which may be out of date.

    :param live: names of the instances that the platform runs.
    :param leaving: names of those that it is about to stop.
    """

    live: frozenset[str]
    leaving: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Member:
    """Last report and state of an instance.

    :param heard_at: local time at which the instance sent its last report.
    """

    report: Report
    state: MemberState
    heard_at: float


class MemberTable:
    """Latest report of each identity, from which the states of the instances are derived.

    The platform's list may be out of date, so it never overrules a recent report. It only
    shortens the time until an instance that no longer reports counts as down.
    """

    def __init__(self, timeouts: SuspicionTimeouts, now: float) -> None:
        self._timeouts = timeouts
        self._observed_since = now
        self._reports: dict[str, tuple[Report, float]] = {}
        self._platform_list: PlatformList | None = None

    def update_platform_list(self, listed: PlatformList) -> None:
        """Replace the platform's list."""
        self._platform_list = listed

    def record(self, reports: Iterable[Report], now: float) -> None:
        """Record reports; only the most recent one of each identity is kept."""
        for report in reports:
            heard_at = now - report.age_s
            known = self._reports.get(report.identity)
            if known is None or known[1] < heard_at:
                self._reports[report.identity] = (report, heard_at)

    def restart_observation(self, now: float) -> None:
        """Count times without a report from now on, as members reported to another leader before."""
        self._observed_since = now

    def remove(self, identity: str) -> None:
        """Remove an instance that is not a member and will not return under this identity."""
        self._reports.pop(identity, None)

    def recent_reports(self, now: float) -> tuple[Report, ...]:
        """Return the reports of instances that are not suspected, with their ages."""
        limit = now - self._timeouts.suspect_after_s
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
        """Return the state of an instance, including one that has never reported."""
        report, heard_at = self._reports.get(identity, (Report(identity, ''), self._observed_since))
        if self._is_superseded(identity, heard_at):
            return MemberState.DOWN
        return self._state(report, heard_at, now)

    def silence_s(self, identity: str, now: float) -> float:
        """Return the time without a report in seconds, infinite for a superseded identity."""
        heard_at = self._reports.get(identity, (None, self._observed_since))[1]
        if self._is_superseded(identity, heard_at):
            return float('inf')
        return now - max(heard_at, self._observed_since)

    def is_delisted(self, name: str) -> bool:
        """Return whether the platform no longer lists an instance."""
        return self._platform_list is not None and name not in self._platform_list.live

    def _is_superseded(self, identity: str, heard_at: float) -> bool:
        """Return whether the instance has restarted under a newer identity."""
        name = instance_name(identity)
        return any(
            other != identity and instance_name(other) == name and later > heard_at
            for other, (_, later) in self._reports.items()
        )

    def _state(self, report: Report, heard_at: float, now: float) -> MemberState:
        name = instance_name(report.identity)
        silent_s = now - max(heard_at, self._observed_since)
        if silent_s >= self._timeouts.suspect_after_s:
            is_down = silent_s >= self._timeouts.down_after_s or self.is_delisted(name)
            return MemberState.DOWN if is_down else MemberState.SUSPECTED
        is_listed = self._platform_list is not None and name in self._platform_list.leaving
        return MemberState.LEAVING if report.is_leaving or is_listed else MemberState.LIVE
