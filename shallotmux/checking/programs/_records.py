"""What callers and endpoints saw in a run."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

#: Callers' kinds of request, which are also the first part of their paths.
SAFE, UNSAFE, STREAM = 'safe', 'unsafe', 'stream'


#: Timeout of the routes.
ROUTE_TIMEOUT_S = 3.0

#: Time for which the disruptions before a violation are described.
DESCRIBED_S = 10.0

#: Events of a stream.
STREAM_EVENTS = 4


def stream_body(request_id: str) -> bytes:
    """Return the body of a complete stream."""
    events = (f'id: {number}\ndata: {request_id}\n\n' for number in range(STREAM_EVENTS))
    return ''.join(events).encode()


class Trouble(StrEnum):
    """Cause of a disruption of an instance."""

    KILL = 'kill'
    PAUSE = 'pause'
    STOP = 'stop'
    START = 'start'


@dataclass(slots=True)
class Call:
    """One request of a caller.

    :param entry: instance that took the connection.
    :param began_at: time at which the first byte was sent.
    :param sent_at: time at which the last byte was sent; infinite if it was not.
    :param status: status of the complete answer; None if there was none.
    :param is_closed: whether the connection ended without a complete answer.
    :param is_kept: whether an earlier request was answered on the connection.
    :param item: route or key that the request needs and that changes add and drop; empty for others.
    :param run: number of the start of the instance's process.
    """

    request_id: str
    kind: str
    entry: str
    sent_at: float = float('inf')
    ended_at: float = float('inf')
    status: int | None = None
    body: bytes = b''
    is_closed: bool = False
    is_kept: bool = False
    item: str = ''
    run: int = 0
    began_at: float = 0.0


@dataclass(slots=True)
class Arrival:
    """A request as an endpoint received it.

    :param has_run: whether the endpoint began to work on it.
    :param is_sound: whether the endpoint meant to answer it with success.
    """

    request_id: str
    endpoint: str
    at: float
    has_run: bool
    is_sound: bool = True


@dataclass(slots=True)
class Disruption:
    """A time in which an instance was killed, stood still, was asked to stop or began to start."""

    instance: str
    began_at: float
    ended_at: float = float('inf')
    trouble: Trouble = Trouble.KILL


@dataclass(slots=True)
class Change:
    """A configuration as the operator sent it.

    :param items: routes and keys that it holds.
    :param is_valid: whether it has to be acknowledged; one that is not has to be refused.
    :param is_conflicting: whether it has other content than what was acknowledged under its version.
    :param statuses: statuses of the answers, in the order of arrival.
    """

    version: int
    items: frozenset[str]
    sent_at: float
    routes: int = 0
    is_valid: bool = True
    is_conflicting: bool = False
    acknowledged_at: float = float('inf')
    statuses: list[int] = field(default_factory=list)


@dataclass(slots=True)
class Reading:
    """A configuration as an instance answered a read."""

    instance: str
    sent_at: float
    ended_at: float
    version: int
    items: frozenset[str]


@dataclass(slots=True)
class Records:
    """Everything that a run has shown.

    :param controls: names of the control instances.
    :param ended_at: time at which no change was sent any more.
    :param acknowledged: highest version of the configuration that was acknowledged.
    :param read_back: highest version that was read at the end.
    :param problems: broken promises that were seen while the run lasted.
    :param early_reload_ends: processes that a reload signal ended before their program began.
    :param own_delays: times in which the soak itself did not run.
    """

    calls: list[Call] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)
    controls: tuple[str, ...] = ()
    ended_at: float = float('inf')
    acknowledged: int = 0
    own_delays: list[float] = field(default_factory=list)
    read_back: int = 0
    problems: list[str] = field(default_factory=list)
    early_reload_ends: int = 0

    def disruptions_of(self, name: str, since: float, until: float) -> list[Disruption]:
        """Return the disruptions of an instance that lasted into a span of time."""
        return [
            each
            for each in self.disruptions
            if each.instance == name and each.began_at <= until and each.ended_at >= since
        ]

    def describe_disruptions(self, name: str, until: float) -> str:
        """Return the disruptions of an instance in the last seconds before a time."""
        found = self.disruptions_of(name, until - DESCRIBED_S, until)
        return ', '.join(
            f'{each.trouble} {each.began_at:.2f} to {each.ended_at:.2f}' for each in found
        )
