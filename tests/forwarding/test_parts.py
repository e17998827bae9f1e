"""Unit tests of headers, outcomes, events, retry budget and counts."""

from __future__ import annotations

import time

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from shallotmux.fleet import CustomerCount, TrueClock
from shallotmux.forwarding import (
    AnswerHead,
    HeaderNames,
    RequestCounter,
    RetryBudgetLimits,
    SharedRetryBudget,
)
from shallotmux.forwarding._events import EventSplitter
from shallotmux.forwarding._headers import (
    drop_connection_headers,
    drop_named,
    parse_duration_ms,
)
from shallotmux.forwarding._outcome import Outcome, classify_answer

NAMES = HeaderNames()

#: Processor time for 200,000 parts of an event without end; a rescan of the event at each part takes
#: minutes.
MAX_ENDLESS_S = 10


def test_connection_headers_stay_on_their_connection() -> None:
    """Guards against hop-by-hop headers that are forwarded."""
    headers = (
        (b'connection', b'close, X-Private'),
        (b'x-private', b'1'),
        (b'transfer-encoding', b'chunked'),
        (b'content-type', b'text/plain'),
    )
    assert drop_connection_headers(headers) == ((b'content-type', b'text/plain'),)


def test_reserved_headers_are_dropped_in_any_spelling() -> None:
    """Guards against callers that set headers reserved for the system."""
    headers = ((b'x_customer', b'other'), (b'x-customer', b'other'), (b'x-model', b'm'))
    assert drop_named(headers, NAMES.reserved) == ((b'x-model', b'm'),)


@pytest.mark.parametrize(
    ('text', 'duration'),
    [(b'250', 250), (b'1.5', 1.5), (b'', None), (b'-1', None), (b'nan', None), (b'inf', None)],
)
def test_invalid_durations_are_ignored(text: bytes, duration: float | None) -> None:
    """Guards against negative or infinite deadlines from an invalid header."""
    assert parse_duration_ms(text) == duration


@pytest.mark.parametrize(
    ('status', 'is_marked', 'outcome'),
    [
        (200, False, Outcome.DONE),
        (500, False, Outcome.DONE),
        (503, True, Outcome.NOT_RUN),
        (400, True, Outcome.NOT_RUN),
        (421, False, Outcome.NOT_RUN),
        (503, False, Outcome.UNKNOWN),
        (429, False, Outcome.UNKNOWN),
        (408, False, Outcome.UNKNOWN),
    ],
)
def test_only_marked_refusals_prove_that_nothing_ran(
    status: int, is_marked: bool, outcome: Outcome
) -> None:
    """Guards against refusals passed on as "not run" for requests that ran."""
    headers = ((NAMES.not_run, b'1'),) if is_marked else ()
    assert classify_answer(AnswerHead(status, headers), NAMES) is outcome


def test_incomplete_event_is_held_back() -> None:
    """Guards against a partial event followed by the same event of a resumed stream."""
    events = EventSplitter()
    assert events.feed(b'id: 1\ndata: a\n\nid: 2\nda') == b'id: 1\ndata: a\n\n'
    assert events.last_id == b'1'
    events.start_attempt()
    assert events.feed(b'id: 2\ndata: b\n\n') == b'id: 2\ndata: b\n\n'
    assert events.last_id == b'2'


def test_rest_of_complete_stream_is_kept() -> None:
    """Guards against a stream whose last bytes are lost."""
    events = EventSplitter()
    assert events.feed(b'id: 1\r\n\r\nend') == b'id: 1\r\n\r\n'
    assert events.flush() == b'end'


@given(
    events=st.lists(st.sampled_from((b'id: 1', b'data: a', b': note', b'')), max_size=12),
    line_ends=st.lists(st.sampled_from((b'\n', b'\r', b'\r\n')), min_size=12, max_size=12),
    cuts=st.sets(st.integers(0, 80)),
)
def test_split_streams_keep_their_bytes_and_boundaries(
    events: list[bytes], line_ends: list[bytes], cuts: set[int]
) -> None:
    """Guards against results that depend on how a stream is cut into parts."""
    content = b''.join(line + end for line, end in zip(events, line_ends, strict=False))
    whole = EventSplitter()
    complete = whole.feed(content)
    parted = EventSplitter()
    positions = sorted({0, *cuts, len(content)})
    got = b''.join(
        parted.feed(content[start:end])
        for start, end in zip(positions, positions[1:], strict=False)
    )
    assert got == complete
    assert got + parted.flush() == content
    found = [(each.has_events, each.last_id) for each in (parted, whole)]
    assert found[0] == found[1]


@pytest.mark.parametrize('piece', [b'x' * 64, b'data: x\r\n', b'x'])
def test_endless_event_takes_bounded_processor_time(piece: bytes) -> None:
    """Guards against an endpoint in trouble whose bytes without end occupy the whole instance."""
    events = EventSplitter()
    started_s = time.process_time()
    for _ in range(200_000):
        events.feed(piece)
    assert time.process_time() - started_s < MAX_ENDLESS_S


async def test_retries_are_bounded_by_share(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against instances that together exceed the retry budget of the fleet."""
    budget = SharedRetryBudget(RetryBudgetLimits(0.2, 50, 10), lambda: 10)
    assert [budget.try_spend('desk') for _ in range(4)] == [True, True, True, False]
    assert budget.try_spend('other')
    await trio.sleep(10.1)
    assert budget.try_spend('desk')


async def test_requests_raise_the_budget(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a budget that ignores requests, or counts them beyond its window."""
    budget = SharedRetryBudget(RetryBudgetLimits(0.2, 0, 10), lambda: 1)
    assert not budget.try_spend('desk')
    for _ in range(10):
        budget.record_request('desk')
    assert budget.try_spend('desk')
    assert not budget.try_spend('desk')
    await trio.sleep(10.1)
    assert not budget.try_spend('desk')


def test_counts_belong_to_windows_of_true_time() -> None:
    """Guards against requests that are counted twice, or in the window of another clock."""
    steady = [0.0]
    clock = TrueClock(lambda: 1000.0, lambda: steady[0])
    counter = RequestCounter(clock, 5)
    counter.record_run_started('a')
    counter.record_run_started('a')
    steady[0] = 5
    counter.record_run_started('b')
    expected = (CustomerCount('a', 200, 2), CustomerCount('b', 201, 1))
    assert counter.counts() == expected
    assert counter.counts() == expected
    steady[0] = 60
    assert counter.counts() == ()
