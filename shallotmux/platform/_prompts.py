"""Read what requests say of their prompts, and what engines answer to a prefill."""

from __future__ import annotations

import msgspec

from shallotmux.forwarding import CallerRequest
from shallotmux.placement import Prompt, build_prompt
from shallotmux.platform._names import HEADERS


class _PrefillAnswer(msgspec.Struct, rename='kebab'):
    kv_handle: str


def read_prompt(request: CallerRequest) -> Prompt | None:
    """Return the prompt of a request, or None if its headers cannot be read.

    The counts are ``PROMPT,OUTPUT`` tokens; the parts are ``ID:TOKENS`` with commas between.
    """
    try:
        tokens, output = (int(each) for each in request.text(HEADERS.token_counts).split(','))
        parts = tuple(
            _read_part(each) for each in request.text(HEADERS.prompt_parts).split(',') if each
        )
    except ValueError:
        return None
    return build_prompt(request.text(HEADERS.model), parts, tokens, output)


def read_handle(content: bytes) -> str | None:
    """Return the handle of the KV cache in an answer to a prefill."""
    try:
        return msgspec.json.decode(content, type=_PrefillAnswer).kv_handle
    except msgspec.MsgspecError:
        return None


def _read_part(text: str) -> tuple[str, int]:
    identity, _, tokens = text.strip().partition(':')
    return identity, int(tokens)
