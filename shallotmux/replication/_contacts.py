"""When members were last heard of, as each leader hands it on to its successors."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from shallotmux.replication._messages import MemberSilence

#: Local time of an event that has not happened.
NEVER = float('-inf')


class Contacts:
    """What a replica knows of when the members were last heard of.

    A leader that has just been elected has seen nothing of lost voters itself. If it counted their
    silence anew, leaders that change every few seconds would never replace one.
    """

    def __init__(self) -> None:
        #: Local time of the last report of a leader.
        self.reported_at = NEVER
        self._silences: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}

    def record_report(self, silences: Iterable[MemberSilence], now: float) -> None:
        """Record what the leader, which may be this replica, reports in a heartbeat.

        The report is older than its arrival, so a silence is never taken for longer than it is.
        """
        self.reported_at = now
        self._silences = {each.name: each.silence_s for each in silences}
        self._answered_at.clear()

    def record_answer(self, member: str, now: float) -> None:
        """Record that a voter answered a campaign of this replica."""
        self._answered_at[member] = now

    def heard_at(self, member: str) -> float:
        """Return when a member was last heard of.

        A member that the report does not name, such as the leader itself, was not silent then.
        """
        reported = self.reported_at - self._silences.get(member, 0.0)
        return max(reported, self._answered_at.get(member, NEVER))


def report_silences(
    heard_at: Mapping[str, float], now: float, least_s: float
) -> tuple[MemberSilence, ...]:
    """Return the members that were not heard of for a time, in the order of their names."""
    silences = (MemberSilence(name, now - at) for name, at in sorted(heard_at.items()))
    return tuple(each for each in silences if each.silence_s > least_s)
