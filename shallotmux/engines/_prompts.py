"""Hashes of prompt blocks, which identify cached prefixes to instances and engines."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from shallotmux.crashes import digest_subject
from shallotmux.decisions import BLOCK_TOKENS, hash_blocks

#: Assumed number of prompt bytes per token.
BYTES_PER_TOKEN = 4

#: Size of a block of the prefix cache in prompt bytes.
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


def hash_prompt(payload: Mapping[str, Any]) -> tuple[int, ...]:
    """Return the chained hashes of the full blocks of a request's prompt.

    Requests whose first messages are equal have the same encoding up to that point, so equal
    hashes mean equal prefixes of the conversation.

    :param payload: request body with ``messages`` or ``prompt``.
    """
    prompt = payload.get('messages', payload.get('prompt', ''))
    return hash_blocks(msgspec.json.encode(prompt), BLOCK_BYTES)


def hash_parts(payload: Mapping[str, Any]) -> tuple[int, ...]:
    """Return the hashes of the messages that other requests may share: all but the last one.

    :param payload: request body; one without ``messages`` has no such parts.
    """
    messages = payload.get('messages') or ()
    return tuple(digest_subject(msgspec.json.encode(each)) for each in messages[:-1])
