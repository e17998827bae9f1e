"""Collect an event stream into one answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import msgspec

from shallotmux.errors import EndpointError
from shallotmux.requests import CallerRequest

EVENT_END = b'\n\n'
DATA_PREFIX = b'data: '
DONE = b'[DONE]'


def parse_event(event: bytes) -> bytes | None:
    """Return the data of a server-sent event, or None when it has none."""
    for line in event.split(b'\n'):
        if line.startswith(DATA_PREFIX):
            return line[len(DATA_PREFIX) :]
    return None


async def iterate_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the data of each complete server-sent event."""
    buffer = b''
    async for chunk in chunks:
        *events, buffer = (buffer + chunk).split(EVENT_END)
        for event in events:
            content = parse_event(event)
            if content is not None:
                yield content


async def collect_completion(
    chunks: AsyncIterator[bytes], request: CallerRequest
) -> dict[str, Any]:
    """Join the deltas of a stream into a completion object.

    :raises EndpointError: if the stream ends before its end marker.
    """
    texts: list[str] = []
    finish = 'stop'
    async for content in iterate_events(chunks):
        if content == DONE:
            return build_completion(request, ''.join(texts), finish, len(texts))
        choice = msgspec.json.decode(content)['choices'][0]
        text = choice['delta'].get('content') if request.chat else choice['text']
        texts.append(text or '')
        finish = choice.get('finish_reason') or finish
    raise EndpointError('stream ended before its end marker', step='stream')


def build_completion(request: CallerRequest, text: str, finish: str, tokens: int) -> dict[str, Any]:
    """Return the completion object for a collected text."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish, 'logprobs': None}
    if request.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': request.response_id,
        'object': 'chat.completion' if request.chat else 'text_completion',
        'created': 0,
        'model': request.route.name,
        'choices': [choice],
        'usage': {'prompt_tokens': 0, 'completion_tokens': tokens, 'total_tokens': tokens},
    }
