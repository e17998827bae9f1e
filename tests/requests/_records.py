"""What callers of a test saw, and how a test zone is laid out."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import trio

from shallotmux.requests import RequestSettings

EVENT_END = b'\n\n'


@dataclass
class Answer:
    """What a caller got for one model request over all its connections."""

    customer: str
    prompt: str
    tokens: int
    response_id: str = ''
    events: list[bytes] = field(default_factory=list)
    done: bool = False
    code: str = ''
    not_run: bool = False
    tier: str = 'default'
    connections: int = 0
    started_s: float = 0.0
    times: list[float] = field(default_factory=list)

    def take(self, block: bytes) -> None:
        """Take complete events; half an event is an error of the relay."""
        assert block.endswith(EVENT_END), block
        for event in block.split(EVENT_END)[:-1]:
            data = event.partition(b'data: ')[2]
            if data == b'[DONE]':
                self.done = True
            elif data.startswith(b'{"error"'):
                self.refuse(data)
            else:
                self.events.append(event)
                self.times.append(trio.current_time())

    def refuse(self, body: bytes) -> None:
        """Take an error body."""
        error = msgspec.json.decode(body)['error']
        self.code = error['code']
        self.not_run = error['not_run']


@dataclass
class JobCall:
    """One call of a job and what its caller was told."""

    job: str
    entry: str
    status: int = 0
    body: bytes = b''
    code: str = ''
    not_run: bool = False


@dataclass(frozen=True)
class Shape:
    """Size of a zone."""

    engines: int = 4
    services: int = 2
    entries: int = 2
    customers: tuple[str, ...] = ('tailors', 'cutters')
    settings: RequestSettings = field(default_factory=RequestSettings)
    behaviour: dict[str, float] = field(default_factory=dict)
