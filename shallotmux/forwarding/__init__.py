"""Forward HTTP requests to endpoints and relay their answers unchanged."""

from __future__ import annotations

from shallotmux.forwarding._admission import Admitted, Dialect, admit_request
from shallotmux.forwarding._assembly import ForwarderParts, build_forwarder
from shallotmux.forwarding._attempt import AttemptResult, AttemptRunner
from shallotmux.forwarding._budget import RetryBudgetLimits, SharedRetryBudget
from shallotmux.forwarding._caller_connection import Handler
from shallotmux.forwarding._counting import RequestCounter
from shallotmux.forwarding._directory import EndpointDirectory
from shallotmux.forwarding._engines import EnginePlacer
from shallotmux.forwarding._forwarder import Forwarder
from shallotmux.forwarding._headers import Headers
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._listener import HttpListener
from shallotmux.forwarding._messages import (
    AnswerHead,
    CallerRequest,
    OutgoingRequest,
    Reply,
    send_response,
)
from shallotmux.forwarding._metrics import ForwardingMetrics
from shallotmux.forwarding._names import HeaderNames
from shallotmux.forwarding._pool import ConnectionPool
from shallotmux.forwarding._refusals import Refusal
from shallotmux.forwarding._relayed import RelayedRequests
from shallotmux.forwarding._state import EndpointState

__all__ = (
    'Admitted',
    'AnswerHead',
    'AttemptResult',
    'AttemptRunner',
    'RetryBudgetLimits',
    'CallerRequest',
    'ConnectionPool',
    'Dialect',
    'EndpointDirectory',
    'EndpointState',
    'EnginePlacer',
    'Forwarder',
    'ForwarderParts',
    'ForwardingMetrics',
    'HeaderNames',
    'Headers',
    'Handler',
    'HttpListener',
    'Job',
    'OutgoingRequest',
    'Refusal',
    'SharedRetryBudget',
    'RelayedRequests',
    'Reply',
    'RequestCounter',
    'admit_request',
    'build_forwarder',
    'send_response',
)
