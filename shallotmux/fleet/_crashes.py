"""Requests during which endpoints crashed, as reported by all instances."""

from __future__ import annotations

from collections import OrderedDict

import trio

from shallotmux.fleet._messages import CrashNews, CrashReport, ServedReport

#: Number of endpoints that must have crashed during a request before it is quarantined. Fewer
#: may have failed for another reason.
CRASH_LIMIT = 3

#: Time for which a crash or a served request is remembered.
CRASH_TTL_S = 60.0

#: Maximum number of requests with crashes that are remembered, and in one report to peers.
MAX_REQUESTS = 1024
MAX_SENT = 32


class CrashRecords:
    """Records which endpoints crashed during which requests.

    An endpoint counts as crashed if it broke the connection while it may have run the request.
    Requests are identified by a fingerprint, since a caller resends a request under another id.
    Different callers may send identical requests, so crashes before a request was served do not
    count.
    """

    def __init__(self) -> None:
        #: Local times of crashes by request and endpoint, the most recently updated request last.
        self._crashes: OrderedDict[int, dict[int, float]] = OrderedDict()
        #: Local times at which requests with earlier crashes were served.
        self._served: dict[int, float] = {}

    @property
    def has_reports(self) -> bool:
        """Return whether any crash is recorded; otherwise requests need no fingerprint."""
        return bool(self._crashes)

    def record_crash(self, fingerprint: int, endpoint: int) -> None:
        """Record that an endpoint crashed while it ran a request."""
        self._add_crash(fingerprint, endpoint, trio.current_time())

    def record_served(self, fingerprint: int) -> None:
        """Record that an endpoint served a request completely."""
        if fingerprint in self._crashes:
            self._served[fingerprint] = trio.current_time()

    def merge(self, report: CrashNews) -> None:
        """Merge the report of another instance."""
        now = trio.current_time()
        for each in report.crashes:
            self._add_crash(each.fingerprint, each.endpoint, now - max(0.0, each.age_s))
        for served in report.served:
            at = now - max(0.0, served.age_s)
            self._served[served.fingerprint] = max(at, self._served.get(served.fingerprint, at))

    def count(self, fingerprint: int) -> int:
        """Return the number of endpoints known to have crashed during a request."""
        return len(self._recent(fingerprint))

    def is_quarantined(self, fingerprint: int) -> bool:
        """Return whether a request must not run again, since too many endpoints crashed during it."""
        return len(self._recent(fingerprint)) >= CRASH_LIMIT

    def quarantine_ends_in(self, fingerprint: int) -> float:
        """Return the seconds until enough crashes have expired; 0 for other requests."""
        times = sorted(self._recent(fingerprint).values(), reverse=True)
        if len(times) < CRASH_LIMIT:
            return 0.0
        return max(0.0, times[CRASH_LIMIT - 1] + CRASH_TTL_S - trio.current_time())

    def build_report(self) -> CrashNews:
        """Return the report for other instances; it prefers the requests with the most crashes."""
        recent = {each: self._recent(each) for each in self._crashes}
        self._crashes = OrderedDict(
            (name, crash_times) for name, crash_times in recent.items() if crash_times
        )
        sent = sorted(self._crashes, key=lambda each: len(recent[each]), reverse=True)[:MAX_SENT]
        now = trio.current_time()
        self._served = {name: at for name, at in self._served.items() if now - at < CRASH_TTL_S}
        latest = sorted(self._served, key=self._served.__getitem__, reverse=True)[:MAX_SENT]
        return CrashNews(
            tuple(
                CrashReport(fingerprint, endpoint, now - at)
                for fingerprint in sent
                for endpoint, at in list(recent[fingerprint].items())[:CRASH_LIMIT]
            ),
            tuple(
                ServedReport(fingerprint, now - self._served[fingerprint]) for fingerprint in latest
            ),
        )

    def _recent(self, fingerprint: int) -> dict[int, float]:
        oldest = max(
            trio.current_time() - CRASH_TTL_S, self._served.get(fingerprint, float('-inf'))
        )
        crash_times = self._crashes.get(fingerprint, {})
        return {endpoint: at for endpoint, at in crash_times.items() if at > oldest}

    def _add_crash(self, fingerprint: int, endpoint: int, at: float) -> None:
        crash_times = self._crashes.setdefault(fingerprint, {})
        crash_times[endpoint] = max(at, crash_times.get(endpoint, at))
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > MAX_REQUESTS:
            self._crashes.popitem(last=False)
