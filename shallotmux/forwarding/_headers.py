"""Header lookup, and removal of headers that must not be forwarded."""

from __future__ import annotations

from collections.abc import Container, Iterable

from shallotmux.forwarding._names import CONNECTION_HEADERS

#: Name and value of each header, in order, with names in lower case.
Headers = tuple[tuple[bytes, bytes], ...]


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    return next((text for each, text in headers if each == name), None)


def drop_connection_headers(headers: Headers, kept: Container[bytes] = ()) -> Headers:
    """Return the headers without hop-by-hop ones.

    That includes the headers that the ``Connection`` header lists.

    :param kept: headers that the receiver needs, whatever the sender lists.
    """
    named = {
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
        if token.strip().lower() not in kept
    }
    dropped = CONNECTION_HEADERS | named
    return tuple(each for each in headers if each[0] not in dropped)


def drop_named(headers: Headers, names: frozenset[bytes]) -> Headers:
    """Return the headers without the named ones, also if spelled with underscores.

    Receivers that map header names to variables, such as CGI, do not tell ``_`` from ``-``.
    """
    return tuple(each for each in headers if each[0].replace(b'_', b'-') not in names)


def drop_ignored_length(headers: Headers) -> Headers:
    """Return the headers without ``Content-Length`` if the body is sent in chunks.

    The chunks decide where the body ends (RFC 9112, section 6.3), so the length may be a wrong one.
    """
    if find_header(headers, b'transfer-encoding') is None:
        return headers
    return drop_named(headers, frozenset((b'content-length',)))


def parse_count(text: bytes, most: int) -> int | None:
    """Return the decimal number in a header, or None if it is invalid or larger than ``most``.

    Numbers of other systems are bounded here, as larger ones cannot be used as floating point numbers,
    and those of thousands of digits cannot be converted.
    """
    digits = text.strip()
    if not digits.isdigit() or len(digits) > len(str(most)):
        return None
    number = int(digits)
    return number if number <= most else None


def parse_duration_ms(text: bytes | None) -> float | None:
    """Return a duration in milliseconds, or None if it is missing or invalid."""
    if text is None:
        return None
    try:
        duration = float(text)
    except ValueError:
        return None
    return duration if 0 <= duration < float('inf') else None
