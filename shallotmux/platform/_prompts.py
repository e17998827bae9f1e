"""Parse the prompt headers of requests and the responses to prefill requests."""

from __future__ import annotations

import msgspec

from shallotmux.decoding import DECODE_ERRORS
from shallotmux.forwarding import CallerRequest
from shallotmux.placement import Prompt, build_prompt
from shallotmux.platform._names import HEADERS

#: Largest number of tokens that a request may name, far more than an engine's memory holds. Sums and
#: speeds that are computed from larger ones lose the counts of other requests, or overflow.
MAX_TOKENS = 10_000_000


class _PrefillAnswer(msgspec.Struct, rename='kebab'):
    kv_handle: str


def read_prompt(request: CallerRequest) -> Prompt | None:
    """Return the prompt of a request, or None if its headers are invalid.

    The token counts have the form ``PROMPT,OUTPUT``; the parts are a comma-separated list of
    ``ID:TOKENS``. Each count is between 0 and :data:`MAX_TOKENS`.
    """
    try:
        counts = request.text(HEADERS.token_counts).split(',')
        tokens, output = (_parse_count(each) for each in counts)
        parts = tuple(
            _parse_part(each) for each in request.text(HEADERS.prompt_parts).split(',') if each
        )
    except ValueError:
        return None
    return build_prompt(request.text(HEADERS.model), parts, tokens, output)


def read_tokens(request: CallerRequest) -> int | None:
    """Return the tokens of prompt and answer that a request names; None if it names no valid counts."""
    try:
        prompt, output = (
            _parse_count(each) for each in request.text(HEADERS.token_counts).split(',')
        )
    except ValueError:
        return None
    return prompt + output


def read_handle(content: bytes) -> str | None:
    """Return the KV cache handle in a response to a prefill request, or None without one."""
    try:
        return msgspec.json.decode(content, type=_PrefillAnswer).kv_handle
    except DECODE_ERRORS:
        return None


def _parse_part(text: str) -> tuple[str, int]:
    identity, _, tokens = text.strip().partition(':')
    return identity, _parse_count(tokens)


def _parse_count(text: str) -> int:
    """Return a number of tokens.

    :raises ValueError: if it is no number, or not in the range.
    """
    count = int(text)
    if not 0 <= count <= MAX_TOKENS:
        raise ValueError(f'{count} tokens')
    return count
