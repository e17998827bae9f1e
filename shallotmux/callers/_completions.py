"""Completion requests: validation, streamed and collected responses."""

from __future__ import annotations

from shallotmux.authority import Authority
from shallotmux.callers._authentication import authenticate, authorize, require_fresh
from shallotmux.callers._errors import encode_error_event
from shallotmux.callers._event_stream import collect_completion
from shallotmux.callers._models import (
    ChatCompletionRequest,
    CompletionRequest,
    decode_payload,
    parse_chat,
    parse_completion,
)
from shallotmux.callers._request_checks import (
    check_for_keys,
    check_json_type,
    read_bounded_body,
    read_timeout,
    run_until_disconnect,
)
from shallotmux.callers._responses import RESPONSE_ID_HEADER, read_offset, read_response_id
from shallotmux.errors import CallerError
from shallotmux.http import (
    EVENT_STREAM_TYPE,
    WRITER_KEY,
    PartWriter,
    Receive,
    Scope,
    Send,
    send_chunk,
    send_json,
    send_start,
)
from shallotmux.observability import label_request
from shallotmux.requests import (
    CallerRequest,
    EventBuffer,
    RequestExecutor,
    RequestRefused,
    hash_body,
)
from shallotmux.world import RouteKind

#: Priority by service tier; unknown tiers have the default priority.
TIER_PRIORITY = {'priority': 1, 'default': 0, 'auto': 0, 'flex': -1}

CompletionBody = ChatCompletionRequest | CompletionRequest


class CompletionHandler:
    """Handles chat completions and text completions."""

    def __init__(self, authority: Authority, executor: RequestExecutor, pepper: bytes) -> None:
        self._authority = authority
        self._executor = executor
        self._pepper = pepper

    async def handle(self, scope: Scope, receive: Receive, send: Send, *, chat: bool) -> None:
        """Run a completion and send its response.

        :param chat: whether the request is a chat completion rather than a text completion.
        """
        body = await read_bounded_body(scope, receive)
        check_json_type(scope)
        parsed = parse_chat(body) if chat else parse_completion(body)
        request = self._build_request(scope, body, parsed, chat=chat)

        async def work(send: Send) -> None:
            async with self._executor.stream(request) as events:
                if parsed.stream:
                    await _send_stream(send, request, events, scope.get(WRITER_KEY))
                else:
                    await send_json(send, 200, await collect_completion(events, request))

        await run_until_disconnect(receive, send, work)

    def _build_request(
        self, scope: Scope, body: bytes, parsed: CompletionBody, *, chat: bool
    ) -> CallerRequest:
        authenticated = authenticate(scope, self._authority, self._pepper)
        route = self._authority.read().route(parsed.model)
        if route is None:
            require_fresh(self._authority)
        if route is None or route.kind != RouteKind.MODEL:
            raise CallerError(
                f'model {parsed.model!r} does not exist',
                status=404,
                code='model_not_found',
                param='model',
            )
        caller = authorize(authenticated, route)
        label_request(scope, route.name, caller.customer)
        check_for_keys(body, self._authority, self._pepper)
        body_hash = hash_body(body)
        priority = TIER_PRIORITY.get(parsed.service_tier or '', 0)
        return CallerRequest(
            response_id=read_response_id(
                scope, self._pepper, caller.customer, body_hash, chat=chat
            ),
            customer=caller.customer,
            key_id=caller.key_id,
            route=route,
            payload=decode_payload(body),
            body_hash=body_hash,
            offset=read_offset(scope) if parsed.stream else 0,
            chat=chat,
            priority=priority if caller.customer else min(0, priority),
            timeout_s=read_timeout(scope),
            size_bytes=len(body),
        )


async def _send_stream(
    send: Send, request: CallerRequest, events: EventBuffer, writer: PartWriter | None
) -> None:
    """Send events as they arrive; an error after the response has started is sent as an event."""
    headers = ((RESPONSE_ID_HEADER, request.response_id.encode()), (b'cache-control', b'no-cache'))
    await send_start(send, 200, EVENT_STREAM_TYPE, headers)
    if writer is not None:
        events.attach(writer)
    try:
        async for block in events:
            await send_chunk(send, block)
    except RequestRefused as error:
        await send_chunk(send, encode_error_event(error))
    await send_chunk(send, b'', more=False)
