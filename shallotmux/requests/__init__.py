"""Admission, lifecycle and execution of requests on endpoints."""

from __future__ import annotations

from shallotmux.requests._context import ExecutorDependencies, draw_incarnation
from shallotmux.requests._event_buffer import EventBuffer
from shallotmux.requests._executor import CallerStalled, DrainResult, RequestExecutor
from shallotmux.requests._lifecycle import (
    Lifecycle,
    Outcome,
    RequestState,
    advance,
    determine_outcome,
)
from shallotmux.requests._limits import CustomerDemand, InstanceDemand, PoolDemand
from shallotmux.requests._request import (
    CallerRequest,
    RequestRefused,
    ServiceAnswer,
    ServiceRequest,
    hash_body,
)
from shallotmux.requests._settings import RequestSettings

__all__ = (
    'CallerRequest',
    'CallerStalled',
    'CustomerDemand',
    'DrainResult',
    'EventBuffer',
    'ExecutorDependencies',
    'InstanceDemand',
    'Lifecycle',
    'Outcome',
    'PoolDemand',
    'RequestExecutor',
    'RequestRefused',
    'RequestSettings',
    'RequestState',
    'ServiceAnswer',
    'ServiceRequest',
    'advance',
    'determine_outcome',
    'draw_incarnation',
    'hash_body',
)
