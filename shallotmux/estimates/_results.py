"""Results of an estimate."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Work(enum.Enum):
    """Kind of work, by which corrections are learned."""

    #: Prefill of a prompt for another engine.
    PREFILL = 'prefill'
    #: Answer to a prompt that another engine has prefilled.
    HANDOVER = 'handover'
    #: Prefill of a prompt, and answer, on one engine.
    DIRECT = 'direct'
    #: Request to a plain service.
    PLAIN = 'plain'


@dataclass(frozen=True, slots=True)
class EndpointEstimate:
    """Estimated time of work at one endpoint.

    :param wait_ms: time until work on a new request begins.
    :param service_ms: time from then to the first byte.
    :param pace: factor on usual times; 1.0 as usual, 2.0 takes twice as long.
    :param age_s: age of the newest report used; infinite without one.
    :param base: time before the correction; of plain work, the multiple of the usual time.
    """

    wait_ms: float
    service_ms: float
    pace: float
    age_s: float
    work: Work = Work.PLAIN
    base: float = 0.0

    @property
    def total_ms(self) -> float:
        """Return the time to the first byte."""
        return self.wait_ms + self.service_ms
