"""What callers and endpoints saw in a run."""

from __future__ import annotations

from dataclasses import dataclass, field

#: Callers' kinds of request, which are also the first part of their paths.
SAFE, UNSAFE = 'safe', 'unsafe'


@dataclass(slots=True)
class Call:
    """One request of a caller.

    :param entry: instance that took the connection.
    :param sent_at: time at which the last byte was sent; infinite if it was not.
    :param status: status of the complete answer; None if there was none.
    """

    request_id: str
    kind: str
    entry: str
    sent_at: float = float('inf')
    ended_at: float = float('inf')
    status: int | None = None
    body: bytes = b''


@dataclass(slots=True)
class Arrival:
    """A request as an endpoint received it.

    :param has_run: whether the endpoint began to work on it.
    """

    request_id: str
    endpoint: str
    at: float
    has_run: bool


@dataclass(slots=True)
class Disruption:
    """A time in which an instance was killed or stood still."""

    instance: str
    began_at: float
    ended_at: float = float('inf')


@dataclass(slots=True)
class Records:
    """Everything that a run has shown.

    :param acknowledged: highest version of the configuration that was acknowledged.
    :param read_back: highest version that was read at the end.
    :param problems: broken promises that were seen while the run lasted.
    """

    calls: list[Call] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    acknowledged: int = 0
    read_back: int = 0
    problems: list[str] = field(default_factory=list)
