"""Usage reports, whose counts are fixed before they are sent so that each retry is identical."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotmux.authority._codec import registry
from shallotmux.authority._results import Applied, Refused

#: Number of accepted reports that are kept.
MAX_ACCEPTED_REPORTS = 32


@dataclass(frozen=True, slots=True)
class ReportCount:
    """Number of requests of one customer."""

    customer: str
    requests: int


@dataclass(frozen=True, slots=True)
class FixReport:
    """Fixes the counts of a window; the first command for a window wins."""

    operation_id: str
    window: int
    counts: tuple[ReportCount, ...]


@dataclass(frozen=True, slots=True)
class AcceptReport:
    """Records that the platform accepted the report of a window."""

    operation_id: str
    window: int


@dataclass(frozen=True, slots=True)
class FixedReport:
    """Report of a window; its counts no longer change."""

    window: int
    counts: tuple[ReportCount, ...]
    is_accepted: bool = False


registry.register(ReportCount, FixReport, AcceptReport, FixedReport)


@dataclass(slots=True)
class ReportState:
    """Fixed reports by window."""

    reports: dict[int, FixedReport] = field(default_factory=dict)
    #: Last window that was fixed.
    last_window: int = -1

    def apply(self, command: FixReport | AcceptReport, revision: int) -> Applied | Refused:
        """Fix a report or mark it as accepted."""
        match command:
            case FixReport(window=window) if window <= self.last_window:
                return Refused(f'window {window} is fixed already')
            case FixReport(window=window, counts=counts):
                self.last_window = window
                self.reports[window] = FixedReport(window, counts)
            case AcceptReport(window=window):
                report = self.reports.get(window)
                if report is None:
                    return Refused(f'window {window} is not fixed')
                self.reports[window] = FixedReport(window, report.counts, is_accepted=True)
        self._evict_accepted()
        return Applied(revision)

    def unaccepted(self) -> tuple[FixedReport, ...]:
        """Return the reports that the platform has not accepted yet, oldest first."""
        by_window = sorted(self.reports.values(), key=lambda report: report.window)
        return tuple(report for report in by_window if not report.is_accepted)

    def dump(self) -> list[bytes]:
        """Return the reports for a snapshot."""
        reports = (registry.encode(report) for report in self.reports.values())
        return [str(self.last_window).encode(), *reports]

    def restore(self, dumped: list[bytes]) -> None:
        """Load the reports of a snapshot."""
        self.last_window = int(dumped[0])
        for each in dumped[1:]:
            report: FixedReport = registry.decode(each)
            self.reports[report.window] = report

    def _evict_accepted(self) -> None:
        accepted = sorted(each.window for each in self.reports.values() if each.is_accepted)
        for window in accepted[:-MAX_ACCEPTED_REPORTS]:
            self.reports.pop(window)
