"""Error bodies in the format that client libraries of the caller protocol expect."""

from __future__ import annotations

from shallotmux.errors import CallerError, EndpointError, ShallotmuxError
from shallotmux.http import ErrorBody
from shallotmux.requests import RequestRefused

#: Error types by status; other statuses have the default of :func:`_error_type`.
ERROR_TYPES = {401: 'authentication_error', 429: 'rate_limit_error'}

#: Lowest status of errors that the caller did not cause.
MIN_SERVER_ERROR_STATUS = 500


def build_error(error: ShallotmuxError) -> ErrorBody:
    """Return the error body for an exception.

    A :class:`CallerError` is raised before dispatch, so such a request certainly did not run.
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
    """Return the server-sent event that ends a stream with an error."""
    return b'data: %b\n\n' % build_error(error).encode()


def _error_type(status: int) -> str:
    default = 'invalid_request_error' if status < MIN_SERVER_ERROR_STATUS else 'api_error'
    return ERROR_TYPES.get(status, default)
