"""Blocks of a prompt, by which instances and engines name cached prefixes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from shallotmux.decisions import BLOCK_TOKENS, hash_blocks

#: Bytes of a prompt that count as a token.
BYTES_PER_TOKEN = 4

#: Bytes in a block of the prefix cache.
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


def hash_prompt(payload: Mapping[str, Any]) -> tuple[int, ...]:
    """Return the chained hashes of the full blocks of a request's prompt.

    The encoded messages of two requests agree as far as their first messages do, so equal hashes
    mean equal prefixes of the conversation.

    :param payload: request body with ``messages`` or ``prompt``.
    """
    prompt = payload.get('messages', payload.get('prompt', ''))
    return hash_blocks(msgspec.json.encode(prompt), BLOCK_BYTES)
