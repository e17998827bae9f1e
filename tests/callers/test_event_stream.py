"""Tests of collecting a stream of events."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from shallotmux.callers._event_stream import collect_completion
from shallotmux.errors import EndpointError
from shallotmux.requests import CallerRequest
from shallotmux.world import Route

REQUEST = CallerRequest('r-1', 'tailors', 'k-1', Route('sorter', 'sorting'), {}, '', chat=True)


async def read(*events: bytes) -> AsyncIterator[bytes]:
    """Yield events and the end marker."""
    for each in (*events, b'[DONE]'):
        yield b'data: %b\n\n' % each


async def test_texts_of_events_are_joined() -> None:
    """Guards against a field that a later engine adds, or an empty delta, that ends the answer."""
    events = (
        b'{"choices":[{"delta":{"role":"assistant","content":"a"},"more":1}]}',
        b'{"choices":[{"delta":{}}]}',
        b'{"choices":[{"delta":{"content":"b"},"finish_reason":"length"}],"id":1}',
    )
    completion = await collect_completion(read(*events), REQUEST)
    choice = completion['choices'][0]
    assert (choice['message']['content'], choice['finish_reason']) == ('ab', 'length')


@pytest.mark.parametrize(
    'event',
    [
        b'{',
        b'\xff',
        b'[]',
        b'{}',
        b'{"choices":[]}',
        b'{"choices":[1]}',
        b'{"choices":[{"delta":1}]}',
        b'{"choices":[{"delta":{"content":1}}]}',
        b'{"more":%b%b,"choices":[{"delta":{}}]}' % (b'[' * 100_000, b']' * 100_000),
    ],
)
async def test_odd_event_is_an_error_of_the_endpoint(event: bytes) -> None:
    """Guards against an event of an engine that ends a request without an answer."""
    with pytest.raises(EndpointError):
        await collect_completion(read(event), REQUEST)
