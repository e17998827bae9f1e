"""Client for the calls of the leader: usage reports, orders for endpoints, role changes."""

from __future__ import annotations

from typing import Any

import msgspec

from shallotmux.calls import GuardedSender, HttpRequest
from shallotmux.control import CALL_FLIGHT_S, DutyHolder, DutyOutcome, FleetOrder, UsageReport
from shallotmux.errors import EndpointRefused, ShallotmuxError
from shallotmux.fleet import EngineRole, ListedEndpoint
from shallotmux.platform._client import ListClient
from shallotmux.platform._names import FENCING_TOKEN_HEADER, HEADERS, HOLDER_HEADER
from shallotmux.repeats import RepeatLog

#: Time in which the platform or an engine must answer a call.
ANSWER_TIMEOUT_S = 1.0

#: Outcomes by status of the response.
OUTCOMES_BY_STATUS = {
    200: DutyOutcome.ACCEPTED,
    202: DutyOutcome.ACCEPTED,
    409: DutyOutcome.FENCED,
    429: DutyOutcome.LIMITED,
}

#: Outcomes of a role change whose status means something else than in other calls. 412: a higher
#: fencing token was seen; 409: another order is in progress.
ROLE_OUTCOMES = {409: DutyOutcome.UNAVAILABLE, 412: DutyOutcome.FENCED}


class PlatformClient(ListClient):
    """Lists endpoints, reports usage and sends orders.

    Each call of the leader has its own connection and is sent only under its lease.

    :param address: IP address and port of the platform.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self._sender = GuardedSender(CALL_FLIGHT_S, ANSWER_TIMEOUT_S)
        self._failures = RepeatLog('shallotmux:leader-call-failed')

    async def report_usage(self, report: UsageReport, holder: DutyHolder) -> DutyOutcome:
        """Report the usage of one window."""
        body = {'window-id': report.window, 'counts': dict(report.counts)}
        return await self._call_platform('/usage', body, holder)

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
        outcome = await self._call_platform('/scale', body, holder)
        return DutyOutcome.UNAVAILABLE if outcome is DutyOutcome.FENCED else outcome

    async def change_role(
        self, endpoint: ListedEndpoint, role: EngineRole, holder: DutyHolder
    ) -> DutyOutcome:
        """Order an engine to change its role."""
        body = {'op': 'stage', 'stage': role.value, 'holder': holder.name, 'fence': holder.token}
        expected = {HEADERS.expected_endpoint.decode(): endpoint.identity}
        request = _build_call(endpoint.address, '/order', body, expected)
        return await self._call(request, holder, {**OUTCOMES_BY_STATUS, **ROLE_OUTCOMES})

    async def _call_platform(
        self, path: str, body: dict[str, Any], holder: DutyHolder
    ) -> DutyOutcome:
        headers = {
            HOLDER_HEADER.decode(): holder.name,
            FENCING_TOKEN_HEADER.decode(): str(holder.token),
        }
        request = _build_call(self._address, path, body, headers)
        return await self._call(request, holder, OUTCOMES_BY_STATUS)

    async def _call(
        self, request: HttpRequest, holder: DutyHolder, outcomes: dict[int, DutyOutcome]
    ) -> DutyOutcome:
        try:
            status, _ = await self._sender.send(request, holder.guard)
        except EndpointRefused as error:
            self._record_failure(request, error.message, DutyOutcome.NOT_SENT)
            return DutyOutcome.NOT_SENT
        except ShallotmuxError as error:
            self._record_failure(request, error.message, DutyOutcome.UNKNOWN)
            return DutyOutcome.UNKNOWN
        if status not in outcomes:
            self._record_failure(request, f'status {status}', DutyOutcome.UNKNOWN)
        return outcomes.get(status, DutyOutcome.UNKNOWN)

    def _record_failure(self, request: HttpRequest, reason: str, outcome: DutyOutcome) -> None:
        self._failures.record(
            f'{request.path} at {request.address}: {reason}', outcome=outcome.value
        )


def _build_call(
    address: str, path: str, body: dict[str, Any], headers: dict[str, str]
) -> HttpRequest:
    content = msgspec.json.encode(body)
    headers = {
        'Host': address,
        'Content-Type': 'application/json',
        'Content-Length': str(len(content)),
        **headers,
    }
    return HttpRequest('POST', address, path, content, headers)
