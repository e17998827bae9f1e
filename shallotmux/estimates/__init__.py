"""Models of endpoints from their load reports, and estimates of how long work takes there."""

from __future__ import annotations

from shallotmux.estimates._corrections import TimeCorrection, WorkTime
from shallotmux.estimates._estimator import (
    DECODE_PREFILL_SPEED_RATIO,
    Endpoint,
    Estimator,
)
from shallotmux.estimates._model import EndpointModel
from shallotmux.estimates._reports import MAX_PACE_PERCENT, LoadReport
from shallotmux.estimates._results import EndpointEstimate, Work
from shallotmux.estimates._usual import UsualLoads

__all__ = (
    'DECODE_PREFILL_SPEED_RATIO',
    'MAX_PACE_PERCENT',
    'Endpoint',
    'EndpointEstimate',
    'EndpointModel',
    'Estimator',
    'LoadReport',
    'TimeCorrection',
    'UsualLoads',
    'Work',
    'WorkTime',
)
