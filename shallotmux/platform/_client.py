"""Client of the platform's API, and of the role-change API of its engines."""

from __future__ import annotations

from typing import Any

import httpcore
import msgspec

from shallotmux.control import DutyHolder, DutyOutcome, FleetOrder, UsageReport
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import EngineRole, ListedEndpoint, Listing
from shallotmux.platform._listing import ListingParser
from shallotmux.platform._names import FENCING_TOKEN_HEADER, HEADERS, HOLDER_HEADER

#: Timeout of each phase of a call: connect, read, write and acquiring a connection.
CALL_TIMEOUT_S = 1.0

#: Number of pages beyond which a list is invalid, so that a repeating token cannot loop forever.
MAX_PAGES = 1000

#: Idle time after which a connection is not reused.
KEEP_ALIVE_S = 2.0

#: Errors of a call without a response; its outcome is unknown.
NO_RESPONSE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)

#: Outcomes by status of the response.
OUTCOMES_BY_STATUS = {200: DutyOutcome.ACCEPTED, 202: DutyOutcome.ACCEPTED, 409: DutyOutcome.FENCED}


class PlatformClient:
    """Lists endpoints, reports usage and sends orders through the platform's API.

    :param address: IP address and port of the platform.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4, max_keepalive_connections=2, keepalive_expiry=KEEP_ALIVE_S
        )
        self._parser = ListingParser()

    async def list_endpoints(self) -> Listing:
        """Return all pages of the list of endpoints.

        :raises ShallotmuxError: if there is no valid response.
        """
        endpoints: list[ListedEndpoint] = []
        token: str | None = ''
        for _ in range(MAX_PAGES):
            query = f'?page-token={token}' if token else ''
            response = await self._call('GET', f'http://{self._address}/instances{query}')
            if response.status != 200:
                raise ShallotmuxError(f'status {response.status}', step='list', peer=self._address)
            page, token = self._parser.parse_page(response.content)
            endpoints.extend(page)
            if not token:
                return Listing(tuple(endpoints))
        raise ShallotmuxError('the list has too many pages', step='list', peer=self._address)

    async def report_usage(self, report: UsageReport, holder: DutyHolder) -> DutyOutcome:
        """Report the usage of one window."""
        body = {'window-id': report.window, 'counts': dict(report.counts)}
        return OUTCOMES_BY_STATUS.get(
            await self._call_as_holder('/usage', body, holder), DutyOutcome.UNKNOWN
        )

    async def order_endpoints(self, order: FleetOrder, holder: DutyHolder) -> DutyOutcome:
        """Order endpoints.

        The platform answers 409 both when it has no capacity and when the fencing token is stale.
        """
        body: dict[str, Any] = {
            'service': order.service,
            'zone': order.zone,
            'desired-count': order.count,
        }
        if order.is_cheap:
            body['spot'] = True
        outcome = OUTCOMES_BY_STATUS.get(
            await self._call_as_holder('/scale', body, holder), DutyOutcome.UNKNOWN
        )
        return DutyOutcome.UNAVAILABLE if outcome is DutyOutcome.FENCED else outcome

    async def change_role(
        self, endpoint: ListedEndpoint, role: EngineRole, holder: DutyHolder
    ) -> DutyOutcome:
        """Order an engine to change its role."""
        body = {'op': 'stage', 'stage': role.value, 'holder': holder.name, 'fence': holder.token}
        url = f'http://{endpoint.address}/order'
        expected = ((HEADERS.expected_endpoint, endpoint.identity.encode()),)
        try:
            response = await self._call('POST', url, body, expected)
        except ShallotmuxError:
            return DutyOutcome.UNKNOWN
        # 412: a higher fencing token was seen; 409: another order is in progress.
        if response.status == 412:
            return DutyOutcome.FENCED
        if response.status == 409:
            return DutyOutcome.UNAVAILABLE
        return OUTCOMES_BY_STATUS.get(response.status, DutyOutcome.UNKNOWN)

    async def _call_as_holder(self, path: str, body: dict[str, Any], holder: DutyHolder) -> int:
        """Make a call with a fencing token, and return its status, or 0 without a response."""
        headers = (
            (HOLDER_HEADER, holder.name.encode()),
            (FENCING_TOKEN_HEADER, str(holder.token).encode()),
        )
        try:
            response = await self._call('POST', f'http://{self._address}{path}', body, headers)
        except ShallotmuxError:
            return 0
        return response.status

    async def _call(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None = None,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> httpcore.Response:
        content = None if body is None else msgspec.json.encode(body)
        if content is not None:
            headers = (*headers, (b'Content-Type', b'application/json'))
        limits = dict.fromkeys(('connect', 'read', 'write', 'pool'), CALL_TIMEOUT_S)
        try:
            return await self._pool.request(
                method, url, headers=list(headers), content=content, extensions={'timeout': limits}
            )
        except NO_RESPONSE_ERRORS as error:
            raise ShallotmuxError(
                repr(error), step=f'{method} {url}', peer=self._address
            ) from error
