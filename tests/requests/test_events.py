"""Tests of the event splitter."""

from __future__ import annotations

import pytest

from shallotmux.requests._events import MAX_EVENT_BYTES, EventSplitter
from shallotmux.standins import encode_event

DONE = b'data: [DONE]\n\n'


def event(position: int, response_id: str = 'r', *, last: bool = False) -> bytes:
    """Return an event of a response."""
    finish = 'length' if last else None
    return encode_event(response_id, 'm', position, f't{position}', chat=True, finish=finish)


STREAM = b''.join((event(1), event(2), event(3, last=True), DONE))


def test_any_split_gives_whole_events() -> None:
    """Guards against incomplete, lost or repeated events at any chunk boundary."""
    total = len(STREAM)
    for size in range(1, total):
        splitter = EventSplitter('r', 0)
        starts = range(0, total, size)
        blocks = [splitter.feed(STREAM[start : start + size]) for start in starts]
        assert b''.join(blocks) == STREAM
        assert all(not block or block.endswith(b'\n\n') for block in blocks)
        assert splitter.done


@pytest.mark.parametrize(
    ('stream', 'kept'),
    [
        (event(1) + event(3), event(1)),
        (event(1) + event(2, 'other'), event(1)),
        (event(1) + DONE, event(1)),
        (b'%bdata: {}\n\n' % event(1), event(1)),
        (b'x' * (MAX_EVENT_BYTES + 1), b''),
        (event(1) + event(2).replace(b'id: 2', b'id: %b' % (b'9' * 5000)), event(1)),
    ],
    ids=('missing', 'crossed', 'truncated', 'without id', 'endless', 'long number'),
)
def test_wrong_stream_is_a_fault(stream: bytes, kept: bytes) -> None:
    """Guards against delivering an invalid event, and against losing valid ones before it."""
    splitter = EventSplitter('r', 0)
    assert splitter.feed(stream) == kept
    assert splitter.fault is not None
    assert not splitter.done


def test_repeated_events_and_comments_are_dropped() -> None:
    """Guards against repeated tokens when an engine sends a chunk twice or resumes too early."""
    splitter = EventSplitter('r', 1)
    pieces = (event(1), b': ping\n\n', event(2), event(2), event(3, last=True), DONE, DONE)
    stream = b''.join(pieces)
    assert splitter.feed(stream) == event(2) + event(3, last=True) + DONE
    assert splitter.fault is None


def test_restart_discards_partial_event() -> None:
    """Guards against joining the end of a broken stream with the start of the next one."""
    splitter = EventSplitter('r', 0)
    assert splitter.feed(event(1) + event(2)[:9]) == event(1)
    splitter.restart('engine-2')
    assert splitter.feed(event(2)) == event(2)


def test_quoted_response_id_in_text_is_rejected() -> None:
    """Guards against a prompt that makes another response's event pass as one of this response."""
    foreign = encode_event('other', 'm', 1, '"r"', chat=True)
    splitter = EventSplitter('r', 0)
    assert splitter.feed(foreign) == b''
    assert splitter.fault is not None
