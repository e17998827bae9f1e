"""Client of the engine protocol."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import JSON_TYPE, HttpClient, HttpRequest, HttpResponse, fetch
from shallotmux.world import Endpoint

#: Largest load report or cache event page that is read.
REPORT_LIMIT_BYTES = 1_048_576

ReportT = TypeVar('ReportT')

_JSON_HEADERS = {'content-type': JSON_TYPE}


@dataclass(frozen=True, slots=True)
class EngineRun:
    """One attempt to run a model request on an engine.

    :param attempt_id: identifies the attempt for cancellation.
    :param response_id: identifies the response across attempts.
    :param payload: request body of the caller, decoded.
    :param offset: tokens already delivered; the engine resumes after them.
    :param priority: engines prefer higher ones.
    :param deadline_s: seconds that are left for the answer.
    :param chat: whether chunks have the chat form rather than the completion form.
    """

    attempt_id: str
    response_id: str
    payload: dict[str, Any]
    offset: int = 0
    priority: int = 0
    chat: bool = True
    deadline_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an engine says of its load.

    :param queued_prefill_tokens: prompt tokens that wait for prefill.
    :param running: streams in the batch.
    :param free_cache_blocks: free blocks of the KV cache.
    :param prefill_tokens_per_s: prefill rate.
    :param step_s: duration of a decode step in seconds.
    :param as_of: time of the measurement on the engine's clock, in seconds.
    """

    role: str
    model: str
    queued_prefill_tokens: int
    running: int
    free_cache_blocks: int
    prefill_tokens_per_s: float
    step_s: float
    as_of: float


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block that an engine stored or evicted; see :func:`hash_prompt`."""

    sequence: int
    block: int
    stored: bool


@dataclass(frozen=True, slots=True)
class CachePage:
    """Cache events in order, and the number of the engine's latest event."""

    events: tuple[CacheEvent, ...]
    last: int


class EngineClient:
    """Speaks the engine protocol over an HTTP client."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @asynccontextmanager
    async def run(self, endpoint: Endpoint, run: EngineRun) -> AsyncIterator[HttpResponse]:
        """Start an attempt and open its event stream.

        :raises EndpointRefused: if the engine certainly did not run the request.
        :raises EndpointError: if the outcome is unknown.
        """
        body = msgspec.json.encode(
            {
                **run.payload,
                'attempt_id': run.attempt_id,
                'response_id': run.response_id,
                'offset': run.offset,
                'priority': run.priority,
                'chat': run.chat,
                'deadline_s': run.deadline_s,
            },
        )
        request = HttpRequest('POST', endpoint.address, '/run', body, _JSON_HEADERS)
        async with self._client.stream(request) as response:
            if response.status != 200:
                raise await _refusal(endpoint, response)
            yield response

    async def cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        """Stop an attempt that nobody wants any more."""
        body = msgspec.json.encode({'attempt_id': attempt_id})
        await fetch(
            self._client,
            HttpRequest('POST', endpoint.address, '/cancel', body, _JSON_HEADERS),
            REPORT_LIMIT_BYTES,
        )

    async def load(self, endpoint: Endpoint) -> LoadReport:
        """Fetch the engine's load report.

        :raises EndpointError: if there is no valid report.
        """
        return await self._fetch(endpoint, '/load', 'load', LoadReport)

    async def cache_events(self, endpoint: Endpoint, since: int) -> CachePage:
        """Fetch the engine's cache events after the one with the number ``since``.

        :raises EndpointError: if there is no valid page.
        """
        path = f'/cache-events?since={since}'
        return await self._fetch(endpoint, path, 'cache events', CachePage)

    async def _fetch(
        self, endpoint: Endpoint, path: str, step: str, expected: type[ReportT]
    ) -> ReportT:
        request = HttpRequest('GET', endpoint.address, path)
        status, body = await fetch(self._client, request, REPORT_LIMIT_BYTES)
        if status != 200:
            raise EndpointError(f'{step}: status {status}', step=step, peer=endpoint.name)
        try:
            return msgspec.json.decode(body, type=expected)
        except msgspec.MsgspecError as error:
            raise EndpointError(
                f'{step}: invalid answer: {error}', step=step, peer=endpoint.name
            ) from error


async def _refusal(endpoint: Endpoint, response: HttpResponse) -> EndpointError:
    """Turn an error answer into an exception that tells whether the request ran."""
    body = b''.join([chunk async for chunk in response.chunks()])
    message = f'engine answered {response.status}'
    try:
        not_run = msgspec.json.decode(body).get('not_run') is True
    except (msgspec.MsgspecError, AttributeError):
        not_run = False
    if not_run:
        return EndpointRefused(message, step='dispatch', peer=endpoint.name)
    return EndpointError(message, step='dispatch', peer=endpoint.name)
