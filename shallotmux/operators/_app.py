"""ASGI application for operators."""

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
from shallotmux.operators._answers import explain_failure, send_problem, send_result
from shallotmux.operators._keys import derive_key, read_seed
from shallotmux.operators._objects import (
    OBJECT_CLASSES,
    ObjectName,
    describe_object,
    parse_object,
)
from shallotmux.operators._providers import LocalStatus, Providers, Reach
from shallotmux.world import CustomerKey

MAX_BODY_BYTES = 1_048_576
OPERATION_HEADER = b'shallotmux-operation-id'
MAX_OPERATION_ID = 128

#: Decisions shown when no subject is named.
RECENT_DECISIONS = 100


@dataclass(frozen=True, slots=True)
class OperatorDependencies:
    """Collaborators of the operator application.

    :param token: credential that operators send as a bearer token.
    :param providers: parts that know the status; by default those of a single instance.
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
        """Return a parameter of the query."""
        given = parse_qs(self.scope.get('query_string', b'').decode('latin-1')).get(name)
        return given[0] if given else None


class OperatorApp:
    """Serves the operators' JSON API."""

    def __init__(self, tools: OperatorDependencies) -> None:
        self._tools = tools
        self._providers = tools.providers or Providers(LocalStatus(tools.authority, 'local', ''))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        operation_id = find_header(scope, OPERATION_HEADER) or ''
        try:
            self._check_token(scope)
            body = await read_body(receive, self._tools.body_bytes)
            await self._route(_Call(scope, send, body, operation_id))
        except ShallotmuxError as error:
            await send_problem(send, explain_failure(error, operation_id))

    async def _route(self, call: _Call) -> None:
        parts = call.scope['path'].strip('/').split('/')
        if parts[0] != 'v1':
            raise _no_such_path(call)
        if call.scope['method'] == 'GET':
            await self._show(call, parts[1:])
            return
        if not 0 < len(call.operation_id) <= MAX_OPERATION_ID:
            raise CallerError(
                f'header Shallotmux-Operation-Id: 1 to {MAX_OPERATION_ID} characters are expected',
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
                raise _no_such_path(call)

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
                await self._explain(call)
            case _:
                raise _no_such_path(call)

    async def _change(self, call: _Call, parts: list[str]) -> None:
        match (call.scope['method'], parts):
            case ('POST', ['customer', name, 'keys']):
                await self._create_key(call, name)
                return
            case ('DELETE', ['key', key_id]):
                result = await self._tools.authority.submit(WithdrawKey(call.operation_id, key_id))
            case ('DELETE', ['quarantine', fingerprint]):
                result = await self._providers.quarantine.lift(call.operation_id, fingerprint)
            case (_, [kind, *name]) if kind in OBJECT_CLASSES and name:
                result = await self._change_object(call, ObjectName(kind, '/'.join(name)))
            case _:
                raise _no_such_path(call)
        await self._answer(call, result, '/'.join(parts), {})

    async def _change_object(self, call: _Call, place: ObjectName) -> Result:
        command: PutObject | DeleteObject
        match call.scope['method']:
            case 'PUT':
                item = parse_object(place, call.body)
                command = PutObject(call.operation_id, item, self._expected(call, place))
            case 'DELETE':
                expected = self._expected(call, place)
                command = DeleteObject(call.operation_id, place.kind, place.name, expected)
            case _:
                raise _no_such_path(call)
        return await self._tools.authority.submit(command)

    def _check_token(self, scope: Scope) -> None:
        given = find_header(scope, b'authorization') or ''
        if not hmac.compare_digest(given.encode(), f'Bearer {self._tools.token}'.encode()):
            raise CallerError('invalid operator token', status=401, code='invalid_token')

    def _expected(self, call: _Call, place: ObjectName) -> int:
        """Return the revision that the operator has seen; 0 when the object must not exist."""
        given = find_header(call.scope, b'if-match')
        if given is None:
            return 0
        if given.strip() == '*':
            kept = self._tools.authority.read().configuration.objects.get((place.kind, place.name))
            return kept.revision if kept else 0
        digits = given.strip().strip('"')
        if not (digits.isascii() and digits.isdigit()):
            raise CallerError(
                f'{place}: If-Match: the quoted revision of the ETag or * is expected',
                status=400,
                code='invalid_if_match',
                param='If-Match',
            )
        return int(digits)

    async def _list(self, call: _Call, kind: str) -> None:
        kept = sorted(self._tools.authority.read().configuration.objects.items())
        items = [describe_object(ObjectName(*key), each) for key, each in kept if key[0] == kind]
        await send_json(call.send, 200, {'items': items})

    async def _show_object(self, call: _Call, place: ObjectName) -> None:
        kept = self._tools.authority.read().configuration.objects.get((place.kind, place.name))
        if kept is None:
            raise CallerError(f'{place} does not exist', status=404, code='not_found')
        etag = ((b'etag', f'"{kept.revision}"'.encode()),)
        await send_json(call.send, 200, describe_object(place, kept), etag)

    async def _list_keys(self, call: _Call, customer: str | None) -> None:
        keys = self._tools.authority.read().keys.keys.values()
        items = [
            {'key_id': key.key_id, 'customer': key.customer, 'withdrawn': key.withdrawn}
            for key in keys
            if customer in {None, key.customer}
        ]
        items.sort(key=lambda item: (item['customer'], item['key_id']))
        await send_json(call.send, 200, {'items': items})

    async def _create_key(self, call: _Call, customer: str) -> None:
        seed = read_seed(call.body)
        secret, key = derive_key(customer, call.operation_id, seed, self._tools.pepper)
        result = await self._tools.authority.submit(CreateKey(call.operation_id, key))
        if isinstance(result, Applied):
            result = self._confirm_key(result, key)
        await self._answer(
            call, result, f'key/{key.key_id}', {'key_id': key.key_id, 'secret': secret}
        )

    def _confirm_key(self, result: Applied, key: CustomerKey) -> Result:
        """Return the result, or a refusal when the secret at hand is not the one in force.

        A repeated operation id gets the first result. If the first send had another seed, its
        secret is not known here; if it was another command, no key was created.
        """
        state = self._tools.authority.read()
        kept = state.keys.keys.get(key.key_id)
        if kept is not None and kept.digest != key.digest:
            return Refused(
                f'{key.key_id} was created by an earlier send, and its secret is shown once; '
                'withdraw it and create another key'
            )
        if kept is None and state.revision >= result.revision:
            return Refused('the operation id was used before for another change')
        return result

    async def _explain(self, call: _Call) -> None:
        log = self._tools.decisions
        subject = call.query('subject')
        records: tuple[Any, ...] = ()
        if log is not None:
            records = log.recent(RECENT_DECISIONS) if subject is None else log.find(subject)
        await send_json(call.send, 200, {'items': list(records)})

    async def _answer(
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


def _no_such_path(call: _Call) -> CallerError:
    place = f'{call.scope["method"]} {call.scope["path"]}'
    return CallerError(f'no such path: {place}', status=404, code='not_found')
