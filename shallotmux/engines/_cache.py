"""Poll the cache events of engines."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import trio

from shallotmux.engines._client import CacheEvent, EngineClient
from shallotmux.errors import EndpointError
from shallotmux.world import Endpoint, EndpointKind

#: Timeout of a request for a page of events.
FETCH_TIMEOUT_S = 1.0

#: Concurrent requests for pages; more than one, so that paused engines do not delay the others.
MAX_CONCURRENT_FETCHES = 16


@dataclass(slots=True)
class CachePoller:
    """Fetches cache events from the engines in round-robin order at a bounded rate.

    :param list_endpoints: returns the current endpoints.
    :param on_events: called with an engine's name and events, in order but possibly with gaps.
    :param on_restart: called with the name of an engine whose event numbers have started over.
    :param poll_per_s: pages fetched per second over all endpoints.
    :param last_sequences: number of the last received event by endpoint.
    """

    client: EngineClient
    list_endpoints: Callable[[], Sequence[Endpoint]]
    on_events: Callable[[str, Sequence[CacheEvent]], None]
    on_restart: Callable[[str], None]
    poll_per_s: float
    last_sequences: dict[str, int] = field(default_factory=dict)

    async def run(self) -> None:
        """Poll until cancelled."""
        engine_index = 0
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_FETCHES)
        async with trio.open_nursery() as nursery:
            while True:
                engines = [
                    each for each in self.list_endpoints() if each.kind == EndpointKind.ENGINE
                ]
                for name in self.last_sequences.keys() - {each.name for each in engines}:
                    self.last_sequences.pop(name)
                if engines:
                    engine_index = (engine_index + 1) % len(engines)
                    token = object()
                    await limiter.acquire_on_behalf_of(token)
                    nursery.start_soon(self._poll, engines[engine_index], limiter, token)
                await trio.sleep(1 / self.poll_per_s)

    async def fetch(self, endpoint: Endpoint) -> None:
        """Fetch the events after the last received one and pass them to ``on_events``.

        :raises EndpointError: if the engine returns no valid page.
        """
        name = endpoint.name
        since = self.last_sequences.get(name, 0)
        page = await self.client.cache_events(endpoint, since)
        if page.last < since:
            self.last_sequences[name] = 0
            self.on_restart(name)
            return
        self.on_events(name, page.events)
        last = page.events[-1].sequence if page.events else since
        self.last_sequences[name] = max(last, self.last_sequences.get(name, 0))

    async def _poll(self, endpoint: Endpoint, limiter: trio.CapacityLimiter, token: object) -> None:
        try:
            with trio.move_on_after(FETCH_TIMEOUT_S):
                await self.fetch(endpoint)
        except EndpointError:
            return  # The index is unchanged; the next page reveals any gap.
        finally:
            limiter.release_on_behalf_of(token)
