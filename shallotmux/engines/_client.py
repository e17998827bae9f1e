"""Client of the engine protocol."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Annotated, Any, TypeVar

import msgspec

from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import (
    JSON_TYPE,
    HttpClient,
    HttpRequest,
    HttpResponse,
    fetch,
    read_response_body,
)
from shallotmux.world import Endpoint

#: Maximum size of the body of an error response. An engine in trouble may send bytes without end.
MAX_ERROR_BYTES = 64 << 10

#: Maximum size of a load report or a page of cache events.
MAX_REPORT_BYTES = 1_048_576

#: Largest number in a report. Floats hold all smaller integers exactly.
MAX_REPORTED = 1 << 53

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_REPORTED)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_REPORTED)]

#: Errors of reading a body that is not a JSON object, or breaks off.
NO_OBJECT_ERRORS = (EndpointError, AttributeError, *DECODE_ERRORS)

ReportT = TypeVar('ReportT')

_JSON_HEADERS = {'content-type': JSON_TYPE}


@dataclass(frozen=True, slots=True)
class EngineRun:
    """One attempt to run a model request on an engine.

    :param attempt_id: identifies the attempt for cancellation.
    :param response_id: identifies the response across attempts.
    :param payload: request body of the caller, decoded.
    :param offset: number of tokens already delivered; the engine resumes after them.
    :param priority: engines prefer runs with a higher priority.
    :param deadline_s: remaining seconds until the deadline of the response.
    :param chat: whether chunks have the format of chat rather than text completions.
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
    """Load that an engine reports.

    :param queued_prefill_tokens: prompt tokens queued for prefill.
    :param running: number of streams in the batch.
    :param free_cache_blocks: number of free blocks in the KV cache.
    :param prefill_tokens_per_s: prefill rate in tokens per second.
    :param step_s: duration of a decode step in seconds.
    :param as_of: time of the measurement on the engine's clock, in seconds.
    """

    role: str
    model: str
    queued_prefill_tokens: _Count
    running: _Count
    free_cache_blocks: _Count
    prefill_tokens_per_s: _Amount
    step_s: _Amount
    as_of: Annotated[float, msgspec.Meta(ge=-MAX_REPORTED, le=MAX_REPORTED)]


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block that an engine stored in its prefix cache or evicted.

    :param sequence: number of the event on the engine.
    :param block: hash of the block; see :func:`hash_prompt`.
    :param stored: True if the block was stored, False if it was evicted.
    """

    sequence: _Count
    block: int
    stored: bool


@dataclass(frozen=True, slots=True)
class CachePage:
    """A page of cache events.

    :param events: events in ascending order of their numbers.
    :param last: number of the engine's latest event, which may be beyond the page.
    """

    events: tuple[CacheEvent, ...]
    last: _Count


class EngineClient:
    """Sends requests of the engine protocol over an HTTP client."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @asynccontextmanager
    async def run(self, endpoint: Endpoint, run: EngineRun) -> AsyncIterator[HttpResponse]:
        """Start an attempt and open its response, a stream of events.

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
                raise await _build_error(endpoint, response)
            yield response

    async def cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        """Cancel an attempt whose result is no longer needed."""
        body = msgspec.json.encode({'attempt_id': attempt_id})
        await fetch(
            self._client,
            HttpRequest('POST', endpoint.address, '/cancel', body, _JSON_HEADERS),
            MAX_REPORT_BYTES,
        )

    async def load(self, endpoint: Endpoint) -> LoadReport:
        """Fetch the engine's load report.

        :raises EndpointError: if the engine returns no valid report.
        """
        return await self._fetch(endpoint, '/load', 'load', LoadReport)

    async def cache_events(self, endpoint: Endpoint, since: int) -> CachePage:
        """Fetch the engine's cache events after the one with the number ``since``.

        :raises EndpointError: if the engine returns no valid page.
        """
        path = f'/cache-events?since={since}'
        return await self._fetch(endpoint, path, 'cache events', CachePage)

    async def _fetch(
        self, endpoint: Endpoint, path: str, step: str, response_type: type[ReportT]
    ) -> ReportT:
        request = HttpRequest('GET', endpoint.address, path)
        status, body = await fetch(self._client, request, MAX_REPORT_BYTES)
        if status != 200:
            raise EndpointError(f'{step}: status {status}', step=step, peer=endpoint.name)
        try:
            return msgspec.json.decode(body, type=response_type)
        except DECODE_ERRORS as error:
            raise EndpointError(
                f'{step}: invalid answer: {error}', step=step, peer=endpoint.name
            ) from error


async def _build_error(endpoint: Endpoint, response: HttpResponse) -> EndpointError:
    """Return the exception for an error response, by whether the request certainly did not run."""
    message = f'engine answered {response.status}'
    try:
        body = await read_response_body(response, MAX_ERROR_BYTES, endpoint.name)
        not_run = msgspec.json.decode(body).get('not_run') is True
    except NO_OBJECT_ERRORS:
        not_run = False
    if not_run:
        return EndpointRefused(message, step='dispatch', peer=endpoint.name)
    return EndpointError(message, step='dispatch', peer=endpoint.name)
