"""Which headers pass from one connection to the next."""

from __future__ import annotations

from collections.abc import Iterable

from shallotmux.forwarding._names import CONNECTION_HEADERS

#: Name and value of each header, in order; names in lower case.
Headers = tuple[tuple[bytes, bytes], ...]


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    return next((text for each, text in headers if each == name), None)


def drop_connection_headers(headers: Headers) -> Headers:
    """Return the headers without those that concern one connection only.

    Headers that the ``Connection`` header names belong to the connection, too.
    """
    named = {
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
    }
    dropped = CONNECTION_HEADERS | named
    return tuple(each for each in headers if each[0] not in dropped)


def drop_named(headers: Headers, names: frozenset[bytes]) -> Headers:
    """Return the headers without some, in any spelling.

    Receivers that map names to variables take an underscore for a hyphen.
    """
    return tuple(each for each in headers if each[0].replace(b'_', b'-') not in names)


def parse_duration_ms(text: bytes | None) -> float | None:
    """Return a duration in milliseconds, or None if there is none that can be read."""
    if text is None:
        return None
    try:
        duration = float(text)
    except ValueError:
        return None
    return duration if 0 <= duration < float('inf') else None
