"""History of the software versions that each service had, as seen in the lists of endpoints."""

from __future__ import annotations

from collections.abc import Iterable

import trio

from shallotmux.origins._messages import NO_HISTORY, HistoryReport, VersionSpan

#: Longest time between the first event of a stream and its last retry. It exceeds the time limits of
#: callers several times.
MAX_STREAM_LIFE_S = 120.0

#: Longest time between two lists for which the versions in between are taken as known. It exceeds the
#: interval of the polls and the lag of the list; a version that comes and goes within it is not noticed.
MAX_LIST_GAP_S = 2.5

#: Spans that are remembered. While there are more, no version can be derived.
MAX_SPANS = 512


class VersionHistory:
    """Software versions by service over the time in which a stream may have begun.

    The history is known from ``since`` to ``until`` without gaps. What other instances saw extends it;
    an instance reports to others only what it saw itself, so that no age is passed on twice.
    """

    def __init__(self) -> None:
        #: Local time of the last list that named a version, by service and version.
        self._spans: dict[tuple[str, str], float] = {}
        self.since = float('inf')
        self.until = float('-inf')

    def assume_complete(self) -> None:
        """Record that no stream can have begun before, as the deployment starts for the first time."""
        self.since = float('-inf')

    def observe(self, versions: Iterable[tuple[str, str]], at: float) -> None:
        """Record a list: services and software versions of its endpoints.

        :param at: local time at which the list was read.
        """
        if at <= self.until:
            return
        has_gap = at - self.until > MAX_LIST_GAP_S and self.until > float('-inf')
        if has_gap or self.since == float('inf'):
            self.since = at
        self.until = at
        for service, version in versions:
            self._extend(service, version, at)
        self._expire(at)

    def merge(self, report: HistoryReport, sent_at: float) -> None:
        """Extend the known time by what another instance saw itself.

        It grows only if both overlap, since a version may have come and gone in a gap. Ages count from
        an unknown moment between the request and now; each is taken so that less is known.

        :param sent_at: local time at which the report was requested.
        """
        now = trio.current_time()
        since, until = now - report.since_age_s, sent_at - report.until_age_s
        if since > until:
            return
        for span in report.spans:
            self._extend(span.service, span.version, now - span.last_age_s)
        is_later = self.since == float('inf') or self.until < since - MAX_LIST_GAP_S
        if is_later:
            self.since = since
            self.until = until
        elif until >= self.since - MAX_LIST_GAP_S:
            self.since = min(self.since, since)
            self.until = max(self.until, until)
        self._expire(now)

    def build_report(self, now: float) -> HistoryReport:
        """Return the history for other instances."""
        if self.since > self.until:
            return NO_HISTORY
        spans = tuple(
            VersionSpan(service, version, now - last)
            for (service, version), last in self._spans.items()
        )
        return HistoryReport(now - self.since, now - self.until, spans)

    def versions_at(self, service: str, now: float) -> frozenset[str] | None:
        """Return the versions that may have begun a stream that still lasts; None if unknown."""
        earliest = now - MAX_STREAM_LIFE_S
        is_known = self.since <= earliest and now - self.until <= MAX_LIST_GAP_S
        if not is_known or len(self._spans) > MAX_SPANS:
            return None
        return frozenset(
            version
            for (name, version), last in self._spans.items()
            if name == service and last >= earliest
        )

    def single_version(self, service: str, now: float) -> str | None:
        """Return the only version that may have begun a stream; None if there are several."""
        versions = self.versions_at(service, now)
        if versions is None or len(versions) != 1:
            return None
        return next(iter(versions))

    def _extend(self, service: str, version: str, last: float) -> None:
        key = service, version
        self._spans[key] = max(last, self._spans.get(key, last))

    def _expire(self, now: float) -> None:
        """Forget versions that cannot have begun a stream that still lasts."""
        oldest = now - 2 * MAX_STREAM_LIFE_S
        if len(self._spans) > 1:
            self._spans = {key: last for key, last in self._spans.items() if last >= oldest}
