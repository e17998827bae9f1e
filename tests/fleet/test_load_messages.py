"""Tests of the reports of endpoints in the datagrams of load."""

from __future__ import annotations

import msgspec
import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from shallotmux.fleet import EndpointReport, LoadSharing, PeerLoads
from shallotmux.fleet._load_messages import (
    MAX_MESSAGE_BYTES,
    LoadMessage,
    decode_load_message,
    encode_load_message,
    engine_checksum,
)
from shallotmux.fleet._load_sharing import (
    INTERVAL_PER_PEER_S,
    MAX_FAR_SCALE,
    MAX_PEERS,
    choose_peers,
)
from tests.support.networks import private_network

ENTRIES = tuple(f'10.0.{number % 3}.{number}:1' for number in range(79))
ZONE = tuple(each for each in ENTRIES if each.startswith('10.0.1.'))

#: Interval of messages at which a report is known in the zone within 0.3 s.
LONGEST_INTERVAL_S = 0.25

REPORT = EndpointReport(engine_checksum('w'), 6, 3, 6, 180, 12)


class EarlierLoadMessage(msgspec.Struct, frozen=True, array_like=True):
    """The message of the earlier build."""

    sender: str
    number: int
    tokens: dict[int, int]


def test_earlier_build_decodes_message_with_reports() -> None:
    """Guards against instances of an earlier build that see no queued tokens during an upgrade."""
    content = encode_load_message('a', 1, {7: 100}, [REPORT])
    got = msgspec.msgpack.Decoder(EarlierLoadMessage).decode(content)
    assert got == EarlierLoadMessage('a', 1, {7: 100})


def test_message_of_earlier_build_has_no_reports() -> None:
    """Guards against messages of the earlier build that are dropped during an upgrade."""
    content = msgspec.msgpack.encode(EarlierLoadMessage('a', 1, {7: 100}))
    assert decode_load_message(content) == LoadMessage('a', 1, {7: 100}, ())


@pytest.mark.parametrize('engine_count', [0, 10, 500])
@pytest.mark.parametrize('report_count', [0, 10, 500])
def test_message_is_bounded_and_keeps_the_first_reports(
    engine_count: int, report_count: int
) -> None:
    """Guards against datagrams that are cut, and reports that leave no room for tokens or the reverse."""
    largest = 2**32 - 1
    tokens = {largest - number: (1 << 40) - number for number in range(engine_count)}
    reports = [
        EndpointReport(largest - number, 100_000, 100_000, 100_000, 10_000, 400)
        for number in range(report_count)
    ]
    content = encode_load_message('10.0.0.1:17790~1234', 2**40, tokens, reports)
    assert len(content) <= MAX_MESSAGE_BYTES
    got = decode_load_message(content)
    assert got.reports == tuple(reports[: len(got.reports)])
    assert len(got.reports) >= min(report_count, 20)
    assert len(got.tokens) >= min(engine_count, 40)


@given(st.binary(max_size=MAX_MESSAGE_BYTES))
def test_any_bytes_are_processed(content: bytes) -> None:
    """Guards against a datagram of anybody that ends the receiving task."""
    trio.run(receive_once, content)


@given(
    st.tuples(
        st.text(max_size=8),
        st.integers(0, 2**63),
        st.dictionaries(st.integers(0, 2**32), st.integers(-1, 2**41), max_size=3),
        st.lists(st.lists(st.integers(-(2**63), 2**64 - 1), max_size=8), max_size=4),
    )
)
def test_any_numbers_are_processed(fields: tuple[object, ...]) -> None:
    """Guards against numbers in a datagram by which the receiving task ends."""
    trio.run(receive_once, msgspec.msgpack.encode(fields))


async def receive_once(content: bytes) -> None:
    """Receive one datagram."""
    sharing = LoadSharing('a', ENTRIES[0], lambda: ENTRIES, dict)
    sharing.receive(content)
    PeerLoads().receive(content)


def test_own_zone_comes_first() -> None:
    """Guards against reports that reach other zones, and not the instances that could use them."""
    near, others = choose_peers(ZONE[0], ENTRIES, ZONE)
    assert set(near) == set(ZONE[1:])
    assert len(near) + len(others) == MAX_PEERS
    assert not set(others) & set(ZONE)


def test_large_zone_is_bounded() -> None:
    """Guards against more datagrams than the limit in a large zone."""
    zone = tuple(f'10.0.0.{number}:1' for number in range(200))
    near, others = choose_peers(zone[0], zone, zone)
    assert (len(near), len(others)) == (MAX_PEERS, 0)


def make_sharing(reports: list[EndpointReport], tokens: dict[str, float]) -> LoadSharing:
    """Return an instance with reports and queued tokens."""
    sharing = LoadSharing(
        f'{ZONE[0]}~1', ZONE[0], lambda: ENTRIES, lambda: tokens, None, lambda: ZONE
    )
    sharing.share_reports = lambda: reports
    return sharing


async def test_only_the_own_zone_gets_reports(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against bytes between zones for reports that are meant for one zone."""
    tokens = {'e': 100.0}
    near, others = make_sharing([REPORT], tokens).next_messages()
    assert decode_load_message(near).reports == (REPORT,)
    assert not decode_load_message(others).reports
    assert decode_load_message(others).tokens == decode_load_message(near).tokens


async def test_nothing_is_sent_without_news(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against idle instances that repeat the same reports many times a second."""
    reports = [REPORT]
    sharing = make_sharing(reports, {})
    assert sharing.next_messages()[0]
    await trio.sleep(0.1)
    reports[0] = msgspec.structs.replace(REPORT, age_ms=112)
    assert sharing.next_messages() == (b'', b'')
    reports[0] = msgspec.structs.replace(REPORT, age_ms=1)
    near, others = sharing.next_messages()
    assert decode_load_message(near).reports == tuple(reports)
    assert not others


async def test_own_datagram_that_returns_is_ignored(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against own reports that come back and count as those of another instance."""
    got: list[object] = []
    sharing = make_sharing([], {})
    sharing.receive_reports = got.append
    sharing.receive(encode_load_message(f'{ZONE[0]}~1', 1, {}, [REPORT]))
    assert not got
    sharing.receive(encode_load_message(f'{ZONE[1]}~1', 1, {}, [REPORT]))
    assert got == [(REPORT,)]


async def test_zones_are_extrapolated_apart(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against one prompt of an instance in another zone that looks like a long queue."""
    sharing = make_sharing([], {})
    sharing.receive(encode_load_message(f'{ZONE[1]}~1', 1, {engine_checksum('near'): 1000}))
    far = next(each for each in ENTRIES if each not in ZONE)
    sharing.receive(encode_load_message(f'{far}~1', 1, {engine_checksum('far'): 1000}))
    assert sharing.tokens_at('near') == 1000
    assert sharing.tokens_at('far') == 1000 * MAX_FAR_SCALE
    await trio.sleep(1.1)
    assert not sharing.tokens_at('near')
    assert not sharing.tokens_at('far')


def test_interval_is_short_enough() -> None:
    """Guards against a busy endpoint that the zone hears of later than 0.3 s after its report."""
    assert MAX_PEERS * INTERVAL_PER_PEER_S < LONGEST_INTERVAL_S


async def test_zone_hears_of_a_report_in_time() -> None:
    """Guards against reports that are encoded, and never sent or never handed on."""
    names = tuple(f'{private_network(166)}.{number}:17790' for number in (1, 2))
    first = LoadSharing('a', names[0], lambda: names, dict, None, lambda: names)
    second = LoadSharing('b', names[1], lambda: names, dict, None, lambda: names)
    heard = trio.Event()
    first.share_reports = lambda: [REPORT]
    second.receive_reports = lambda reports: heard.set() if reports == (REPORT,) else None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(second.run)
        nursery.start_soon(first.run)
        with trio.fail_after(5):
            await heard.wait()
        nursery.cancel_scope.cancel()
