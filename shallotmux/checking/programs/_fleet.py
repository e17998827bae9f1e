"""Endpoints of a run, some of which join while it lasts."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import trio

from shallotmux.checking.programs._records import Records
from shallotmux.checking.programs._standins import StandInEndpoint, StandInPlatform

#: Last numbers of the addresses of the platform and of the first endpoint, and their port.
PLATFORM_NUMBER, FIRST_ENDPOINT_NUMBER = 250, 100
STANDIN_PORT = 8080

#: Time in which an endpoint that joins has to get a request: two polls of the list, and what an instance
#: without a control instance waits before it polls by itself.
JOIN_S = 6.0

#: Requests to all endpoints in the second half of that time, below which one may get none.
MIN_ARRIVALS = 40

#: Bytes at each end of an odd entry that are shown.
SHOWN_BYTES = 90

#: Entries of other writers in one list.
MAX_ODD_ENTRIES = 4


@dataclass(slots=True)
class EndpointFleet:
    """Starts endpoints, and puts them into the platform's list."""

    nursery: trio.Nursery
    network: str
    records: Records
    random: Random
    platform: StandInPlatform
    started: int = 0
    endpoints: list[StandInEndpoint] = field(default_factory=list)

    async def start(self, count: int) -> None:
        """Start endpoints that stay for the whole run."""
        for _ in range(count):
            endpoint = await self._start_endpoint()
            self.endpoints.append(endpoint)
            self.platform.endpoints.append(endpoint)

    async def join_beside_odd_entries(self) -> None:
        """Add an endpoint and entries of other writers; it has to get work until it leaves."""
        platform = self.platform
        endpoint = await self._start_endpoint()
        platform.add_odd_entries(self.random, MAX_ODD_ENTRIES)
        platform.endpoints.append(endpoint)
        odd = platform.odd
        joined_at = trio.current_time()
        await trio.sleep(JOIN_S)
        arrivals = [each for each in self.records.arrivals if each.at > joined_at + JOIN_S / 2]
        is_used = any(each.endpoint == endpoint.identity for each in arrivals)
        if len(arrivals) >= MIN_ARRIVALS and not is_used:
            beside = ', '.join(_shorten(each) for each in odd)
            self.records.problems.append(
                f'{endpoint.identity} joined at {joined_at:.2f} and got no request beside {beside}, '
                f'the others {len(arrivals)}'
            )
        endpoint.is_leaving = True
        await trio.sleep(JOIN_S)
        platform.endpoints.remove(endpoint)

    async def _start_endpoint(self) -> StandInEndpoint:
        number = self.started
        self.started += 1
        address = f'{self.network}.{FIRST_ENDPOINT_NUMBER + number}:{STANDIN_PORT}'
        endpoint = StandInEndpoint(
            f'e-{number}', address, self.records, Random(self.random.random())
        )
        await self.nursery.start(endpoint.run)
        return endpoint


def _shorten(entry: bytes) -> str:
    if len(entry) <= 2 * SHOWN_BYTES:
        return str(entry)
    return f'{entry[:SHOWN_BYTES]!r} .. {entry[-SHOWN_BYTES:]!r}'
