"""Verify that a connection leads to the start of an endpoint that the list names."""

from __future__ import annotations

from collections.abc import Callable

import trio

from shallotmux.errors import EndpointError
from shallotmux.forwarding._admission import Dialect
from shallotmux.forwarding._endpoint import ConnectionUnusable, EndpointConnection
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._messages import OutgoingRequest
from shallotmux.forwarding._state import EndpointState
from shallotmux.origins import StreamOrigins

#: Longest time after the start of an endpoint for which the list may still name an earlier one.
MAX_LIST_LAG_S = 2.0

#: Timeout of the call that asks an endpoint when it started.
REPORT_TIMEOUT_S = 0.3

ACCEPTED_STATUS = 200


class StartVerifier:
    """Asks endpoints when they started, where the list may not tell.

    An endpoint may restart under its identity and address at another software version, and the list is
    some seconds old. A connection cannot outlive a start. It therefore leads to the listed start if it
    was opened well before the list was read, or if the endpoint says so on it.

    :param listed_at: returns the local time at which the list was read.
    """

    def __init__(
        self, dialect: Dialect, origins: StreamOrigins, listed_at: Callable[[], float]
    ) -> None:
        self._dialect = dialect
        self._origins = origins
        self._listed_at = listed_at

    async def verify(self, job: Job, state: EndpointState, connection: EndpointConnection) -> None:
        """Return if a connection leads to the listed start, or if that does not matter for a job.

        :raises ConnectionUnusable: if it leads to another start, or the endpoint does not answer.
        """
        if not self._matters(job, state) or self._is_certain(connection):
            return
        try:
            started_ms = await self._ask(state, connection)
        except (EndpointError, ValueError) as error:
            raise _retire(connection, f'no valid report: {error}') from error
        if started_ms not in {None, state.listed.started_ms}:
            reason = f'started at {started_ms}, not at {state.listed.started_ms} as listed'
            raise _retire(connection, reason)
        connection.is_start_verified = True

    def _matters(self, job: Job, state: EndpointState) -> bool:
        """Return whether the software version decides where the stream of a job may go on."""
        if not self._dialect.report_path or not state.listed.started_ms:
            return False
        if job.stream_version is not None:
            return True
        return job.route.has_resumable_streams and self._origins.single_version(job.service) is None

    def _is_certain(self, connection: EndpointConnection) -> bool:
        is_older = connection.opened_at <= self._listed_at() - MAX_LIST_LAG_S
        return connection.is_start_verified or is_older

    async def _ask(self, state: EndpointState, connection: EndpointConnection) -> int | None:
        """Return the start that an endpoint names; None if it names none.

        :raises EndpointError: if the connection breaks, or there is no answer to read.
        :raises ValueError: if the report is not valid.
        """
        names = self._dialect.names
        call = OutgoingRequest(
            b'',
            b'GET',
            self._dialect.report_path.encode(),
            (
                (b'host', state.listed.address.encode()),
                (names.expected_endpoint, state.identity.encode()),
            ),
            b'',
        )
        with trio.move_on_after(REPORT_TIMEOUT_S):
            answer = await connection.call(call)
            if answer.status == ACCEPTED_STATUS and connection.is_reusable:
                return self._dialect.read_start(answer.content)
        raise EndpointError('no report', step='verify start', peer=connection.peer)


def _retire(connection: EndpointConnection, reason: str) -> ConnectionUnusable:
    """Keep a connection from being used again, and return the error for it."""
    connection.retire()
    return ConnectionUnusable(reason, step='verify start', peer=connection.peer)
