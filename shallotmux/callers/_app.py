"""ASGI application for callers."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import Any

import msgspec

from shallotmux.authority import Authority
from shallotmux.callers._authentication import authenticate, authorize
from shallotmux.callers._completion import collect_completion
from shallotmux.callers._models import parse_chat, parse_completion
from shallotmux.errors import CallerError, EndpointError
from shallotmux.http import (
    EVENT_STREAM_TYPE,
    ErrorBody,
    Receive,
    Scope,
    Send,
    find_header,
    read_body,
    send_chunk,
    send_error,
    send_json,
    send_start,
)
from shallotmux.observability import label_request
from shallotmux.requests import CallerRequest, RequestExecutor, RequestRefused, hash_body
from shallotmux.world import RouteKind

MAX_BODY_BYTES = 4_194_304
RESPONSE_ID_HEADER = b'shallotmux-response-id'
LAST_EVENT_ID_HEADER = b'last-event-id'


@dataclass(frozen=True, slots=True)
class CallerTools:
    """Collaborators of the caller application.

    :param pepper: key of the hash under which caller keys are stored.
    """

    authority: Authority
    executor: RequestExecutor
    pepper: bytes


class CallerApp:
    """Serves the chat-completions protocol."""

    def __init__(self, tools: CallerTools) -> None:
        self._tools = tools

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        try:
            await self._handle(scope, receive, send)
        except CallerError as error:
            await send_error(
                send,
                ErrorBody(error.status, error.code, error.message, param=error.param, not_run=True),
            )
        except RequestRefused as error:
            await send_error(
                send,
                ErrorBody(
                    error.status, error.code, error.message, 'api_error', not_run=error.not_run
                ),
            )
        except EndpointError as error:
            await send_error(send, ErrorBody(502, 'outcome_unknown', error.message, 'api_error'))

    async def _handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        match (scope['method'], scope['path']):
            case ('GET', '/v1/models'):
                await self._list_models(scope, send)
            case ('POST', '/v1/chat/completions'):
                await self._complete(scope, receive, send, chat=True)
            case ('POST', '/v1/completions'):
                await self._complete(scope, receive, send, chat=False)
            case _:
                raise CallerError(f'no such path: {scope["path"]}', status=404, code='not_found')

    async def _list_models(self, scope: Scope, send: Send) -> None:
        authenticate(scope, self._tools.authority, self._tools.pepper)
        models = [
            {'id': route.name, 'object': 'model', 'created': 0, 'owned_by': 'shallotmux'}
            for route in self._tools.authority.read().routes()
            if route.kind == RouteKind.MODEL
        ]
        await send_json(send, 200, {'object': 'list', 'data': models})

    async def _complete(self, scope: Scope, receive: Receive, send: Send, *, chat: bool) -> None:
        body = await read_body(receive, MAX_BODY_BYTES)
        parsed = parse_chat(body) if chat else parse_completion(body)
        request = self._build_request(scope, body, parsed.model, chat=chat)
        async with self._tools.executor.stream(request) as events:
            if not parsed.stream:
                answer = await collect_completion(events, request)
                await send_json(send, 200, answer)
                return
            await send_start(
                send,
                200,
                EVENT_STREAM_TYPE,
                ((RESPONSE_ID_HEADER, request.response_id.encode()),),
            )
            async for chunk in events:
                await send_chunk(send, chunk)
            await send_chunk(send, b'', more=False)

    def _build_request(self, scope: Scope, body: bytes, model: str, *, chat: bool) -> CallerRequest:
        caller = authenticate(scope, self._tools.authority, self._tools.pepper)
        route = self._tools.authority.read().route(model)
        if route is None or route.kind != RouteKind.MODEL:
            raise CallerError(
                f'model {model!r} does not exist', status=404, code='model_not_found', param='model'
            )
        caller = authorize(caller, route)
        label_request(scope, route.name, caller.customer)
        payload: dict[str, Any] = msgspec.json.decode(body)
        body_hash = hash_body(body)
        signature = sign_response(self._tools.pepper, caller.customer, body_hash)
        return CallerRequest(
            response_id=read_response_id(scope, signature),
            customer=caller.customer,
            key_id=caller.key_id,
            route=route,
            payload=payload,
            body_hash=body_hash,
            offset=read_offset(scope),
            chat=chat,
        )


def sign_response(pepper: bytes, customer: str, body_hash: str) -> str:
    """Return the signature that binds a response id to its customer and body.

    Any instance can check it, so a stream is resumed without shared state.
    """
    return hmac.new(pepper, f'{customer}\n{body_hash}'.encode(), hashlib.sha256).hexdigest()[:32]


def read_response_id(scope: Scope, signature: str) -> str:
    """Return the response id of a resumed request, or a new one.

    :raises CallerError: if the id belongs to another customer or body.
    """
    given = find_header(scope, RESPONSE_ID_HEADER)
    if given is None:
        return f'chatcmpl-{secrets.token_hex(8)}-{signature}'
    if not hmac.compare_digest(given.rpartition('-')[2].encode(), signature.encode()):
        raise CallerError(
            'response id belongs to another request', status=409, code='response_mismatch'
        )
    return given


def read_offset(scope: Scope) -> int:
    """Return the number of events that the caller already has.

    :raises CallerError: if ``Last-Event-ID`` is not a number.
    """
    given = find_header(scope, LAST_EVENT_ID_HEADER)
    if given is None:
        return 0
    if not given.isascii() or not given.isdigit():
        raise CallerError('Last-Event-ID is not a number', status=400, code='invalid_last_event_id')
    return int(given)
