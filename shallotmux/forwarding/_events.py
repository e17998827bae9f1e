"""Track boundaries and ids of server-sent events in a relayed stream."""

from __future__ import annotations

#: Largest incomplete event that is held back.
MAX_EVENT_BYTES = 1 << 20

#: Length of the longest line end and blank line after an event.
MAX_BLANK_LINE_BYTES = 4


class EventSplitter:
    """Holds back an incomplete event, and tracks the id of the last complete one.

    A stream that breaks in the middle of an event can then be resumed at another endpoint, after
    the last event that the caller received.
    """

    def __init__(self) -> None:
        self._pending = b''
        #: Id of the last complete event, empty before the first one with an id.
        self.last_id = b''

    def feed(self, content: bytes) -> bytes:
        """Append content; returns the events that are now complete."""
        pending = self._pending + content
        end = _end_of_events(pending)
        if end == 0 and len(pending) > MAX_EVENT_BYTES:
            end = len(pending)
        complete = pending[:end]
        self._pending = pending[end:]
        self._record_ids(complete)
        return complete

    def discard_incomplete(self) -> None:
        """Drop an incomplete event, which a resumed stream sends again."""
        self._pending = b''

    def flush(self) -> bytes:
        """Return the bytes after the last event, at the end of a complete stream."""
        pending = self._pending
        self._pending = b''
        return pending

    def _record_ids(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(b'id:'):
                self.last_id = line[3:].strip()


class EventBoundary:
    """Tells whether a stream has ended after an event, by its last bytes."""

    def __init__(self) -> None:
        self._tail = b''

    def feed(self, content: bytes) -> None:
        """Append content."""
        self._tail = (self._tail + content[-MAX_BLANK_LINE_BYTES:])[-MAX_BLANK_LINE_BYTES:]

    @property
    def is_whole(self) -> bool:
        """Return whether there was an event, and none is incomplete."""
        return bool(self._tail) and _end_of_events(self._tail) == len(self._tail)


def _end_of_events(content: bytes) -> int:
    """Return the position after the last empty line, 0 without one."""
    lf_end = content.rfind(b'\n\n')
    crlf_end = content.rfind(b'\r\n\r\n')
    return max(lf_end + 2 if lf_end >= 0 else 0, crlf_end + 4 if crlf_end >= 0 else 0)
