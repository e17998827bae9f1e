"""Splitting of an engine's byte stream into events, with a check of their sequence."""

from __future__ import annotations

from shallotmux.errors import EndpointError

EVENT_SEPARATOR = b'\n\n'
DONE_EVENT = b'data: [DONE]'
ID_PREFIX = b'id: '

#: Maximum size of an event of an engine; a longer one is a fault of the stream.
MAX_EVENT_BYTES = 1_048_576

_NULL_FINISH_REASONS = (b'"finish_reason":null', b'"finish_reason": null')


class StreamFault(EndpointError):
    """An engine's stream does not continue the response."""


#: Digits of the number of an event; more than any response has events.
MAX_NUMBER_DIGITS = 18


class EventSplitter:
    """Extracts the complete events of one response without decoding them.

    An event belongs to the response if it contains the response id as a JSON string. Text inside
    another JSON string cannot match, because quotes are escaped there. Repeated events are dropped.

    :param delivered: number of events that the caller already has.
    :param peer: name of the engine, for error messages.
    """

    __slots__ = (
        '_delivered',
        '_done',
        '_last_event',
        '_peer',
        '_quoted_id',
        '_remainder',
        'fault',
    )

    def __init__(self, response_id: str, delivered: int, peer: str = '') -> None:
        self._quoted_id = b'"%b"' % response_id.encode()
        self._delivered = delivered
        self._remainder = b''
        self._last_event = b''
        self._done = False
        self._peer = peer
        #: Fault of the current attempt's stream, or None.
        self.fault: StreamFault | None = None

    @property
    def delivered(self) -> int:
        """Return the number of events delivered, those before this stream included."""
        return self._delivered

    @property
    def done(self) -> bool:
        """Return whether the end marker was delivered."""
        return self._done

    def restart(self, peer: str) -> None:
        """Discard an incomplete event and start on the stream of another attempt."""
        self._remainder = b''
        self._peer = peer
        self.fault = None

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that a chunk completes, without repeated ones.

        If an event is missing, belongs to another response or is too long, ``fault`` is set and
        the events before it are returned, since they count as delivered.
        """
        if not self._remainder and chunk.find(EVENT_SEPARATOR) == len(chunk) - len(EVENT_SEPARATOR):
            # Fast path: nearly every chunk is exactly one event.
            if self._accept_next(chunk):
                return chunk
        events = (self._remainder + chunk).split(EVENT_SEPARATOR)
        self._remainder = events.pop()
        if len(self._remainder) > MAX_EVENT_BYTES:
            self.fault = self._fault('event too long')
        accepted = []
        try:
            for event in events:
                if self._accept(event):
                    accepted.append(event)
        except StreamFault as fault:
            self.fault = fault
        return EVENT_SEPARATOR.join((*accepted, b'')) if accepted else b''

    def _accept(self, event: bytes) -> bool:
        if self._done:
            return False
        return self._accept_next(event) or self._accept_other(event)

    def _accept_next(self, event: bytes) -> bool:
        """Accept an event if it is the next one in sequence, and return whether it was."""
        if self._done or self._quoted_id not in event:
            return False
        if not event.startswith(b'id: %d\n' % (self._delivered + 1)):
            return False
        self._delivered += 1
        self._last_event = event
        return True

    def _accept_other(self, event: bytes) -> bool:
        if event == DONE_EVENT:
            if any(mark in self._last_event for mark in _NULL_FINISH_REASONS):
                raise self._fault('answer is truncated')
            self._done = True
            return True
        if event.startswith(b':'):
            return False
        if not event.startswith(ID_PREFIX) or self._quoted_id not in event:
            raise self._fault('event belongs to another response')
        number = event[len(ID_PREFIX) :].split(b'\n', 1)[0]
        is_number = number.isdigit() and len(number) <= MAX_NUMBER_DIGITS
        if not is_number or int(number) > self._delivered:
            raise self._fault(f'event after {self._delivered} is missing')
        return False

    def _fault(self, message: str) -> StreamFault:
        return StreamFault(message, step='stream', peer=self._peer)
