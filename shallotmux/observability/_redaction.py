"""Remove keys and prompts from log messages."""

from __future__ import annotations

import base64
import re
from typing import Any

#: Fields that hold what callers send or what authenticates them; their content is never written.
PRIVATE_FIELDS = frozenset(
    ('authorization', 'content', 'messages', 'payload', 'prompt', 'secret', 'seed', 'token')
)

REMOVED = '(removed)'

#: Start of every secret; see ``shallotmux.authority.SECRET_PREFIX``.
_PREFIX = b'sk-shallot-'


def _encoded_prefixes() -> tuple[str, ...]:
    """Return what every Base64 text contains that encodes the prefix at any of three alignments."""
    found = []
    for shift in range(3):
        whole = base64.b64encode(b'\0' * shift + _PREFIX)
        # The first and last characters also depend on neighbouring bytes.
        start = -(-shift * 8 // 6)
        end = (shift + len(_PREFIX)) * 8 // 6
        found.append(re.escape(whole[start:end].decode()))
    return tuple(found)


_SECRET = re.compile(
    '|'.join(
        (
            '(?:sk|%73%6[bB])(?:-|%2[dD])[A-Za-z0-9_%-]{8,}',
            *(f'{each}[A-Za-z0-9+/=_-]*' for each in _encoded_prefixes()),
        )
    )
)


def redact_line(line: str) -> tuple[str, int]:
    """Return a log line without secrets, and how many were removed."""
    return _SECRET.subn(REMOVED, line)


def redact_fields(content: Any) -> tuple[Any, int]:
    """Return a message without the content of private fields, and how many were removed."""
    match content:
        case dict():
            return _redact_dict(content)
        case list() | tuple():
            pairs = [redact_fields(each) for each in content]
            return [each for each, _ in pairs], sum(count for _, count in pairs)
        case _:
            return content, 0


def _redact_dict(content: dict[str, Any]) -> tuple[dict[str, Any], int]:
    kept: dict[str, Any] = {}
    removed = 0
    for name, each in content.items():
        if name in PRIVATE_FIELDS:
            kept[name] = REMOVED
            removed += 1
            continue
        cleaned, count = redact_fields(each)
        kept[name] = cleaned
        removed += count
    return kept, removed
