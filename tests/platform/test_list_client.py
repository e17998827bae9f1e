"""Tests of reading the platform's list over real connections."""

from __future__ import annotations

import json
import time
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

import pytest
import trio

from shallotmux.errors import ShallotmuxError
from shallotmux.platform import PlatformClient, _client
from shallotmux.platform._listing import ParsedPage, parse_page
from tests.platform._raw_platform import RawPlatform
from tests.platform.test_listing import encode_worker

#: Processor time for which a page may occupy the thread of the event loop, as callers wait meanwhile, and
#: turns that the loop must get until the page is parsed. Delays are no measure, as a busy machine adds to
#: them.
MAX_LOOP_TIME_S = 1.0
MIN_TURNS = 20
TICK_S = 0.02

#: Bytes of a page without end that fit into the limit and the buffers of both sockets.
MAX_SENT_BYTES = 24 << 20


async def test_page_without_end_is_given_up(nursery: trio.Nursery) -> None:
    """Guards against a page that is read for ever, and memory that grows with it."""
    platform = RawPlatform(b'HTTP/1.1 200 OK\r\n\r\n', is_endless=True)
    client = PlatformClient(await nursery.start(platform.run))
    with trio.fail_after(5), pytest.raises(ShallotmuxError):
        await client.list_endpoints()
    assert platform.sent_bytes < MAX_SENT_BYTES
    nursery.cancel_scope.cancel()


async def test_costly_page_does_not_occupy_the_event_loop(nursery: trio.Nursery) -> None:
    """Guards against callers that wait while an odd page is parsed, here for several seconds."""
    content = b'{"instances":[%b],"next-token":null}' % (b'{"' * (1 << 20))
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(content), content)
    client = PlatformClient(await nursery.start(RawPlatform(answer).run))
    turns = 0
    began = time.thread_time()
    with trio.fail_after(60):
        async with trio.open_nursery() as calling:
            done = trio.Event()

            async def call() -> None:
                assert not (await client.list_endpoints()).endpoints
                done.set()

            calling.start_soon(call)
            while not done.is_set():
                await trio.sleep(TICK_S)
                turns += 1
    assert time.thread_time() - began < MAX_LOOP_TIME_S
    assert turns >= MIN_TURNS
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('token', ['a b', 'a&zone=b', 'a\r\nx: y', 'å', '#'])
async def test_odd_token_of_the_next_page_is_sent_as_it_is(
    nursery: trio.Nursery, token: str
) -> None:
    """Guards against a token of the platform that changes the request for the next page, or raises."""
    content = json.dumps({'instances': [], 'next-token': token}).encode()
    head = b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n' % len(content)
    platform = RawPlatform(head + content)
    client = PlatformClient(await nursery.start(platform.run))
    with trio.move_on_after(0.3), suppress(ShallotmuxError):
        await client.list_endpoints()
    target = platform.received[1].split(b' ')[1].decode()
    assert parse_qs(urlsplit(target).query) == {'page-token': [token]}
    nursery.cancel_scope.cancel()


async def test_page_that_is_the_same_again_is_not_parsed_again(
    nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against instances that are busy with an odd page, in each poll again."""
    parsed: list[bytes] = []

    def record(content: bytes) -> ParsedPage:
        parsed.append(content)
        return parse_page(content)

    monkeypatch.setattr(_client, 'parse_page', record)
    content = b'{"instances":[%b,%b],"next-token":null}' % (b'[' * 100, encode_worker())
    head = b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n' % len(content)
    client = PlatformClient(await nursery.start(RawPlatform(head + content).run))
    for _ in range(3):
        assert [each.identity for each in (await client.list_endpoints()).endpoints] == ['i-1']
    assert parsed == [content]
    nursery.cancel_scope.cancel()
