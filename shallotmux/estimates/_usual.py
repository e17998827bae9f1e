"""The load that is usual at the endpoints of a service."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotmux.fleet import EngineRole

#: Weight of a new report in the average.
REPORT_WEIGHT = 0.1

#: Time without reports in which half of the average is forgotten.
USUAL_HALF_LIFE_S = 10.0


@dataclass(slots=True)
class _Average:
    """Average requests of others, running and waiting, and the time of the newest report."""

    running: float = 0.0
    waiting: float = 0.0
    at: float = float('-inf')
    #: What is left of it at a time.
    faded: tuple[float, float] = (0.0, 0.0)
    faded_to: float = float('nan')


@dataclass(slots=True)
class UsualLoads:
    """Average number of other instances' requests at an endpoint, by service and role.

    An endpoint of which nothing was heard recently is taken to be like the others.
    """

    _averages: dict[tuple[str, EngineRole], _Average] = field(default_factory=dict)

    def record(
        self, service: str, role: EngineRole, running: float, waiting: float, at: float
    ) -> None:
        """Add the requests of others that a report shows."""
        average = self._averages.setdefault((service, role), _Average())
        average.running += REPORT_WEIGHT * (running - average.running)
        average.waiting += REPORT_WEIGHT * (waiting - average.waiting)
        average.at = max(average.at, at)
        average.faded_to = float('nan')

    def usual(self, service: str, role: EngineRole, now: float) -> tuple[float, float]:
        """Return the usual running and waiting requests of others."""
        average = self._averages.get((service, role))
        if average is None:
            return (0.0, 0.0)
        if now != average.faded_to:
            # One choice asks for all endpoints of a service at the same time.
            weight = 0.5 ** (max(0.0, now - average.at) / USUAL_HALF_LIFE_S)
            average.faded = (weight * average.running, weight * average.waiting)
            average.faded_to = now
        return average.faded
