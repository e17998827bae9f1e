"""Pool of connections to endpoints."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Callable
from math import inf

import trio
from eliot import log_message

from shallotmux.forwarding._connecting import connect_endpoint
from shallotmux.forwarding._endpoint import (
    ConnectionUnusable,
    EndpointConnection,
    LocalResourcesSpent,
)
from shallotmux.forwarding._messages import AnswerHead
from shallotmux.membounds import MemoryBudget

#: Idle connections kept per endpoint.
MAX_IDLE_CONNECTIONS = 16

#: Interval at which unusable idle connections are closed.
SWEEP_INTERVAL_S = 1.0


class ConnectionPool:
    """Keeps connections to endpoints for reuse.

    :param request_id_header: header by which answers are matched to requests.
    :param max_connections: returns the connection limit of this instance to an endpoint.
    :param source: IP address to connect from; None lets the system choose.
    :param budget: what the process holds.
    :param max_total: limit of the connections to all endpoints, in use and idle.
    """

    def __init__(
        self,
        request_id_header: bytes,
        max_connections: Callable[[str], float] | None = None,
        source: str | None = None,
        budget: MemoryBudget | None = None,
        max_total: float = inf,
    ) -> None:
        self.budget = budget or MemoryBudget()
        self.max_total = max_total
        self._source = source
        self._request_id_header = request_id_header
        self._max_connections = max_connections or (lambda _: float('inf'))
        #: Called after each connect with the endpoint, the time at which it began, and its success.
        self.on_connect: list[Callable[[str, float, bool], None]] = []
        #: Returns for an endpoint what is called with the heads of answers on a new connection to it.
        self.observe_heads: Callable[[str], Callable[[AnswerHead], None] | None] = lambda _: None
        self._in_use: Counter[str] = Counter()
        self._idle: dict[str, deque[EndpointConnection]] = defaultdict(deque)

    async def acquire(
        self, endpoint: str, address: str, max_idle_s: float, connect_timeout_s: float
    ) -> EndpointConnection:
        """Return a connection to an endpoint, reusing an idle one if possible.

        :param endpoint: identity of the endpoint; its address may be reassigned to another one.
        :param max_idle_s: longest idle time of a connection that is reused. Requests that must not run
            twice use a low one, since the peer may have closed an idle connection without notice.
        :raises ConnectionUnusable: if no connection can be opened.
        """
        now = trio.current_time()
        idle = self._idle[endpoint]
        while idle:
            connection = idle.pop()
            if now - connection.idle_since <= max_idle_s and connection.is_alive(now):
                self._in_use[endpoint] += 1
                return connection
            connection.close()
        connection = await self._connect(endpoint, address, connect_timeout_s)
        self._in_use[endpoint] += 1
        return connection

    async def add_connection(self, endpoint: str, address: str, connect_timeout_s: float) -> None:
        """Open a connection and keep it for the next request, as far as the limits allow.

        :raises ConnectionUnusable: if no connection can be opened.
        """
        connection = await self._connect(endpoint, address, connect_timeout_s)
        idle = self._idle[endpoint]
        others = len(idle) + self._in_use[endpoint]
        if len(idle) < MAX_IDLE_CONNECTIONS and others < self._max_connections(endpoint):
            idle.append(connection)
        else:
            connection.close()

    def release(self, endpoint: str, connection: EndpointConnection) -> None:
        """Return a connection to the pool, or close it if it cannot or need not be kept."""
        idle = self._idle[endpoint]
        self._in_use[endpoint] -= 1
        others = len(idle) + self._in_use[endpoint]
        may_keep = len(idle) < MAX_IDLE_CONNECTIONS and others < self._max_connections(endpoint)
        if not connection.is_reusable or not may_keep:
            connection.close()
            return
        connection.idle_since = trio.current_time()
        idle.append(connection)

    def idle_count(self, endpoint: str, max_idle_s: float = inf) -> int:
        """Return the number of connections to an endpoint that were idle for at most a time."""
        oldest = trio.current_time() - max_idle_s
        return sum(each.idle_since >= oldest for each in self._idle.get(endpoint, ()))

    def forget(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that was removed."""
        for connection in self._idle.pop(endpoint, ()):
            connection.close()
        self._in_use = +self._in_use

    async def run(self) -> None:
        """Close idle connections that are no longer usable, at intervals until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            self._sweep(trio.current_time())

    async def _connect(
        self, endpoint: str, address: str, connect_timeout_s: float
    ) -> EndpointConnection:
        began_at = trio.current_time()
        try:
            connection = await self._open(endpoint, address, connect_timeout_s)
        except LocalResourcesSpent:
            raise
        except ConnectionUnusable:
            self._notify(endpoint, began_at, is_connected=False)
            raise
        self._notify(endpoint, began_at, is_connected=True)
        connection.on_head = self.observe_heads(endpoint) or connection.on_head
        return connection

    async def _open(
        self, endpoint: str, address: str, connect_timeout_s: float
    ) -> EndpointConnection:
        """Open a connection; idle ones are closed for it if descriptors have run out."""
        if self._total() < self.max_total:
            try:
                return await self._connect_once(endpoint, address, connect_timeout_s)
            except LocalResourcesSpent:
                if not self._make_room(endpoint):
                    raise
        elif not self._make_room(endpoint):
            raise LocalResourcesSpent('too many connections', step='connect', peer=endpoint)
        return await self._connect_once(endpoint, address, connect_timeout_s)

    async def _connect_once(
        self, endpoint: str, address: str, connect_timeout_s: float
    ) -> EndpointConnection:
        connection = await connect_endpoint(
            address, endpoint, self._request_id_header, connect_timeout_s, self._source
        )
        connection.held.budget = self.budget
        return connection

    def _total(self) -> int:
        """Return the number of connections, in use and idle."""
        return sum(self._in_use.values()) + sum(len(idle) for idle in self._idle.values())

    def _make_room(self, endpoint: str) -> bool:
        """Close idle connections for one to an endpoint; returns whether there were any."""
        closed = self._close_idle()
        log_message(message_type='shallotmux:connections-spent', endpoint=endpoint, closed=closed)
        return closed > 0

    def _close_idle(self) -> int:
        """Close all idle connections, and return their number."""
        connections = [each for idle in self._idle.values() for each in idle]
        self._idle.clear()
        for each in connections:
            each.close()
        return len(connections)

    def _notify(self, endpoint: str, began_at: float, *, is_connected: bool) -> None:
        for notify in self.on_connect:
            notify(endpoint, began_at, is_connected)

    def _sweep(self, now: float) -> None:
        for endpoint, idle in tuple(self._idle.items()):
            kept = deque(each for each in idle if each.is_alive(now))
            for each in idle:
                if each not in kept:
                    each.close()
            if kept:
                self._idle[endpoint] = kept
            else:
                self._idle.pop(endpoint)
