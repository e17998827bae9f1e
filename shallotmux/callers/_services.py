"""Calls of plain services under ``/v1/services/{route}/{path}``."""

from __future__ import annotations

import re
import secrets
from collections.abc import Iterator
from urllib.parse import quote

from shallotmux.authority import Authority
from shallotmux.callers._authentication import authenticate, authorize, require_fresh
from shallotmux.callers._request_checks import (
    check_for_keys,
    contains_key,
    read_bounded_body,
    read_timeout,
    run_until_disconnect,
)
from shallotmux.errors import CallerError
from shallotmux.http import Receive, Scope, Send, find_header, send_response
from shallotmux.observability import label_request
from shallotmux.requests import RequestExecutor, ServiceAnswer, ServiceRequest, hash_body
from shallotmux.world import Route, RouteKind

SERVICE_PREFIX = '/v1/services/'
IDEMPOTENCY_HEADER = b'idempotency-key'
METHODS = frozenset(('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'))

#: Allow-list of forwarded headers. A deny-list could miss a variant of a header that holds a key.
FORWARDED_HEADERS = frozenset(
    (
        'accept',
        'accept-language',
        'content-language',
        'content-type',
        'idempotency-key',
        'if-match',
        'if-none-match',
        'traceparent',
        'tracestate',
        'x-request-id',
    ),
)

_IDEMPOTENCY_KEY = re.compile(r'[\x21-\x7e]{1,200}')
_QUERY = re.compile(rb'[\x21-\x7e]*')


class ServiceHandler:
    """Handles calls of plain services."""

    def __init__(self, authority: Authority, executor: RequestExecutor, pepper: bytes) -> None:
        self._authority = authority
        self._executor = executor
        self._pepper = pepper

    async def handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Call a service and send its response."""
        if scope['method'] not in METHODS:
            raise CallerError('method not allowed', status=405, code='method_not_allowed')
        body = await read_bounded_body(scope, receive)
        request = self._build_request(scope, body)

        async def work(send: Send) -> None:
            answer = await self._executor.call_service(request)
            await _send_response(send, answer)

        if request.idempotency_key and not request.route.repeatable:
            # The job continues after a disconnect; the caller can fetch the stored answer later.
            await work(send)
        else:
            await run_until_disconnect(receive, send, work)

    def _build_request(self, scope: Scope, body: bytes) -> ServiceRequest:
        name, _, subpath = scope['path'].removeprefix(SERVICE_PREFIX).partition('/')
        authenticated = authenticate(scope, self._authority, self._pepper)
        route = self._find_route(name)
        caller = authorize(authenticated, route)
        label_request(scope, route.name, caller.customer)
        path = build_path(subpath, scope.get('query_string', b''))
        for content in (path.encode(), body):
            check_for_keys(content, self._authority, self._pepper)
        method = scope['method']
        return ServiceRequest(
            request_id=f'call-{secrets.token_hex(8)}',
            customer=caller.customer,
            key_id=caller.key_id,
            route=route,
            method=method,
            path=path,
            body=body,
            body_hash=hash_body(b'%b %b\n%b' % (method.encode(), path.encode(), body)),
            headers=dict(self._filter_headers(scope)),
            idempotency_key=read_idempotency_key(scope),
            timeout_s=read_timeout(scope),
        )

    def _find_route(self, name: str) -> Route:
        route = self._authority.read().route(name)
        if route is None:
            require_fresh(self._authority)
        if route is None or route.kind != RouteKind.SERVICE:
            raise CallerError(f'service {name!r} does not exist', status=404, code='not_found')
        return route

    def _filter_headers(self, scope: Scope) -> Iterator[tuple[str, str]]:
        for key, content in scope['headers']:
            name = str(key, 'latin-1').lower()
            if name in FORWARDED_HEADERS:
                if contains_key(content, self._authority, self._pepper):
                    raise CallerError(
                        f'header {name} holds an API key', status=400, code='key_in_request'
                    )
                yield name, str(content, 'latin-1')


def build_path(subpath: str, query: bytes) -> str:
    """Return the path and query with which a service is called.

    :param subpath: path below the service route, without a leading slash.
    :raises CallerError: if the path has dot segments or the query has characters that are not
        visible ASCII.
    """
    if any(part in {'.', '..'} for part in subpath.split('/')):
        raise CallerError('path holds dot segments', status=400, code='invalid_path')
    if not _QUERY.fullmatch(query):
        raise CallerError('query is not encoded', status=400, code='invalid_query')
    path = f'/{quote(subpath)}'
    return f'{path}?{query.decode()}' if query else path


def read_idempotency_key(scope: Scope) -> str:
    """Return the idempotency key, or an empty string without the header.

    :raises CallerError: if it is not 1 to 200 visible ASCII characters.
    """
    header = find_header(scope, IDEMPOTENCY_HEADER)
    if header is None:
        return ''
    if not _IDEMPOTENCY_KEY.fullmatch(header):
        raise CallerError(
            'Idempotency-Key is not 1 to 200 visible ASCII characters',
            status=400,
            code='invalid_idempotency_key',
        )
    return header


async def _send_response(send: Send, answer: ServiceAnswer) -> None:
    headers = [(name.encode(), text.encode('latin-1')) for name, text in answer.headers]
    await send_response(send, answer.status, answer.body, answer.content_type, headers)
