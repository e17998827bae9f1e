"""Client of the operator API."""

from __future__ import annotations

import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

import msgspec

from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import EndpointError, EndpointRefused, OutcomeUnknown, ShallotmuxError
from shallotmux.http import JSON_TYPE, HttpClient, HttpRequest, fetch
from shallotmux.operators._objects import ObjectName

#: Maximum size of a response body.
MAX_RESPONSE_BYTES = 67_108_864

#: Attempts to send one operation, including the first, before its outcome is reported as unknown.
MAX_ATTEMPTS = 3

STATUS_OK = 200
STATUS_UNAVAILABLE = 503
STATUS_UNKNOWN = 504


class OperatorError(ShallotmuxError):
    """The operator API returned an error.

    :param status: HTTP status code.
    :param code: stable machine-readable code.
    :param details: the complete error object of the response.
    """

    def __init__(self, message: str, *, status: int, code: str, details: Mapping[str, Any]) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.details = details


@dataclass(frozen=True, slots=True)
class _Call:
    """One request, with everything needed to send it again."""

    method: str
    path: str
    body: bytes = b''
    if_match: str | None = None
    operation_id: str = ''


class OperatorClient:
    """Calls the operator API of one instance.

    A change whose response is lost is sent again with the same operation id, so that it takes
    effect only once.

    :param token: credential of the operator.
    """

    def __init__(self, client: HttpClient, address: str, token: str) -> None:
        self._client = client
        self._address = address
        self._token = token

    async def view(self, path: str, **query: str) -> dict[str, Any]:
        """Read a view, for example ``status`` or ``usage``.

        :raises OperatorError: if the instance returns an error.
        :raises EndpointError: if it cannot be reached.
        """
        suffix = f'?{urlencode(query)}' if query else ''
        return await self._send(_Call('GET', f'/v1/{quote(path)}{suffix}'))

    async def find(self, object_name: ObjectName) -> dict[str, Any] | None:
        """Return an object with its revision, or None if it does not exist."""
        try:
            return await self.view(str(object_name))
        except OperatorError as error:
            if error.code == 'not_found':
                return None
            raise

    async def put(
        self, object_name: ObjectName, fields: Mapping[str, Any], revision: int | None
    ) -> dict[str, Any]:
        """Create or replace an object.

        :param revision: revision to replace, 0 to create the object, or None for any revision.
        """
        body = msgspec.json.encode(fields)
        return await self._change('PUT', f'/v1/{quote(str(object_name))}', body, revision)

    async def delete(self, object_name: ObjectName, revision: int | None) -> dict[str, Any]:
        """Remove an object.

        :param revision: revision to remove, or None for any revision.
        """
        return await self._change('DELETE', f'/v1/{quote(str(object_name))}', b'', revision)

    async def create_key(self, customer: str) -> dict[str, Any]:
        """Create a key; the response contains its secret."""
        body = msgspec.json.encode({'seed': secrets.token_hex(32)})
        return await self._change('POST', f'/v1/customer/{quote(customer)}/keys', body, 0)

    async def withdraw_key(self, key_id: str) -> dict[str, Any]:
        """Withdraw a key permanently."""
        return await self._change('DELETE', f'/v1/key/{quote(key_id)}', b'', 0)

    async def lift_quarantine(self, fingerprint: str) -> dict[str, Any]:
        """Accept a quarantined request again."""
        return await self._change('DELETE', f'/v1/quarantine/{quote(fingerprint)}', b'', 0)

    async def _change(
        self, method: str, path: str, body: bytes, revision: int | None
    ) -> dict[str, Any]:
        if_match = '*' if revision is None else f'"{revision}"'
        call = _Call(method, path, body, if_match, f'op-{secrets.token_hex(16)}')
        failures: list[ShallotmuxError] = []
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._send(call)
            except (EndpointError, OperatorError) as error:
                if _is_final(error) or not (failures or _may_have_taken_effect(error)):
                    raise
                failures.append(error)
        raise OutcomeUnknown(
            f'{failures[-1].message}; operation id {call.operation_id}', peer=self._address
        )

    async def _send(self, call: _Call) -> dict[str, Any]:
        headers = {'authorization': f'Bearer {self._token}', 'content-type': JSON_TYPE}
        if call.if_match is not None:
            headers['if-match'] = call.if_match
        if call.operation_id:
            headers['shallotmux-operation-id'] = call.operation_id
        request = HttpRequest(call.method, self._address, call.path, call.body, headers)
        status, body = await fetch(self._client, request, MAX_RESPONSE_BYTES)
        return decode_response(status, body)


def _is_final(error: ShallotmuxError) -> bool:
    """Return whether an error is the definitive result of the operation.

    A status 503 for lack of a leader is not: an earlier attempt may have been executed.
    """
    return isinstance(error, OperatorError) and error.status not in {
        STATUS_UNAVAILABLE,
        STATUS_UNKNOWN,
    }


def _may_have_taken_effect(error: ShallotmuxError) -> bool:
    """Return whether an operation may have taken effect despite an error."""
    match error:
        case EndpointRefused():
            return False
        case OperatorError(status=status):
            return status == STATUS_UNKNOWN
        case _:
            return True


def decode_response(status: int, body: bytes) -> dict[str, Any]:
    """Return the JSON object of a response.

    :raises OperatorError: if the response is an error or not a JSON object.
    """
    try:
        decoded = msgspec.json.decode(body)
    except DECODE_ERRORS:
        decoded = None
    if not isinstance(decoded, dict):
        raise OperatorError(
            f'the response with status {status} is not a JSON object',
            status=status,
            code='invalid_answer',
            details={},
        )
    if status == STATUS_OK:
        return decoded
    error = decoded.get('error', {})
    raise OperatorError(
        error.get('message', f'status {status}'),
        status=status,
        code=error.get('code', ''),
        details=error,
    )
