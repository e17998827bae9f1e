"""Remove keys and prompts from log messages."""

from __future__ import annotations

import base64
import re
from typing import Any

#: Fields with content or credentials of callers; their values are never logged.
PRIVATE_FIELDS = frozenset(
    ('authorization', 'content', 'messages', 'payload', 'prompt', 'secret', 'seed', 'token')
)

REMOVED = '(removed)'

#: Prefix of every secret; must match ``shallotmux.authority.SECRET_PREFIX``.
_PREFIX = b'sk-shallot-'


def _encoded_prefixes() -> tuple[str, ...]:
    """Return patterns that match the Base64 encoding of the prefix at each of three alignments."""
    prefixes = []
    for shift in range(3):
        encoded = base64.b64encode(b'\0' * shift + _PREFIX)
        # The first and last characters also depend on neighbouring bytes.
        start = -(-shift * 8 // 6)
        end = (shift + len(_PREFIX)) * 8 // 6
        prefixes.append(re.escape(encoded[start:end].decode()))
    return tuple(prefixes)


_SECRET = re.compile(
    '|'.join(
        (
            '(?:sk|%73%6[bB])(?:-|%2[dD])[A-Za-z0-9_%-]{8,}',
            *(f'{each}[A-Za-z0-9+/=_-]*' for each in _encoded_prefixes()),
        )
    )
)


def redact_line(line: str) -> tuple[str, int]:
    """Return a log line without secrets, and the number of secrets removed."""
    return _SECRET.subn(REMOVED, line)


def redact_fields(content: Any) -> tuple[Any, int]:
    """Return a message without the values of private fields, and the number of values removed."""
    match content:
        case dict():
            return _redact_dict(content)
        case list() | tuple():
            pairs = [redact_fields(each) for each in content]
            return [each for each, _ in pairs], sum(count for _, count in pairs)
        case _:
            return content, 0


def _redact_dict(content: dict[str, Any]) -> tuple[dict[str, Any], int]:
    redacted: dict[str, Any] = {}
    removed = 0
    for name, each in content.items():
        if name in PRIVATE_FIELDS:
            redacted[name] = REMOVED
            removed += 1
            continue
        redacted_content, count = redact_fields(each)
        redacted[name] = redacted_content
        removed += count
    return redacted, removed
