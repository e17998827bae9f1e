"""Tests of engines whose reports and errors are odd: nothing else may be affected by them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
import pytest
import trio
import trio.testing

from shallotmux.engines import (
    CachePoller,
    EngineClient,
    EngineRun,
    LoadPoller,
    LoadTable,
    ServiceCall,
    ServiceClient,
)
from shallotmux.errors import EndpointError, EndpointRefused
from shallotmux.http import HttpRequest, HttpResponse
from shallotmux.world import Endpoint
from tests.engines.test_client import ENGINE

SOUND = Endpoint('e-2', 'a', '127.0.0.1:10')
LOAD = {
    'role': 'mixed',
    'model': 'sorter',
    'queued_prefill_tokens': 0,
    'running': 0,
    'free_cache_blocks': 0,
    'prefill_tokens_per_s': 1000.0,
    'step_s': 0.02,
    'as_of': 1.0,
}
PAGE = {'events': [{'sequence': 1, 'block': 1, 'stored': True}], 'last': 1}

NESTED = b'{"more":%b%b}' % (b'[' * 100_000, b']' * 100_000)
HUGE = (b'9' * 400, b'-1', b'1e400', b'9' * 5000)


def encode(fields: dict[str, object], name: str, number: bytes) -> bytes:
    """Return a report in which a field has a number that an encoder may not write."""
    return msgspec.json.encode({**fields, name: 'NUMBER'}).replace(b'"NUMBER"', number)


ODD_LOADS = [
    NESTED,
    b'[]',
    b'\xff',
    *(encode(LOAD, 'queued_prefill_tokens', each) for each in HUGE),
    *(encode(LOAD, 'running', each) for each in HUGE),
    encode(LOAD, 'prefill_tokens_per_s', b'-1'),
    encode(LOAD, 'prefill_tokens_per_s', b'1e300'),
    encode(LOAD, 'as_of', b'1e300'),
]
ODD_PAGES = [
    NESTED,
    *(encode(PAGE, 'last', each) for each in HUGE),
    *(encode(PAGE, 'events', b'[{"sequence":%b,"block":1,"stored":true}]' % each) for each in HUGE),
]


@dataclass
class Answer:
    """A complete response."""

    status: int
    body: bytes
    headers: dict[str, str]

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield self.body


@dataclass
class AnsweringClient:
    """Client that gets the same body from an engine, and sound reports from the other ones."""

    body: bytes
    status: int = 200

    @asynccontextmanager
    async def stream(self, request: HttpRequest) -> AsyncIterator[HttpResponse]:
        """Open the response."""
        await trio.lowlevel.checkpoint()
        headers = {'content-type': 'application/json'}
        if request.address == ENGINE.address:
            yield Answer(self.status, self.body, headers)
        else:
            sound = LOAD if request.path == '/load' else PAGE
            yield Answer(200, msgspec.json.encode(sound), headers)


@pytest.mark.parametrize('body', ODD_LOADS)
async def test_odd_load_report_ends_no_poller(
    body: bytes, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a report of one engine that ends the instance, or fails where it is used."""
    table = LoadTable(10)
    client = EngineClient(AnsweringClient(body))
    poller = LoadPoller(client, table, lambda: [ENGINE, SOUND], lambda _: 0, lambda *_: None, 10)
    with trio.move_on_after(1):
        await poller.run()
    assert table.received_reports.keys() == {SOUND.name}


@pytest.mark.parametrize('body', ODD_PAGES)
async def test_odd_cache_page_ends_no_poller(
    body: bytes, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against cache events of one engine that end the instance."""
    seen: set[str] = set()
    client = EngineClient(AnsweringClient(body))
    poller = CachePoller(
        client, lambda: [ENGINE, SOUND], lambda name, _: seen.add(name), seen.add, 10
    )
    with trio.move_on_after(1):
        await poller.run()
    assert seen == {SOUND.name}


@pytest.mark.parametrize('body', [NESTED, b'9' * 5000, b'\xff', b'[]'])
async def test_odd_error_is_no_refusal(body: bytes) -> None:
    """Guards against an error body that fails in another way than a broken connection."""
    client = AnsweringClient(body, status=409)
    with pytest.raises(EndpointError) as caught:
        await EngineClient(client).run(ENGINE, EngineRun('a-1', 'r-1', {})).__aenter__()
    assert not isinstance(caught.value, EndpointRefused)
    call = ServiceCall('c-1', 'GET', '/', b'', {}, 1_000_000)
    result = await ServiceClient(client).call(ENGINE, call)
    assert result.body == body
