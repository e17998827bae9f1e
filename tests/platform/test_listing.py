"""Tests of pages of the list with odd entries, as other writers may leave them."""

from __future__ import annotations

import json
import time
from random import Random
from typing import Any

import msgspec
import pytest
from eliot import add_destinations, remove_destination
from hypothesis import given, settings
from hypothesis import strategies as st

from shallotmux.errors import ShallotmuxError
from shallotmux.platform._listing import (
    MAX_LOGGED_OF_PAGE,
    MAX_TOKEN_CHARACTERS,
    RefusalLog,
    parse_page,
)
from tests.platform.test_adapter import WORKER

#: Nesting at which decoders give up, and far beyond.
DEEP = 100_000

#: Size of a page that is costly to parse, and the processor time in which it must be parsed. Reading it
#: once for each of its objects would take minutes.
COSTLY_PAGE_BYTES = 1 << 19
MAX_PARSE_S = 5


def nest_lists(depth: int) -> bytes:
    """Return lists inside each other."""
    return b''.join((b'[' * depth, b']' * depth))


def nest_objects(depth: int) -> bytes:
    """Return objects inside each other."""
    return b''.join((b'{"a":' * depth, b'1', b'}' * depth))


def encode_worker(**changes: object) -> bytes:
    """Return a valid entry, with changed fields."""
    return json.dumps({**WORKER, **changes}).encode()


def encode_extended(further: bytes) -> bytes:
    """Return a valid entry with a further field."""
    return b'%b,"more":%b}' % (encode_worker(id='x')[:-1], further)


#: An odd entry cannot be read, or names no worker to use.
ODD_ENTRIES = {
    'nested lists': nest_lists(DEEP),
    'nested objects': nest_objects(DEEP),
    'field of nested objects': encode_worker(id='x')[:-1]
    + b',"more":'
    + nest_objects(50_000)
    + b'}',
    'field of nested lists': encode_extended(nest_lists(50_000)),
    'lists without end': b'{"id":"x","models":%b' % (b'[' * DEEP),
    'objects without end': b'{"a":' * DEEP,
    'braces without end': b'{' * 200_000,
    'text without end': b'{"id":"x,',
    'text with a brace without end': b'{"id":"{x,',
    'end of objects only': b'}' * DEEP,
    'end of lists only': b']' * DEEP,
    'one end too many': b'{"id":"x"}}',
    'cut in a list': b'{"id":"x","models":[{"name":"m"}',
    'cut after a colon': b'{"id":"x","slots":',
    'cut after a name': b'{"id":"x","slots"',
    'cut in an escape': b'{"id":"x\\',
    'quotes': b'{"id":"x""}',
    'worker inside': b'{"id":"x","twin":%b,"slots": }' % encode_worker(id='twin'),
}


@pytest.mark.parametrize('odd', ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
@pytest.mark.parametrize('position', [0, 1, 2])
def test_odd_entry_neither_raises_nor_hides_others(odd: bytes, position: int) -> None:
    """Guards against an entry of another writer that ends each process which reads the list."""
    workers = [encode_worker(id=name) for name in ('i-1', 'i-2')]
    workers.insert(position, odd)
    page = parse_page(b'{"instances":[%b],"next-token":"p-50"}' % b','.join(workers))
    assert [each.identity for each in page.endpoints] == ['i-1', 'i-2']
    assert page.next_token == 'p-50'


def test_several_odd_entries_hide_no_other() -> None:
    """Guards against an entry that lacks its end and is closed by the surplus end of another one."""
    entries = [b'{"id":"x"', encode_worker(id='i-1'), b'{"id":"y"}}', encode_worker(id='i-2')]
    page = parse_page(b'{"next-token":null,"instances":[%b]}' % b','.join(entries))
    assert [each.identity for each in page.endpoints] == ['i-1', 'i-2']


@pytest.mark.parametrize(
    'change',
    [
        {'slots': 10**400},
        {'slots': 2**63},
        {'slots': 65_537},
        {'slots': 0},
        {'slots': -1},
        {'cold-remaining-ms': -1},
        {'cold-remaining-ms': 1e308},
        {'cold-remaining-ms': 10**300},
        {'born': 2**63},
        {'born': 10**400},
        {'born': -1},
        {'address': '10.0.0.9:0'},
        {'address': '10.0.0.9:65536'},
        {'address': f'10.0.0.9:{"9" * 5000}'},
        {'address': '10.0.0.9:٨٠٨٠'},
        {'address': '10.0.0.999:80'},
        {'address': 'somewhere.example:80'},
        {'address': f'{"a" * 70}:80'},
        {'address': '10.0.0.9\0:80'},
        {'address': '[::1]:80'},
        {'address': '10.0.0.9:80\n'},
        {'id': ''},
        {'id': 'i' * 257},
        {'id': 'i-1\r\nx: y'},
        {'id': 'i-é'},
        {'service': 's' * 257},
        {'zone': 'z' * 257},
        {'version': 'v' * 257},
        {'state': 'READY'},
        {'state': 'x' * 1000},
    ],
    ids=lambda change: f'{next(iter(change))}={str(next(iter(change.values())))[:20]}',
)
def test_entry_out_of_range_names_no_worker(change: dict[str, object]) -> None:
    """Guards against a number or text that the instances can neither use nor pass on."""
    content = b'{"instances":[%b,%b]}' % (encode_worker(**change), encode_worker())
    page = parse_page(content)
    assert [each.identity for each in page.endpoints] == ['i-1']
    # What control instances hand to entry instances.
    assert msgspec.msgpack.encode(page.endpoints)


@pytest.mark.parametrize(
    'change',
    [
        {'slots': 1},
        {'slots': 65_536},
        {'cold-remaining-ms': 12.5},
        {'cold-remaining-ms': 86_400_000},
        {'born': 0},
        {'born': 2**63 - 1},
        {'address': '10.0.0.9:65535'},
        {'id': 'i' * 256},
        {'service': 'størrelse'},
        {'more': {'a': [[[]]]}},
        {'state': 'draining'},
    ],
    ids=str,
)
def test_entry_at_the_ends_of_the_ranges_names_a_worker(change: dict[str, object]) -> None:
    """Guards against workers that are not used because their entries are taken for odd."""
    assert len(parse_page(b'{"instances":[%b]}' % encode_worker(**change)).endpoints) == 1


def repeat(part: bytes) -> bytes:
    """Return a page whose list repeats a part."""
    head, tail = b'{"instances":[', b'],"next-token":null}'
    return head + part * (COSTLY_PAGE_BYTES // len(part)) + tail


COSTLY_PARTS = (
    *(b'{', b'[', b'"', b'{"', b'{"a":', b'[{"a":', b'{"a":[', b'"{', rb'\"', rb'{\"', rb'"\ '),
    *(b'{}', b'{},', b'1,', b'[],', b'{"a":1},', b'{"a":1}},', b'{":":{},', b'","{'),
    *(b' ', b'{ ', b': {', b'"a" ', b'"next-token":"', b'"next-token" ', b'{"a":"b"{'),
    *(b'{"id":"%b' % (b'x' * 100), b'%b,' % encode_worker(state='x')),
)


@pytest.mark.parametrize('part', COSTLY_PARTS, ids=repr)
def test_costly_page_is_read_in_linear_time(part: bytes) -> None:
    """Guards against a page whose parsing occupies an instance for minutes."""
    content = repeat(part)
    began = time.process_time()
    try:
        page = parse_page(content)
    except ShallotmuxError:
        page = None
    assert time.process_time() - began < MAX_PARSE_S
    assert page is None or not page.endpoints


def test_log_lines_for_odd_entries_are_bounded() -> None:
    """Guards against a page of odd entries that floods the log, in each poll again."""
    lines: list[dict[str, Any]] = []
    entries = b','.join(encode_worker(state=f'x-{number}') for number in range(1000))
    log = RefusalLog()
    add_destinations(lines.append)
    try:
        for _ in range(3):
            log.write(parse_page(b'{"instances":[%b]}' % entries).refused)
    finally:
        remove_destination(lines.append)
    kinds = [each['message_type'] for each in lines]
    assert kinds.count('shallotmux:entry-unreadable') == MAX_LOGGED_OF_PAGE


@pytest.mark.parametrize(
    'token', [b'5', b'"%b"' % (b'x' * (MAX_TOKEN_CHARACTERS + 1)), b'[]', b'"%cud800"' % 92]
)
def test_odd_token_of_the_next_page_is_an_error(token: bytes) -> None:
    """Guards against a list that seems complete without its next page."""
    with pytest.raises(ShallotmuxError):
        parse_page(b'{"instances":[%b],"next-token":%b}' % (encode_worker(), token))


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.sampled_from(list(WORKER)), inner)
    ),
    max_leaves=20,
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(entries=st.lists(VALUES | st.fixed_dictionaries({}, optional=dict.fromkeys(WORKER, VALUES))))
def test_any_json_entry_is_read_or_refused(entries: list[object]) -> None:
    """Guards against a value of any type and size that raises another error than the typed one."""
    content = json.dumps({'instances': [*entries, WORKER], 'next-token': None}).encode()
    assert parse_page(content).endpoints[-1].identity == 'i-1'


@pytest.mark.parametrize('seed', range(300))
def test_damaged_entry_hides_no_other(seed: int) -> None:
    """Guards against an entry that is cut or changed at any byte and hides the entries after it."""
    random = Random(seed)
    damaged = encode_worker(id='x', models=[{'name': 'm', 'adapters': [{'a': 'b'}]}])
    for _ in range(random.randrange(1, 4)):
        start = random.randrange(len(damaged))
        rest = start + random.choice((0, 1, 2, 20))
        damaged = damaged[:start] + random.randbytes(random.randrange(3)) + damaged[rest:]
    if seed % 2:
        damaged = damaged[: random.randrange(1, len(damaged))]
    entries = [encode_worker(id='i-1'), damaged, encode_worker(id='i-2')]
    page = parse_page(b'{"instances":[%b],"next-token":null}' % b','.join(entries))
    names = [each.identity for each in page.endpoints if each.identity in {'i-1', 'i-2'}]
    assert names == ['i-1', 'i-2']
