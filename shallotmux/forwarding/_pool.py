"""Idle connections to endpoints."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Callable

import trio

from shallotmux.forwarding._endpoint import EndpointConnection, connect_endpoint

#: Idle connections kept to one endpoint.
MAX_IDLE = 16

#: Interval at which idle connections are looked after.
SWEEP_S = 1.0


class ConnectionPool:
    """Keeps connections to endpoints for later requests.

    :param request_id_header: header by which answers are matched.
    :param share: returns the connections that this instance may have to an endpoint.
    """

    def __init__(
        self, request_id_header: bytes, share: Callable[[str], float] | None = None
    ) -> None:
        self._request_id_header = request_id_header
        self._share = share or (lambda _: float('inf'))
        self._taken: Counter[str] = Counter()
        self._idle: dict[str, deque[EndpointConnection]] = defaultdict(deque)

    async def take(
        self, endpoint: str, address: str, longest_idle_s: float, connect_timeout_s: float
    ) -> EndpointConnection:
        """Return a connection to an endpoint, an idle one if there is one.

        :param endpoint: identity of the endpoint; its address may pass to another one.
        :param longest_idle_s: idle time up to which a connection may be used again. A request that
            must not be repeated takes a fresh one, as an idle one may be dead without a sign.
        :raises ConnectionUnusable: if no connection can be opened.
        """
        now = trio.current_time()
        idle = self._idle[endpoint]
        while idle:
            connection = idle.pop()
            if now - connection.idle_since <= longest_idle_s and connection.is_alive(now):
                self._taken[endpoint] += 1
                return connection
            connection.close()
        connection = await connect_endpoint(
            address, endpoint, self._request_id_header, connect_timeout_s
        )
        self._taken[endpoint] += 1
        return connection

    def put(self, endpoint: str, connection: EndpointConnection) -> None:
        """Keep a connection if it can be used again; close it otherwise."""
        idle = self._idle[endpoint]
        self._taken[endpoint] -= 1
        others = len(idle) + self._taken[endpoint]
        is_wanted = len(idle) < MAX_IDLE and others < self._share(endpoint)
        if not connection.is_reusable or not is_wanted:
            connection.close()
            return
        connection.idle_since = trio.current_time()
        idle.append(connection)

    def idle_count(self, endpoint: str) -> int:
        """Return the number of idle connections to an endpoint."""
        return len(self._idle.get(endpoint, ()))

    def forget(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that is gone."""
        for connection in self._idle.pop(endpoint, ()):
            connection.close()
        self._taken = +self._taken

    async def run(self) -> None:
        """Close connections that are no longer usable, until cancelled."""
        while True:
            await trio.sleep(SWEEP_S)
            self._sweep(trio.current_time())

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
