"""Compare the zone's usage windows with the reports that the platform accepted."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from shallotmux.authority import Window
from shallotmux.provisioning import AcceptedReport
from shallotmux.usage._reporter import encode_report, report_id


@dataclass(frozen=True, slots=True)
class Discrepancy:
    """A difference between the zone's state and the platform's reports.

    :param problem: ``missing``, ``different``, ``duplicate`` or ``unexpected``.
    """

    operation_id: str
    problem: str
    expected: str
    accepted: str


def reconcile(
    windows: Iterable[Window], zone: str, accepted: Iterable[AcceptedReport]
) -> tuple[Discrepancy, ...]:
    """Return the differences between the zone's windows and the accepted reports.

    A window that is not reported yet may be accepted already, but must not differ.

    :param windows: windows in the zone's state.
    :param accepted: reports that the platform accepted for the zone.
    """
    discrepancies: list[Discrepancy] = []
    bodies: dict[str, str] = {}
    for report in accepted:
        if report.operation_id in bodies:
            earlier = bodies[report.operation_id]
            discrepancies.append(
                Discrepancy(report.operation_id, 'duplicate', earlier, report.body)
            )
        bodies[report.operation_id] = report.body
    for window in windows:
        name = report_id(zone, window.customer, window.window)
        body = bodies.pop(name, None)
        expected = encode_report(window, zone).decode()
        if body is None and window.reported:
            discrepancies.append(Discrepancy(name, 'missing', expected, ''))
        elif body is not None and body != expected:
            discrepancies.append(Discrepancy(name, 'different', expected, body))
    discrepancies.extend(Discrepancy(name, 'unexpected', '', body) for name, body in bodies.items())
    return tuple(discrepancies)
