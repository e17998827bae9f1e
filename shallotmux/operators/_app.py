"""ASGI application for operators."""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from pydantic import TypeAdapter, ValidationError

from shallotmux.authority import (
    Applied,
    Authority,
    Conflict,
    CreateKey,
    PutObject,
    Refused,
    Result,
    WithdrawKey,
    create_secret,
)
from shallotmux.errors import AuthorityUnavailable, CallerError, OutcomeUnknown
from shallotmux.http import (
    ErrorBody,
    Receive,
    Scope,
    Send,
    find_header,
    read_body,
    send_error,
    send_json,
)
from shallotmux.world import Customer, Defaults, EndpointPool, PolicyException, Route

MAX_BODY_BYTES = 1_048_576

#: Kinds of configuration objects and the data classes that validate them.
OBJECT_TYPES: Mapping[str, TypeAdapter[Any]] = {
    'customer': TypeAdapter(Customer),
    'route': TypeAdapter(Route),
    'pool': TypeAdapter(EndpointPool),
    'defaults': TypeAdapter(Defaults),
    'exception': TypeAdapter(PolicyException),
}


@dataclass(frozen=True, slots=True)
class OperatorTools:
    """Collaborators of the operator application.

    :param token: credential that operators send as a bearer token.
    """

    authority: Authority
    pepper: bytes
    token: str


class OperatorApp:
    """Serves the operators' JSON API."""

    def __init__(self, tools: OperatorTools) -> None:
        self._tools = tools

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        try:
            await self._handle(scope, receive, send)
        except CallerError as error:
            await send_error(send, ErrorBody(error.status, error.code, error.message))
        except AuthorityUnavailable as error:
            await send_error(send, ErrorBody(503, 'no_quorum', str(error), not_run=True))
        except OutcomeUnknown as error:
            await send_error(send, ErrorBody(504, 'outcome_unknown', str(error)))

    async def _handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        self._check_token(scope)
        parts = scope['path'].strip('/').split('/')
        operation = find_header(scope, b'shallotmux-operation-id') or ''
        if not operation and scope['method'] != 'GET':
            raise CallerError('operation id is missing', status=400, code='no_operation_id')
        match (scope['method'], parts):
            case ('PUT', ['v1', kind, name]) if kind in OBJECT_TYPES:
                body = await read_body(receive, MAX_BODY_BYTES)
                await self._put(scope, send, operation, kind, name, body)
            case ('POST', ['v1', 'customer', name, 'keys']):
                secret, key = create_secret(name, self._tools.pepper)
                result = await self._tools.authority.submit(CreateKey(operation, key))
                await _send_result(send, result, {'key_id': key.key_id, 'secret': secret})
            case ('DELETE', ['v1', 'key', key_id]):
                result = await self._tools.authority.submit(WithdrawKey(operation, key_id))
                await _send_result(send, result, {'key_id': key_id})
            case _:
                raise CallerError(f'no such path: {scope["path"]}', status=404, code='not_found')

    def _check_token(self, scope: Scope) -> None:
        given = find_header(scope, b'authorization') or ''
        if not hmac.compare_digest(given.encode(), f'Bearer {self._tools.token}'.encode()):
            raise CallerError('invalid operator token', status=401, code='invalid_token')

    async def _put(
        self, scope: Scope, send: Send, operation: str, kind: str, name: str, body: bytes
    ) -> None:
        try:
            item = OBJECT_TYPES[kind].validate_json(body)
        except ValidationError as error:
            first = error.errors(include_input=False, include_url=False)[0]
            place = '.'.join(str(part) for part in first['loc'])
            raise CallerError(
                f'{kind}/{name}: {place}: {first["msg"]}', status=400, code='invalid_body'
            ) from error
        expected = find_header(scope, b'if-match') or '0'
        if item.name != name or not expected.strip('"').isdigit():
            raise CallerError(f'{kind}/{name}: name or If-Match', status=400, code='invalid_body')
        command = PutObject(operation, item, int(expected.strip('"')))
        await _send_result(send, await self._tools.authority.submit(command), {})


async def _send_result(send: Send, result: Result, extra: dict[str, object]) -> None:
    match result:
        case Applied(revision):
            await send_json(send, 200, {'revision': revision, **extra})
        case Conflict(subject, winning_revision):
            message = f'{subject} is at revision {winning_revision}'
            await send_error(send, ErrorBody(412, 'conflict', message))
        case Refused(reason):
            await send_error(send, ErrorBody(422, 'refused', reason))
        case _:
            await send_json(send, 200, msgspec.to_builtins(result))
