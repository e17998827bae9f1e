"""Parse the prompt headers of requests and the responses to prefill requests."""

from __future__ import annotations

import msgspec

from shallotmux.forwarding import CallerRequest
from shallotmux.placement import Prompt, build_prompt
from shallotmux.platform._names import HEADERS


class _PrefillAnswer(msgspec.Struct, rename='kebab'):
    kv_handle: str


def read_prompt(request: CallerRequest) -> Prompt | None:
    """Return the prompt of a request, or None if its headers are invalid.

    The token counts have the form ``PROMPT,OUTPUT``; the parts are a comma-separated list of
    ``ID:TOKENS``.
    """
    try:
        tokens, output = (int(each) for each in request.text(HEADERS.token_counts).split(','))
        parts = tuple(
            _parse_part(each) for each in request.text(HEADERS.prompt_parts).split(',') if each
        )
    except ValueError:
        return None
    return build_prompt(request.text(HEADERS.model), parts, tokens, output)


def read_handle(content: bytes) -> str | None:
    """Return the KV cache handle in a response to a prefill request, or None without one."""
    try:
        return msgspec.json.decode(content, type=_PrefillAnswer).kv_handle
    except msgspec.MsgspecError:
        return None


def _parse_part(text: str) -> tuple[str, int]:
    identity, _, tokens = text.strip().partition(':')
    return identity, int(tokens)
