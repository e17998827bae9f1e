"""Client of plain services."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from shallotmux.engines._client import NO_OBJECT_ERRORS
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import JSON_TYPE, HttpClient, HttpRequest, HttpResponse
from shallotmux.world import Endpoint

#: Header that identifies a call. If a service returns it, the response of another call is detected.
CALL_HEADER = 'shallotmux-call-id'

#: Status with which an endpoint may report that it did not run a request.
STATUS_CONFLICT = 409


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One attempt to call a plain service.

    :param call_id: identifies the attempt.
    :param path: path and query.
    :param headers: headers to forward; must not contain an API key.
    :param answer_limit_bytes: maximum size of the response body.
    """

    call_id: str
    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]
    answer_limit_bytes: int


@dataclass(frozen=True, slots=True)
class ServiceResult:
    """The complete response of a plain service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class ServiceClient:
    """Calls plain services over an HTTP client."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def call(self, endpoint: Endpoint, call: ServiceCall) -> ServiceResult:
        """Send a call and read its complete response.

        :raises EndpointRefused: if the service certainly did not run the call.
        :raises EndpointError: if the outcome is unknown.
        """
        headers = {**call.headers, CALL_HEADER: call.call_id}
        request = HttpRequest(call.method, endpoint.address, call.path, call.body, headers)
        async with self._client.stream(request) as response:
            body = await _read_body(endpoint, response, call.answer_limit_bytes)
            _check_call_id(endpoint, call, response)
            if response.status == STATUS_CONFLICT and _is_marked_not_run(response, body):
                raise EndpointRefused('service refused', step='dispatch', peer=endpoint.name)
            return ServiceResult(response.status, response.headers, body)


async def _read_body(endpoint: Endpoint, response: HttpResponse, limit_bytes: int) -> bytes:
    body = bytearray()
    async for chunk in response.chunks():
        body += chunk
        if len(body) > limit_bytes:
            raise EndpointError(
                f'answer exceeds {limit_bytes} bytes', step='stream', peer=endpoint.name
            )
    declared = response.headers.get('content-length')
    if declared is not None and declared != str(len(body)):
        raise EndpointError('answer is truncated', step='stream', peer=endpoint.name)
    return bytes(body)


def _check_call_id(endpoint: Endpoint, call: ServiceCall, response: HttpResponse) -> None:
    returned_id = response.headers.get(CALL_HEADER, call.call_id)
    if returned_id != call.call_id:
        raise EndpointError('answer belongs to another call', step='stream', peer=endpoint.name)


def _is_marked_not_run(response: HttpResponse, body: bytes) -> bool:
    if not response.headers.get('content-type', '').startswith(JSON_TYPE):
        return False
    try:
        return msgspec.json.decode(body).get('not_run') is True
    except NO_OBJECT_ERRORS:
        return False
