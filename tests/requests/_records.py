"""Records of what callers received, and the layout of a test zone."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import trio

from shallotmux.requests import RequestSettings

EVENT_SEPARATOR = b'\n\n'


@dataclass
class Answer:
    """What a caller received for one model request over all its connections."""

    customer: str
    prompt: str
    tokens: int
    response_id: str = ''
    events: list[bytes] = field(default_factory=list)
    done: bool = False
    code: str = ''
    not_run: bool = False
    tier: str = 'default'
    context: tuple[str, ...] = ()
    connections: int = 0
    started_s: float = 0.0
    times: list[float] = field(default_factory=list)

    def messages(self) -> list[dict[str, str]]:
        """Return the messages of the request."""
        return [{'role': 'user', 'content': text} for text in (*self.context, self.prompt)]

    def add_events(self, block: bytes) -> None:
        """Record a block, which must consist of complete events."""
        assert block.endswith(EVENT_SEPARATOR), block
        for event in block.split(EVENT_SEPARATOR)[:-1]:
            data = event.partition(b'data: ')[2]
            if data == b'[DONE]':
                self.done = True
            elif data.startswith(b'{"error"'):
                self.set_error(data)
            else:
                self.events.append(event)
                self.times.append(trio.current_time())

    def set_error(self, body: bytes) -> None:
        """Record an error body."""
        error = msgspec.json.decode(body)['error']
        self.code = error['code']
        self.not_run = error['not_run']


@dataclass
class JobCall:
    """One call of a job and the response to its caller."""

    job: str
    entry: str
    status: int = 0
    body: bytes = b''
    code: str = ''
    not_run: bool = False


@dataclass(frozen=True)
class ZoneLayout:
    """Layout and settings of a test zone."""

    engines: int = 4
    services: int = 2
    entries: int = 2
    customers: tuple[str, ...] = ('tailors', 'cutters')
    settings: RequestSettings = field(default_factory=RequestSettings)
    behaviour: dict[str, float] = field(default_factory=dict)
