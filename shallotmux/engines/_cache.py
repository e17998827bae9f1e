"""Poll the cache events of engines."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import trio

from shallotmux.engines._client import CacheEvent, EngineClient
from shallotmux.errors import EndpointError
from shallotmux.world import Endpoint, EndpointKind

#: Seconds for which a page of events is waited for.
PAGE_TIMEOUT_S = 1.0

#: Pages waited for at a time, so that paused engines do not hold up the others.
MAX_OPEN_PAGES = 16


@dataclass(slots=True)
class CachePoller:
    """Fetches cache events of engines in turn at a bounded rate.

    :param endpoints: returns the endpoints at present.
    :param follow: called with the events of an engine, in order and perhaps with gaps.
    :param restarted: called when an engine numbers its events from the beginning again.
    :param poll_per_s: pages fetched in a second over all endpoints.
    :param seen: number of the last event by endpoint.
    """

    client: EngineClient
    endpoints: Callable[[], Sequence[Endpoint]]
    follow: Callable[[str, Sequence[CacheEvent]], None]
    restarted: Callable[[str], None]
    poll_per_s: float
    seen: dict[str, int] = field(default_factory=dict)

    async def run(self) -> None:
        """Poll until cancelled."""
        turn = 0
        limiter = trio.CapacityLimiter(MAX_OPEN_PAGES)
        async with trio.open_nursery() as nursery:
            while True:
                engines = [each for each in self.endpoints() if each.kind == EndpointKind.ENGINE]
                for name in self.seen.keys() - {each.name for each in engines}:
                    self.seen.pop(name)
                if engines:
                    turn = (turn + 1) % len(engines)
                    token = object()
                    await limiter.acquire_on_behalf_of(token)
                    nursery.start_soon(self._poll, engines[turn], limiter, token)
                await trio.sleep(1 / self.poll_per_s)

    async def fetch(self, endpoint: Endpoint) -> None:
        """Fetch and pass on the events after the last one seen.

        :raises EndpointError: if there is no valid page.
        """
        name = endpoint.name
        since = self.seen.get(name, 0)
        page = await self.client.cache_events(endpoint, since)
        if page.last < since:
            self.seen[name] = 0
            self.restarted(name)
            return
        self.follow(name, page.events)
        last = page.events[-1].sequence if page.events else since
        self.seen[name] = max(last, self.seen.get(name, 0))

    async def _poll(self, endpoint: Endpoint, limiter: trio.CapacityLimiter, token: object) -> None:
        try:
            with trio.move_on_after(PAGE_TIMEOUT_S):
                await self.fetch(endpoint)
        except EndpointError:
            return  # The index stays as it is; a gap is found with the next page.
        finally:
            limiter.release_on_behalf_of(token)
