"""Requests that crash the endpoints which run them, as all instances saw them."""

from __future__ import annotations

from collections import OrderedDict

import trio

from shallotmux.fleet._messages import CrashNews, CrashReport, ServedReport

#: Endpoints that a request must have crashed before it is refused. Fewer may have failed for another
#: reason while they ran it.
CRASHES_TO_REFUSE = 3

#: Time for which a crash is remembered.
MEMORY_S = 60.0

#: Requests that are remembered, and of how many of them others are told at once.
MAX_REMEMBERED = 1024
MAX_TOLD = 32


class CrashLedger:
    """Which request broke off at which endpoint.

    Requests are named by a fingerprint, since a caller sends the same one again under another id.
    Many callers may send equal requests, so one that was served since counts as harmless.
    """

    def __init__(self) -> None:
        #: Local times of the crashes by request and endpoint, the last noted request last.
        self._crashes: OrderedDict[int, dict[int, float]] = OrderedDict()
        #: Local times at which requests were served, of those that had broken off before.
        self._served: dict[int, float] = {}

    @property
    def has_reports(self) -> bool:
        """Return whether any crash is remembered; requests need no fingerprint otherwise."""
        return bool(self._crashes)

    def record_crash(self, fingerprint: int, endpoint: int) -> None:
        """Take note that an endpoint broke off while it ran a request."""
        self._remember(fingerprint, endpoint, trio.current_time())

    def record_served(self, fingerprint: int) -> None:
        """Take note that an endpoint served a request to its end."""
        if fingerprint in self._crashes:
            self._served[fingerprint] = trio.current_time()

    def merge(self, news: CrashNews) -> None:
        """Take what another instance saw."""
        now = trio.current_time()
        for each in news.crashes:
            self._remember(each.fingerprint, each.endpoint, now - max(0.0, each.age_s))
        for served in news.served:
            at = now - max(0.0, served.age_s)
            self._served[served.fingerprint] = max(at, self._served.get(served.fingerprint, at))

    def is_harmful(self, fingerprint: int) -> bool:
        """Return whether a request has crashed so many endpoints that no other may run it."""
        return len(self._recent(fingerprint)) >= CRASHES_TO_REFUSE

    def news(self) -> CrashNews:
        """Return what to tell other instances; requests with most crashes come first."""
        recent = {each: self._recent(each) for each in self._crashes}
        self._crashes = OrderedDict((name, seen) for name, seen in recent.items() if seen)
        told = sorted(self._crashes, key=lambda each: len(recent[each]), reverse=True)[:MAX_TOLD]
        now = trio.current_time()
        self._served = {name: at for name, at in self._served.items() if now - at < MEMORY_S}
        latest = sorted(self._served, key=self._served.__getitem__, reverse=True)[:MAX_TOLD]
        return CrashNews(
            tuple(
                CrashReport(fingerprint, endpoint, now - at)
                for fingerprint in told
                for endpoint, at in list(recent[fingerprint].items())[:CRASHES_TO_REFUSE]
            ),
            tuple(
                ServedReport(fingerprint, now - self._served[fingerprint]) for fingerprint in latest
            ),
        )

    def _recent(self, fingerprint: int) -> dict[int, float]:
        oldest = max(trio.current_time() - MEMORY_S, self._served.get(fingerprint, float('-inf')))
        seen = self._crashes.get(fingerprint, {})
        return {endpoint: at for endpoint, at in seen.items() if at > oldest}

    def _remember(self, fingerprint: int, endpoint: int, at: float) -> None:
        seen = self._crashes.setdefault(fingerprint, {})
        seen[endpoint] = max(at, seen.get(endpoint, at))
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > MAX_REMEMBERED:
            self._crashes.popitem(last=False)
