"""Entries of the list of endpoints as a faulty writer could make them, for stand-ins."""

from __future__ import annotations

from typing import Any

import msgspec

#: Nested arrays or objects in one entry, and digits of a huge number; decoders limit both.
NESTING_DEPTH = 100_000
HUGE_DIGITS = 400

_ENTRY: dict[str, Any] = {
    'id': 'odd',
    'service': 'desk',
    'address': '127.0.0.1:9',
    'zone': 'a',
    'version': 'v1',
    'slots': 1,
    'state': 'draining',
    'cold-remaining-ms': 0,
}


def odd_entries() -> list[bytes]:
    """Return encoded entries, none of which names an endpoint that can be used."""
    return [
        b'%b%b' % (b'[' * NESTING_DEPTH, b']' * NESTING_DEPTH),
        _with_raw('more', b'%b1%b' % (b'{"a":' * NESTING_DEPTH, b'}' * NESTING_DEPTH)),
        _with_raw('slots', b'9' * HUGE_DIGITS),
        _with_raw('cold-remaining-ms', b'9' * HUGE_DIGITS),
        _with_raw('cold-remaining-ms', b'1e400'),
        _with_raw('slots', b'-1'),
        _with_raw('id', b'"\xff\xfe"'),
        _with_raw('id', b'"%bud800"' % b'\\'),
        *(_replace(address=address) for address in _ADDRESSES),
        *(_replace(**{name: None}) for name in _ENTRY),
        *(_replace(**{name: [{}]}) for name in _ENTRY),
        *(_without(name) for name in _ENTRY),
        _replace(state='unknown'),
        _replace(id='x' * 100_000),
        b'null',
        b'17',
        b'"text"',
        b'{}',
    ]


_ADDRESSES = (
    '',
    '127.0.0.1',
    '127.0.0.1:0',
    '127.0.0.1:-1',
    '127.0.0.1:65536',
    f'127.0.0.1:{"1" * 5000}',
    'no host:80',
    'a..b:80',
    ':80',
)


def _replace(**fields: Any) -> bytes:
    return msgspec.json.encode({**_ENTRY, **fields})


def _without(name: str) -> bytes:
    return msgspec.json.encode({key: text for key, text in _ENTRY.items() if key != name})


def _with_raw(name: str, value: bytes) -> bytes:
    """Return an entry in which a field has an encoded value."""
    return b'{"%b":%b,%b' % (name.encode(), value, _without(name)[1:])
