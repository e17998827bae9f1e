"""Error bodies in the shape that client libraries of the caller protocol expect."""

from __future__ import annotations

from shallotmux.errors import CallerError, EndpointError, ShallotmuxError
from shallotmux.http import ErrorBody
from shallotmux.requests import RequestRefused

#: Error types of client libraries by status.
ERROR_TYPES = {401: 'authentication_error', 429: 'rate_limit_error'}

#: Status from which an error is not the caller's.
FIRST_SERVER_STATUS = 500


def build_error(error: ShallotmuxError) -> ErrorBody:
    """Return the error body for an exception.

    What a caller sent wrong is found before dispatch, so such a request certainly did not run.
    """
    match error:
        case CallerError():
            return ErrorBody(
                error.status,
                error.code,
                error.message,
                _error_type(error.status),
                param=error.param,
                not_run=True,
            )
        case RequestRefused():
            return ErrorBody(
                error.status,
                error.code,
                error.message,
                _error_type(error.status),
                not_run=error.not_run,
                retry_after_s=error.retry_after_s,
            )
        case EndpointError():
            return ErrorBody(502, 'outcome_unknown', error.message, 'api_error')
    return ErrorBody(500, 'internal_error', 'internal error', 'api_error')


def encode_error_event(error: RequestRefused) -> bytes:
    """Return the event that ends a stream with an error."""
    return b'data: %b\n\n' % build_error(error).encode()


def _error_type(status: int) -> str:
    default = 'invalid_request_error' if status < FIRST_SERVER_STATUS else 'api_error'
    return ERROR_TYPES.get(status, default)
