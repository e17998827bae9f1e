"""Tests of the cutter that passes events through."""

from __future__ import annotations

import pytest

from shallotmux.requests._events import MAX_EVENT_BYTES, EventCutter
from shallotmux.standins import encode_event

DONE = b'data: [DONE]\n\n'


def event(position: int, response_id: str = 'r', *, last: bool = False) -> bytes:
    """Return an event of a response."""
    finish = 'length' if last else None
    return encode_event(response_id, 'm', position, f't{position}', chat=True, finish=finish)


STREAM = b''.join((event(1), event(2), event(3, last=True), DONE))


def test_any_split_gives_whole_events() -> None:
    """Guards against half an event, a lost or a doubled one at any chunk border."""
    total = len(STREAM)
    for size in range(1, total):
        cutter = EventCutter('r', 0)
        starts = range(0, total, size)
        blocks = [cutter.feed(STREAM[start : start + size]) for start in starts]
        assert b''.join(blocks) == STREAM
        assert all(not block or block.endswith(b'\n\n') for block in blocks)
        assert cutter.done


@pytest.mark.parametrize(
    ('stream', 'kept'),
    [
        (event(1) + event(3), event(1)),
        (event(1) + event(2, 'other'), event(1)),
        (event(1) + DONE, event(1)),
        (b'%bdata: {}\n\n' % event(1), event(1)),
        (b'x' * (MAX_EVENT_BYTES + 1), b''),
    ],
    ids=('missing', 'crossed', 'truncated', 'without id', 'endless'),
)
def test_wrong_stream_is_a_fault(stream: bytes, kept: bytes) -> None:
    """Guards against a wrong event that is delivered, and right ones lost before it."""
    cutter = EventCutter('r', 0)
    assert cutter.feed(stream) == kept
    assert cutter.fault is not None
    assert not cutter.done


def test_repeated_events_and_comments_are_dropped() -> None:
    """Guards against doubled tokens when an engine sends a chunk twice or resumes too early."""
    cutter = EventCutter('r', 1)
    parts = (event(1), b': ping\n\n', event(2), event(2), event(3, last=True), DONE, DONE)
    stream = b''.join(parts)
    assert cutter.feed(stream) == event(2) + event(3, last=True) + DONE
    assert cutter.fault is None


def test_new_attempt_forgets_half_event() -> None:
    """Guards against the rest of a broken stream in front of the next one."""
    cutter = EventCutter('r', 0)
    assert cutter.feed(event(1) + event(2)[:9]) == event(1)
    cutter.restart('engine-2')
    assert cutter.feed(event(2)) == event(2)


def test_quoted_response_id_in_text_is_not_taken() -> None:
    """Guards against a prompt that makes another response's event look like an own one."""
    foreign = encode_event('other', 'm', 1, '"r"', chat=True)
    cutter = EventCutter('r', 0)
    assert cutter.feed(foreign) == b''
    assert cutter.fault is not None
