"""Requests that crash the endpoints which run them, as all instances saw them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import trio

from shallotmux.fleet._messages import CrashReport

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
    """

    def __init__(self) -> None:
        #: Local times of the crashes by request and endpoint, the last noted request last.
        self._crashes: OrderedDict[int, dict[int, float]] = OrderedDict()

    @property
    def has_reports(self) -> bool:
        """Return whether any crash is remembered; requests need no fingerprint otherwise."""
        return bool(self._crashes)

    def note(self, fingerprint: int, endpoint: int) -> None:
        """Take note that an endpoint broke off while it ran a request."""
        self._remember(fingerprint, endpoint, trio.current_time())

    def take(self, reports: Iterable[CrashReport]) -> None:
        """Take what another instance saw."""
        now = trio.current_time()
        for each in reports:
            self._remember(each.fingerprint, each.endpoint, now - max(0.0, each.age_s))

    def is_harmful(self, fingerprint: int) -> bool:
        """Return whether a request has crashed so many endpoints that no other may run it."""
        return len(self._recent(fingerprint)) >= CRASHES_TO_REFUSE

    def reports(self) -> tuple[CrashReport, ...]:
        """Return what to tell other instances; requests with most crashes come first."""
        recent = {each: self._recent(each) for each in self._crashes}
        self._crashes = OrderedDict((name, seen) for name, seen in recent.items() if seen)
        told = sorted(self._crashes, key=lambda each: len(recent[each]), reverse=True)[:MAX_TOLD]
        now = trio.current_time()
        return tuple(
            CrashReport(fingerprint, endpoint, now - at)
            for fingerprint in told
            for endpoint, at in list(recent[fingerprint].items())[:CRASHES_TO_REFUSE]
        )

    def _recent(self, fingerprint: int) -> dict[int, float]:
        oldest = trio.current_time() - MEMORY_S
        seen = self._crashes.get(fingerprint, {})
        return {endpoint: at for endpoint, at in seen.items() if at >= oldest}

    def _remember(self, fingerprint: int, endpoint: int, at: float) -> None:
        seen = self._crashes.setdefault(fingerprint, {})
        seen[endpoint] = max(at, seen.get(endpoint, at))
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > MAX_REMEMBERED:
            self._crashes.popitem(last=False)
