"""Bound the connections of a listener."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

import trio

from shallotmux.repeats import RepeatLog

#: Time after which a connection that waits for its other end may be closed for a new one.
MIN_WAIT_S = 0.5

#: Part of the connections that is closed at once when there is no room, so that a burst of connections
#: does not compare all of them each time.
EVICTED_FRACTION = 0.125

#: Interval at which a full listener looks for a connection to close.
ROOM_CHECK_INTERVAL_S = 0.05


class Occupant(Protocol):
    """A connection that takes a slot."""

    def waited_s(self, now: float) -> float:
        """Return how long the connection has waited for its other end; 0 if it does not."""

    def evict(self) -> None:
        """Close the connection."""


def choose_evicted(waits: Iterable[tuple[float, Occupant]], limit: int) -> list[Occupant]:
    """Return the connections to close for new ones: those that have waited longest.

    :param waits: time that each connection has waited for its other end.
    :param limit: number of connections that may be open.
    """
    waiting = [each for each in waits if each[0] >= MIN_WAIT_S]
    waiting.sort(key=lambda each: each[0], reverse=True)
    return [occupant for _, occupant in waiting[: max(1, int(EVICTED_FRACTION * limit))]]


@dataclass(slots=True, eq=False)
class ConnectionSlots:
    """Connections of a listener, which are bounded in number.

    :param limit: number of connections that may be open.
    :param name: name of the listener, for the log.
    """

    limit: int = 4096
    name: str = ''
    #: Accepted connections that are not closed yet.
    taken: int = 0
    #: Connections that were closed for others.
    evicted: int = 0
    occupants: set[Occupant] = field(default_factory=set)
    _log: RepeatLog = field(default_factory=lambda: RepeatLog('shallotmux:connections-full'))

    async def wait_for_room(self) -> None:
        """Wait until one more connection may be accepted, and close others for it."""
        while self.taken >= self.limit:
            self._evict(trio.current_time())
            await trio.sleep(ROOM_CHECK_INTERVAL_S)

    def _evict(self, now: float) -> None:
        waits = [(each.waited_s(now), each) for each in self.occupants]
        chosen = choose_evicted(waits, self.limit)
        for each in chosen:
            each.evict()
        self.evicted += len(chosen)
        self._log.record(self.name, limit=self.limit, evicted=self.evicted)


class BoundedListener(trio.abc.Listener[trio.SocketStream]):
    """Accepts connections while there are slots; further ones wait in the backlog."""

    def __init__(self, listener: trio.SocketListener, slots: ConnectionSlots) -> None:
        self._listener = listener
        self._slots = slots

    async def accept(self) -> trio.SocketStream:
        """Return the next connection, which takes a slot until :attr:`ConnectionSlots.taken` is lowered."""
        await self._slots.wait_for_room()
        stream = await self._listener.accept()
        self._slots.taken += 1
        return stream

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()
