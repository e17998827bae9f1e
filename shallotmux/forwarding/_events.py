"""Boundaries and ids of server-sent events in a stream that passes through."""

from __future__ import annotations

#: Bytes of one event that are held back until it is complete.
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Holds back the incomplete end of a stream, and knows the last complete event.

    A stream that breaks in the middle of an event can then go on at another endpoint after the
    last event that the caller has.
    """

    def __init__(self) -> None:
        self._held = b''
        #: Id of the last complete event, empty before the first one with an id.
        self.last_id = b''

    def add(self, content: bytes) -> bytes:
        """Return the complete events at the start of what is held and added."""
        held = self._held + content
        end = _end_of_events(held)
        if end == 0 and len(held) > MAX_EVENT_BYTES:
            end = len(held)
        complete = held[:end]
        self._held = held[end:]
        self._note_ids(complete)
        return complete

    def drop_held(self) -> None:
        """Forget an incomplete event, which its next run sends whole."""
        self._held = b''

    def take_held(self) -> bytes:
        """Return what is left at the end of a complete stream."""
        held = self._held
        self._held = b''
        return held

    def _note_ids(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(b'id:'):
                self.last_id = line[3:].strip()


def _end_of_events(content: bytes) -> int:
    """Return the position after the last empty line."""
    unix = content.rfind(b'\n\n')
    network = content.rfind(b'\r\n\r\n')
    return max(unix + 2 if unix >= 0 else 0, network + 4 if network >= 0 else 0)
