"""Calls to the platform and orders to its workers."""

from __future__ import annotations

from typing import Any

import httpcore
import msgspec

from shallotmux.control import DutyHolder, DutyOutcome, FleetOrder, UsageReport
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import EngineRole, ListedEndpoint, Listing
from shallotmux.platform._listing import EntryReader
from shallotmux.platform._names import HEADERS, HOLDER_HEADER, TOKEN_HEADER

#: Time for one call.
CALL_TIMEOUT_S = 1.0

#: Pages of the list after which it counts as broken.
MAX_PAGES = 1000

#: Idle time of a connection after which it is not used again.
KEEP_ALIVE_S = 2.0

#: Failures of a call of which the outcome is not known.
NO_ANSWER = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, OSError)

#: Outcomes by status.
OUTCOMES = {200: DutyOutcome.ACCEPTED, 202: DutyOutcome.ACCEPTED, 409: DutyOutcome.FENCED}


class PlatformClient:
    """Makes the calls.

    :param address: IP address and port of the platform.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4, max_keepalive_connections=2, keepalive_expiry=KEEP_ALIVE_S
        )
        self._reader = EntryReader()

    async def list_endpoints(self) -> Listing:
        """Return the whole list."""
        endpoints: list[ListedEndpoint] = []
        token: str | None = ''
        for _ in range(MAX_PAGES):
            query = f'?page-token={token}' if token else ''
            response = await self._call('GET', f'http://{self._address}/instances{query}')
            if response.status != 200:
                raise ShallotmuxError(f'status {response.status}', step='list', peer=self._address)
            found, token = self._reader.read_page(response.content)
            endpoints.extend(found)
            if not token:
                return Listing(tuple(endpoints))
        raise ShallotmuxError('the list does not end', step='list', peer=self._address)

    async def report_usage(self, report: UsageReport, holder: DutyHolder) -> DutyOutcome:
        """Report one window."""
        body = {'window-id': report.window, 'counts': dict(report.counts)}
        return OUTCOMES.get(await self._duty('/usage', body, holder), DutyOutcome.UNKNOWN)

    async def order_endpoints(self, order: FleetOrder, holder: DutyHolder) -> DutyOutcome:
        """Order endpoints; the same status says that none are to be had and that a fence is old."""
        body: dict[str, Any] = {
            'service': order.service,
            'zone': order.zone,
            'desired-count': order.count,
        }
        if order.is_cheap:
            body['spot'] = True
        outcome = OUTCOMES.get(await self._duty('/scale', body, holder), DutyOutcome.UNKNOWN)
        return DutyOutcome.UNAVAILABLE if outcome is DutyOutcome.FENCED else outcome

    async def change_role(
        self, endpoint: ListedEndpoint, role: EngineRole, holder: DutyHolder
    ) -> DutyOutcome:
        """Order an engine to change its stage."""
        body = {'op': 'stage', 'stage': role.value, 'holder': holder.name, 'fence': holder.token}
        url = f'http://{endpoint.address}/order'
        expected = ((HEADERS.expected_endpoint, endpoint.identity.encode()),)
        try:
            response = await self._call('POST', url, body, expected)
        except ShallotmuxError:
            return DutyOutcome.UNKNOWN
        # 412 says that a higher fencing token was seen, 409 that another order is in progress.
        if response.status == 412:
            return DutyOutcome.FENCED
        if response.status == 409:
            return DutyOutcome.UNAVAILABLE
        return OUTCOMES.get(response.status, DutyOutcome.UNKNOWN)

    async def _duty(self, path: str, body: dict[str, Any], holder: DutyHolder) -> int:
        """Make a call that only the holder of a duty may make; returns its status, 0 for none."""
        headers = (
            (HOLDER_HEADER, holder.name.encode()),
            (TOKEN_HEADER, str(holder.token).encode()),
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
        except NO_ANSWER as error:
            raise ShallotmuxError(
                repr(error), step=f'{method} {url}', peer=self._address
            ) from error
