"""Requests: their lifecycle and their execution on endpoints."""

from __future__ import annotations

from shallotmux.requests._executor import RequestExecutor, RequestRefused, Tools
from shallotmux.requests._request import (
    NOT_RUN_STATES,
    CallerRequest,
    RequestState,
    hash_body,
)

__all__ = (
    'NOT_RUN_STATES',
    'CallerRequest',
    'RequestExecutor',
    'RequestRefused',
    'RequestState',
    'Tools',
    'hash_body',
)
