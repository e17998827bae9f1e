"""Read the load that endpoints report, and exchange it with the instances of the zone."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from shallotmux.estimates import Estimator, LoadReport
from shallotmux.fleet import EndpointReport
from shallotmux.forwarding._headers import parse_count
from shallotmux.forwarding._state import EndpointState
from shallotmux.repeats import RepeatLog

#: Numbers of a reported load that count: running, waiting, slots, pace in percent.
LOAD_COUNTS = 4
MIN_LOAD_COUNTS = 3

#: Largest number in a reported load that is read.
MAX_REPORTED_COUNT = 1_000_000

#: Time for which a report is sent to other instances. A datagram may be lost, so it is repeated.
SHARED_FOR_S = 0.4

#: Age from which a report of another instance is ignored.
MAX_REPORT_AGE_S = 2.0

#: Bytes of an unreadable header that are logged.
MAX_LOGGED_BYTES = 64


def parse_load(text: bytes, at: float) -> LoadReport | None:
    """Return the load in a header, or None if it is unreadable.

    :param text: numbers separated by commas; what follows the fourth is ignored.
    :param at: local time of the report.
    """
    parts = text.split(b',', LOAD_COUNTS)[:LOAD_COUNTS]
    counts = [parse_count(each, MAX_REPORTED_COUNT) for each in parts]
    known = [each for each in counts if each is not None]
    if len(known) != len(counts) or len(known) < MIN_LOAD_COUNTS:
        return None
    running, waiting, slots, *pace = known
    return LoadReport(running, waiting, slots, pace[0] if pace else 100, at)


def _ignore_result(_: str) -> None:
    """Count nothing."""


class LoadReports:
    """Reports of the endpoints of one directory.

    :param states: endpoints by identity.
    """

    def __init__(self, states: Mapping[str, EndpointState]) -> None:
        self._states = states
        self._by_start: dict[int, EndpointState] = {}
        self._estimator = Estimator()
        #: Own reports that are being sent, by start number.
        self._shared: dict[int, LoadReport] = {}
        self._unreadable = RepeatLog('shallotmux:load-unreadable')
        #: Called with what became of each report.
        self.count_result: Callable[[str], None] = _ignore_result

    def watch(self, estimator: Estimator) -> None:
        """Add reports to the models of an estimator from now on."""
        self._estimator = estimator

    def update_listing(self) -> None:
        """Find the starts of the endpoints again after the list has changed."""
        self._by_start = {state.start_number: state for state in self._states.values()}
        self._shared = {
            start: report for start, report in self._shared.items() if start in self._by_start
        }

    def record(self, state: EndpointState, text: bytes | None, now: float) -> None:
        """Add the load in the head of an answer; a missing header tells nothing."""
        if text is None:
            return
        report = parse_load(text, now)
        if report is None or not report.is_plausible:
            self._record_unreadable(state, text, 'unreadable' if report is None else 'implausible')
            return
        if self._estimator.receive(state, report):
            self._shared[state.start_number] = report
            self.count_result('own')

    def receive(self, reports: Iterable[EndpointReport], now: float) -> None:
        """Add reports that another instance received."""
        for each in reports:
            self.count_result(self._receive_one(each, now))

    def shared(self, now: float) -> list[EndpointReport]:
        """Return the reports for other instances: of busy endpoints first, then the newest."""
        self._shared = {
            start: report
            for start, report in self._shared.items()
            if now - report.at < SHARED_FOR_S
        }
        ordered = sorted(self._shared.items(), key=lambda item: (not item[1].is_busy, -item[1].at))
        return [
            EndpointReport(
                start,
                report.running,
                report.waiting,
                report.slots,
                report.pace_percent,
                round(1000 * (now - report.at)),
            )
            for start, report in ordered
        ]

    def _receive_one(self, shared: EndpointReport, now: float) -> str:
        report = LoadReport(
            shared.running,
            shared.waiting,
            shared.slots,
            shared.pace_percent,
            now - shared.age_ms / 1000,
        )
        if not report.is_plausible or shared.age_ms < 0:
            return 'implausible'
        if shared.age_ms > 1000 * MAX_REPORT_AGE_S:
            return 'old'
        state = self._by_start.get(shared.start)
        if state is None:
            return 'unknown'
        return 'shared' if self._estimator.receive(state, report) else 'known'

    def _record_unreadable(self, state: EndpointState, text: bytes, result: str) -> None:
        self.count_result(result)
        self._unreadable.record(
            state.listed.service,
            endpoint=state.identity,
            result=result,
            header=text[:MAX_LOGGED_BYTES].decode('latin-1'),
        )
