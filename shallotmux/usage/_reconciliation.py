"""Compare the zone's usage windows with what the platform has accepted."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from shallotmux.authority import Window
from shallotmux.provisioning import AcceptedReport
from shallotmux.usage._reporter import encode_report, report_id


@dataclass(frozen=True, slots=True)
class Discrepancy:
    """A difference between the zone's state and the platform.

    :param problem: ``missing``, ``different``, ``duplicate`` or ``unexpected``.
    """

    operation_id: str
    problem: str
    expected: str
    accepted: str


def reconcile(
    windows: Iterable[Window], zone: str, accepted: Iterable[AcceptedReport]
) -> tuple[Discrepancy, ...]:
    """Return the reported windows that the platform has not accepted as they are.

    :param windows: windows of the zone's state.
    :param accepted: reports that the platform holds for the zone.
    """
    found: list[Discrepancy] = []
    bodies: dict[str, str] = {}
    for report in accepted:
        if report.operation_id in bodies:
            earlier = bodies[report.operation_id]
            found.append(Discrepancy(report.operation_id, 'duplicate', earlier, report.body))
        bodies[report.operation_id] = report.body
    for window in windows:
        name = report_id(zone, window.customer, window.window)
        body = bodies.pop(name, None)
        expected = encode_report(window, zone).decode()
        if body is None and window.reported:
            found.append(Discrepancy(name, 'missing', expected, ''))
        elif body is not None and body != expected:
            found.append(Discrepancy(name, 'different', expected, body))
    found.extend(Discrepancy(name, 'unexpected', '', body) for name, body in bodies.items())
    return tuple(found)
