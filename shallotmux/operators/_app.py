"""ASGI application of the operator API."""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import msgspec
from eliot import log_message

from shallotmux.authority import (
    Applied,
    Authority,
    CreateKey,
    DeleteObject,
    PutObject,
    Refused,
    Result,
    WithdrawKey,
)
from shallotmux.errors import CallerError, ShallotmuxError
from shallotmux.http import Receive, Scope, Send, find_header, read_body, send_json
from shallotmux.observability import DecisionLog
from shallotmux.operators._keys import derive_key, read_seed
from shallotmux.operators._objects import (
    OBJECT_CLASSES,
    ObjectName,
    describe_object,
    parse_object,
)
from shallotmux.operators._providers import LocalStatus, Providers, Reach
from shallotmux.operators._responses import problem_from_error, send_problem, send_result
from shallotmux.world import CustomerKey

MAX_BODY_BYTES = 1_048_576
OPERATION_HEADER = b'shallotmux-operation-id'
MAX_OPERATION_ID_LENGTH = 128

#: Digits of the largest revision, which fits into 64 bits with a margin.
MAX_REVISION_DIGITS = 18

#: Decisions returned when the query names no subject.
MAX_RECENT_DECISIONS = 100


@dataclass(frozen=True, slots=True)
class OperatorDependencies:
    """Dependencies of :class:`OperatorApp`.

    :param pepper: key of the digests under which the secrets of caller keys are stored.
    :param token: credential that operators send as a bearer token.
    :param providers: data sources of the views; by default those of a single instance.
    :param body_bytes: maximum size of a request body.
    """

    authority: Authority
    pepper: bytes
    token: str
    providers: Providers | None = None
    decisions: DecisionLog | None = None
    body_bytes: int = MAX_BODY_BYTES


@dataclass(frozen=True, slots=True)
class _Call:
    """One request to the operator API."""

    scope: Scope
    send: Send
    body: bytes
    operation_id: str

    def query(self, name: str) -> str | None:
        """Return the first value of a query parameter."""
        values = parse_qs(self.scope.get('query_string', b'').decode('latin-1')).get(name)
        return values[0] if values else None


class OperatorApp:
    """Serves the JSON API for operators."""

    def __init__(self, dependencies: OperatorDependencies) -> None:
        self._dependencies = dependencies
        self._providers = dependencies.providers or Providers(
            LocalStatus(dependencies.authority, 'local', '')
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        operation_id = find_header(scope, OPERATION_HEADER) or ''
        try:
            self._check_token(scope)
            body = await read_body(receive, self._dependencies.body_bytes)
            await self._route(_Call(scope, send, body, operation_id))
        except ShallotmuxError as error:
            await send_problem(send, problem_from_error(error, operation_id))

    async def _route(self, call: _Call) -> None:
        parts = call.scope['path'].strip('/').split('/')
        if parts[0] != 'v1':
            raise _build_not_found_error(call)
        if call.scope['method'] == 'GET':
            await self._show(call, parts[1:])
            return
        if not 0 < len(call.operation_id) <= MAX_OPERATION_ID_LENGTH:
            raise CallerError(
                f'header Shallotmux-Operation-Id: 1 to {MAX_OPERATION_ID_LENGTH} '
                'characters are expected',
                status=400,
                code='no_operation_id',
            )
        await self._change(call, parts[1:])

    async def _show(self, call: _Call, parts: list[str]) -> None:
        match parts:
            case [kind] if kind in OBJECT_CLASSES:
                await self._list(call, kind)
            case ['customer', name, 'keys']:
                await self._list_keys(call, name)
            case [kind, *name] if kind in OBJECT_CLASSES:
                await self._show_object(call, ObjectName(kind, '/'.join(name)))
            case ['key']:
                await self._list_keys(call, None)
            case [view]:
                await self._show_view(call, view)
            case _:
                raise _build_not_found_error(call)

    async def _show_view(self, call: _Call, view: str) -> None:
        match view:
            case 'status':
                await send_json(call.send, 200, self._providers.status.status())
            case 'usage':
                rows = self._providers.usage.usage(call.query('customer'))
                await send_json(call.send, 200, {'items': list(rows)})
            case 'quarantine':
                entries = self._providers.quarantine.quarantined()
                await send_json(call.send, 200, {'items': list(entries)})
            case 'decision':
                await self._list_decisions(call)
            case _:
                raise _build_not_found_error(call)

    async def _change(self, call: _Call, parts: list[str]) -> None:
        match (call.scope['method'], parts):
            case ('POST', ['customer', name, 'keys']):
                await self._create_key(call, name)
                return
            case ('DELETE', ['key', key_id]):
                result = await self._dependencies.authority.submit(
                    WithdrawKey(call.operation_id, key_id)
                )
            case ('DELETE', ['quarantine', fingerprint]):
                result = await self._providers.quarantine.lift(call.operation_id, fingerprint)
            case (_, [kind, *name]) if kind in OBJECT_CLASSES and name:
                result = await self._change_object(call, ObjectName(kind, '/'.join(name)))
            case _:
                raise _build_not_found_error(call)
        await self._send_change_result(call, result, '/'.join(parts), {})

    async def _change_object(self, call: _Call, object_name: ObjectName) -> Result:
        command: PutObject | DeleteObject
        match call.scope['method']:
            case 'PUT':
                item = parse_object(object_name, call.body)
                command = PutObject(
                    call.operation_id, item, self._expected_revision(call, object_name)
                )
            case 'DELETE':
                expected = self._expected_revision(call, object_name)
                command = DeleteObject(
                    call.operation_id, object_name.kind, object_name.name, expected
                )
            case _:
                raise _build_not_found_error(call)
        return await self._dependencies.authority.submit(command)

    def _check_token(self, scope: Scope) -> None:
        header = find_header(scope, b'authorization') or ''
        if not hmac.compare_digest(header.encode(), f'Bearer {self._dependencies.token}'.encode()):
            raise CallerError('invalid operator token', status=401, code='invalid_token')

    def _expected_revision(self, call: _Call, object_name: ObjectName) -> int:
        """Return the revision required by ``If-Match``; 0 if the object must not exist."""
        header = find_header(call.scope, b'if-match')
        if header is None:
            return 0
        if header.strip() == '*':
            versioned = self._dependencies.authority.read().configuration.objects.get(
                (object_name.kind, object_name.name)
            )
            return versioned.revision if versioned else 0
        digits = header.strip().strip('"')
        is_number = digits.isascii() and digits.isdigit()
        if not is_number or len(digits) > MAX_REVISION_DIGITS:
            raise CallerError(
                f'{object_name}: If-Match: the quoted revision of the ETag or * is expected',
                status=400,
                code='invalid_if_match',
                param='If-Match',
            )
        return int(digits)

    async def _list(self, call: _Call, kind: str) -> None:
        objects = sorted(self._dependencies.authority.read().configuration.objects.items())
        items = [describe_object(ObjectName(*key), each) for key, each in objects if key[0] == kind]
        await send_json(call.send, 200, {'items': items})

    async def _show_object(self, call: _Call, object_name: ObjectName) -> None:
        versioned = self._dependencies.authority.read().configuration.objects.get(
            (object_name.kind, object_name.name)
        )
        if versioned is None:
            raise CallerError(f'{object_name} does not exist', status=404, code='not_found')
        etag = ((b'etag', f'"{versioned.revision}"'.encode()),)
        await send_json(call.send, 200, describe_object(object_name, versioned), etag)

    async def _list_keys(self, call: _Call, customer: str | None) -> None:
        keys = self._dependencies.authority.read().keys.keys.values()
        items = [
            {'key_id': key.key_id, 'customer': key.customer, 'withdrawn': key.withdrawn}
            for key in keys
            if customer in {None, key.customer}
        ]
        items.sort(key=lambda item: (item['customer'], item['key_id']))
        await send_json(call.send, 200, {'items': items})

    async def _create_key(self, call: _Call, customer: str) -> None:
        seed = read_seed(call.body)
        secret, key = derive_key(customer, call.operation_id, seed, self._dependencies.pepper)
        result = await self._dependencies.authority.submit(CreateKey(call.operation_id, key))
        if isinstance(result, Applied):
            result = self._confirm_key(result, key)
        await self._send_change_result(
            call, result, f'key/{key.key_id}', {'key_id': key.key_id, 'secret': secret}
        )

    def _confirm_key(self, result: Applied, key: CustomerKey) -> Result:
        """Return the result, or a refusal if the derived secret is not that of the stored key.

        A reused operation id returns the result of its first use. If that request had another
        seed, its secret cannot be derived here; if it was another command, no key was created.
        """
        state = self._dependencies.authority.read()
        stored = state.keys.keys.get(key.key_id)
        if stored is not None and stored.digest != key.digest:
            return Refused(
                f'{key.key_id} was created by an earlier send, and its secret is shown once; '
                'withdraw it and create another key'
            )
        if stored is None and state.revision >= result.revision:
            return Refused('the operation id was used before for another change')
        return result

    async def _list_decisions(self, call: _Call) -> None:
        log = self._dependencies.decisions
        subject = call.query('subject')
        records: tuple[Any, ...] = ()
        if log is not None:
            records = log.recent(MAX_RECENT_DECISIONS) if subject is None else log.find(subject)
        await send_json(call.send, 200, {'items': list(records)})

    async def _send_change_result(
        self, call: _Call, result: Result, subject: str, extra: dict[str, Any]
    ) -> None:
        reach = Reach(())
        if isinstance(result, Applied):
            kind = subject.partition('/')[0]
            reach = self._providers.status.reach(kind, result.revision)
        log_message(
            message_type='shallotmux:operator:change',
            method=call.scope['method'],
            subject=subject,
            operation_id=call.operation_id,
            result=type(result).__name__,
            figures=msgspec.to_builtins(reach),
        )
        await send_result(call.send, result, reach, {'operation_id': call.operation_id, **extra})


def _build_not_found_error(call: _Call) -> CallerError:
    request_line = f'{call.scope["method"]} {call.scope["path"]}'
    return CallerError(f'no such path: {request_line}', status=404, code='not_found')
