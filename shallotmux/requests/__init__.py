"""Requests: their lifecycle and their execution on endpoints."""

from __future__ import annotations

from shallotmux.requests._event_buffer import EventBuffer
from shallotmux.requests._executor import CallerStalled, Drained, RequestExecutor
from shallotmux.requests._lifecycle import Lifecycle, Outcome, RequestState, advance, judge
from shallotmux.requests._limits import CustomerDemand, InstanceDemand, PoolDemand
from shallotmux.requests._parts import ExecutorDependencies, draw_incarnation
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
    'Drained',
    'InstanceDemand',
    'PoolDemand',
    'Lifecycle',
    'EventBuffer',
    'Outcome',
    'RequestExecutor',
    'RequestRefused',
    'RequestSettings',
    'RequestState',
    'ServiceAnswer',
    'ServiceRequest',
    'ExecutorDependencies',
    'advance',
    'draw_incarnation',
    'hash_body',
    'judge',
)
