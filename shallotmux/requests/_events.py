"""Cut the byte stream of an engine at event ends and check that the events continue."""

from __future__ import annotations

from shallotmux.errors import EndpointError

EVENT_END = b'\n\n'
DONE_EVENT = b'data: [DONE]'
ID_PREFIX = b'id: '

#: Largest event of an engine; a longer one is not buffered further.
MAX_EVENT_BYTES = 1_048_576

_UNFINISHED = (b'"finish_reason":null', b'"finish_reason": null')


class StreamFault(EndpointError):
    """An engine's stream is not the continuation of the response."""


class EventCutter:
    """Passes complete events of one response through, without decoding them.

    An event belongs to the response if it holds the response id as a JSON string; a quoted string
    cannot occur inside another one, because quotes are escaped there. Repeated events are dropped.

    :param delivered: events that the caller already has.
    """

    __slots__ = ('_delivered', '_done', '_last', '_marker', '_peer', '_rest', 'fault')

    def __init__(self, response_id: str, delivered: int, peer: str = '') -> None:
        self._marker = b'"%b"' % response_id.encode()
        self._delivered = delivered
        self._rest = b''
        self._last = b''
        self._done = False
        self._peer = peer
        #: What is wrong with the stream of the present attempt, or None.
        self.fault: StreamFault | None = None

    @property
    def delivered(self) -> int:
        """Return the offset of the last event passed through."""
        return self._delivered

    @property
    def done(self) -> bool:
        """Tell whether the end marker was passed through."""
        return self._done

    def restart(self, peer: str) -> None:
        """Begin with the stream of another attempt."""
        self._rest = b''
        self._peer = peer
        self.fault = None

    def feed(self, chunk: bytes) -> bytes:
        """Return the new complete events in the stream so far.

        If an event is missing, belongs to another response or is too long, ``fault`` is set and
        the events before it are returned, since they count as delivered.
        """
        if not self._rest and chunk.find(EVENT_END) == len(chunk) - len(EVENT_END):
            # Nearly every chunk is one whole event.
            if self._continues(chunk):
                return chunk
        events = (self._rest + chunk).split(EVENT_END)
        self._rest = events.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            self.fault = self._fault('event too long')
        kept = []
        try:
            for event in events:
                if self._accept(event):
                    kept.append(event)
        except StreamFault as fault:
            self.fault = fault
        return EVENT_END.join((*kept, b'')) if kept else b''

    def _accept(self, event: bytes) -> bool:
        if self._done:
            return False
        return self._continues(event) or self._accept_other(event)

    def _continues(self, event: bytes) -> bool:
        """Tell whether this is the event after the last one, which it then is itself."""
        if self._done or self._marker not in event:
            return False
        if not event.startswith(b'id: %d\n' % (self._delivered + 1)):
            return False
        self._delivered += 1
        self._last = event
        return True

    def _accept_other(self, event: bytes) -> bool:
        if event == DONE_EVENT:
            if any(mark in self._last for mark in _UNFINISHED):
                raise self._fault('answer is truncated')
            self._done = True
            return True
        if event.startswith(b':'):
            return False
        if not event.startswith(ID_PREFIX) or self._marker not in event:
            raise self._fault('event belongs to another response')
        number = event[len(ID_PREFIX) :].split(b'\n', 1)[0]
        if not number.isdigit() or int(number) > self._delivered:
            raise self._fault(f'event after {self._delivered} is missing')
        return False

    def _fault(self, message: str) -> StreamFault:
        return StreamFault(message, step='stream', peer=self._peer)
