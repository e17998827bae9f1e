"""Track boundaries and ids of server-sent events in a relayed stream."""

from __future__ import annotations

import re

#: Largest incomplete event that is held back.
MAX_EVENT_BYTES = 1 << 20

#: Bytes of a line end and a blank line, which end an event, that may precede the last one of them.
MAX_SPLIT_END_BYTES = 3

#: Longest event id after which a stream is continued. The id is sent in a header of the next request.
MAX_ID_BYTES = 1024

#: A line end and a blank line. Lines end with LF, CR or both; a CR at the end of the content counts, as
#: a sender of CR alone would otherwise be held back until its next event.
_EVENT_END = re.compile(rb'(?:\r\n|\n|\r(?!\n))(?:\r\n|[\r\n])[\r\n]*')

#: Blank lines and comments, which belong to no event. The match does not backtrack, which would take
#: exponential time.
_NO_EVENT = re.compile(rb'(?:(?::[^\r\n]*+)?(?>\r\n|[\r\n]))*+')

#: An event id that can be sent in a header.
_USABLE_ID = re.compile(rb'[\t\x20-\x7e\x80-\xff]{0,%d}' % MAX_ID_BYTES)

_COMMON_ENDS = (b'\n\n', b'\r\n\r\n')


class EventSplitter:
    """Splits a stream into complete events and an incomplete one, and tracks the last id.

    A stream that breaks in the middle of an event can be resumed at another endpoint, after the last
    event that the caller received.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        #: Id of the last complete event, empty before the first one with an id, and after one whose id
        #: cannot be sent in a header.
        self.last_id = b''
        #: Whether an event of the present attempt was complete.
        self.has_events = False
        self._has_returned = False
        #: Whether the start of the present event was returned, since it is too long to be held back.
        self._is_partly_returned = False

    @property
    def can_be_continued(self) -> bool:
        """Return whether another endpoint can send just what was not returned yet."""
        return not self._is_partly_returned and (bool(self.last_id) or not self._has_returned)

    @property
    def is_whole(self) -> bool:
        """Return whether no event is incomplete."""
        return not self._is_partly_returned and _NO_EVENT.fullmatch(self._pending) is not None

    def feed(self, content: bytes) -> bytes:
        """Append content; returns the events that are now complete."""
        pending = self._pending
        # What was searched before is not searched again, as an endless event may come byte by byte.
        searched = max(0, len(pending) - MAX_SPLIT_END_BYTES)
        is_start = not pending
        pending += content
        end = _end_of_events(pending, searched)
        if is_start and not end:
            # These line ends belong to the event before.
            end = len(content) - len(content.lstrip(b'\r\n'))
        if end:
            self._is_partly_returned = False
            self.has_events = self.has_events or _NO_EVENT.fullmatch(pending, 0, end) is None
        elif len(pending) > MAX_EVENT_BYTES:
            self._is_partly_returned = True
            # The end of the event may be split across parts, and is looked for in what is kept.
            end = len(pending) - MAX_SPLIT_END_BYTES
        complete = bytes(pending[:end])
        del pending[:end]
        self._has_returned |= bool(complete)
        self._record_ids(complete)
        return complete

    def start_attempt(self) -> None:
        """Drop an incomplete event, which a resumed stream sends again."""
        self._pending.clear()
        self.has_events = False

    def flush(self) -> bytes:
        """Return the bytes after the last event, at the end of a complete stream."""
        rest = bytes(self._pending)
        self._pending.clear()
        return rest

    def _record_ids(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(b'id:'):
                event_id = line[3:].strip()
                self.last_id = event_id if _USABLE_ID.fullmatch(event_id) else b''


def _end_of_events(content: bytearray, start: int) -> int:
    """Return the position after the last complete event, 0 without one.

    :param start: position from which the end is looked for.
    """
    if content.endswith(_COMMON_ENDS):
        return len(content)
    end = 0
    for match in _EVENT_END.finditer(content, start):
        end = match.end()
    return end
