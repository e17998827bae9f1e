"""Parse a stream of server-sent events and join it into one completion."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Annotated, Any

import msgspec

from shallotmux.decoding import DECODE_ERRORS
from shallotmux.errors import EndpointError
from shallotmux.requests import CallerRequest

EVENT_SEPARATOR = b'\n\n'
DATA_PREFIX = b'data: '
DONE_MARKER = b'[DONE]'


def parse_event(event: bytes) -> bytes | None:
    """Return the data of a server-sent event, or None if it has no data line."""
    for line in event.split(b'\n'):
        if line.startswith(DATA_PREFIX):
            return line[len(DATA_PREFIX) :]
    return None


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = _Delta()
    text: str | None = None
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: Annotated[tuple[_Choice, ...], msgspec.Meta(min_length=1)]


async def iterate_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the data of each complete server-sent event.

    :param chunks: bytes of the stream, split at arbitrary positions.
    """
    buffer = b''
    async for chunk in chunks:
        *events, buffer = (buffer + chunk).split(EVENT_SEPARATOR)
        for event in events:
            content = parse_event(event)
            if content is not None:
                yield content


async def collect_completion(
    chunks: AsyncIterator[bytes], request: CallerRequest
) -> dict[str, Any]:
    """Join the deltas of a stream into a completion object.

    :raises EndpointError: if the stream ends before the ``[DONE]`` marker, or has an event that cannot
        be decoded.
    """
    texts: list[str] = []
    finish_reason = 'stop'
    async for content in iterate_events(chunks):
        if content == DONE_MARKER:
            return build_completion(request, ''.join(texts), finish_reason, len(texts))
        choice = _read_choice(content)
        text = choice.delta.content if request.chat else choice.text
        texts.append(text or '')
        finish_reason = choice.finish_reason or finish_reason
    raise EndpointError('stream ended before its end marker', step='stream')


def _read_choice(content: bytes) -> _Choice:
    """Return the first choice of an event.

    :raises EndpointError: if there is none.
    """
    try:
        event = msgspec.json.decode(content, type=_Event)
    except DECODE_ERRORS as error:
        raise EndpointError(f'invalid event: {error}', step='stream') from error
    return event.choices[0]


def build_completion(
    request: CallerRequest, text: str, finish_reason: str, tokens: int
) -> dict[str, Any]:
    """Return the completion object for a collected text.

    :param tokens: number of completion tokens.
    """
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason, 'logprobs': None}
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
