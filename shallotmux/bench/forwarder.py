"""Measures the overhead of the forwarder: ``python -m shallotmux.bench.forwarder``."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from time import perf_counter

import click
import trio

from shallotmux.bench._forwarding_child import HOST
from shallotmux.bench._processes import Child, start_child
from shallotmux.bench._results import MAX_ADDED_LATENCY_MS, MAX_REQUEST_CPU_MS, Latency, percentile
from shallotmux.forwarding import Dialect, OutgoingRequest
from shallotmux.forwarding._connecting import connect_endpoint
from shallotmux.forwarding._endpoint import EndpointConnection

CHILD = 'shallotmux.bench._forwarding_child'
CONNECT_TIMEOUT_S = 5.0
MS_PER_S = 1000.0

#: Requests before the measurement, to open connections and fill caches.
WARM_UP_REQUESTS = 50


@dataclass(frozen=True, slots=True)
class ForwarderResults:
    """Overhead of the forwarder.

    :param cpu_ms: CPU time of the forwarder per request, in milliseconds.
    """

    latency: Latency
    cpu_ms: float

    @property
    def meets_targets(self) -> bool:
        """Return whether both targets are met."""
        return self.latency.added_ms() <= MAX_ADDED_LATENCY_MS and self.cpu_ms <= MAX_REQUEST_CPU_MS

    def render(self) -> str:
        """Return the results with their targets as text."""
        latency = self.latency
        return '\n'.join(
            (
                f'calls: {len(latency.direct)} direct and as many forwarded, in turn',
                f'first byte: direct {percentile(latency.direct, 50):.2f} ms, '
                f'forwarded {percentile(latency.relayed, 50):.2f} ms at the median',
                f'added: {latency.added_ms():.2f} ms (target {MAX_ADDED_LATENCY_MS:g}); '
                f'99th percentile of the forwarded calls {latency.tail_ratio():.1f} times '
                'their median',
                f'processor time: {self.cpu_ms:.2f} ms a request (target {MAX_REQUEST_CPU_MS:g})',
            )
        )


class Caller:
    """Sends requests over one persistent connection.

    :param connection: connection to the forwarder or directly to the endpoint.
    """

    def __init__(self, connection: EndpointConnection) -> None:
        self._connection = connection
        self._number = 0

    async def call(self) -> float:
        """Send a request and return the milliseconds until the response head."""
        self._number += 1
        request_id = str(self._number).encode()
        headers = (
            (b'host', HOST.encode()),
            (Dialect().names.request_id, request_id),
            (b'content-length', b'4'),
        )
        started = perf_counter()
        self._connection.begin(OutgoingRequest(request_id, b'POST', b'/work', headers, b'work'))
        await self._connection.send_request()
        await self._connection.receive_head()
        first_byte_s = perf_counter() - started
        await self._connection.receive_body()
        return first_byte_s * MS_PER_S


async def measure_forwarder(calls: int) -> ForwarderResults:
    """Start an endpoint and a forwarder, and measure direct and forwarded calls."""
    async with start_child(CHILD, 'endpoint') as endpoint:
        address = (await endpoint.read_line()).decode().strip()
        async with start_child(CHILD, 'forwarder', address) as forwarder:
            forwarder_address = (await forwarder.read_line()).decode().strip()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(forwarder.drain_output)
                results = await _measure(address, forwarder_address, forwarder, calls)
                nursery.cancel_scope.cancel()
    return results


async def _measure(
    address: str, forwarder_address: str, forwarder: Child, calls: int
) -> ForwarderResults:
    direct, forwarded = await _connect(address), await _connect(forwarder_address)
    for _ in range(WARM_UP_REQUESTS):
        await direct.call()
        await forwarded.call()
    before_s = forwarder.cpu_s()
    pairs = [(await direct.call(), await forwarded.call()) for _ in range(calls)]
    spent_s = forwarder.cpu_s() - before_s
    latency = Latency(tuple(first for first, _ in pairs), tuple(second for _, second in pairs))
    return ForwarderResults(latency, spent_s / calls * MS_PER_S)


async def _connect(address: str) -> Caller:
    header = Dialect().names.request_id
    return Caller(await connect_endpoint(address, 'bench', header, CONNECT_TIMEOUT_S))


@click.command()
@click.option('--calls', type=click.IntRange(2), default=1000, help='Calls of each kind.')
def main(calls: int) -> None:
    """Measure the forwarder; exit code 1 when a target is missed."""
    results = trio.run(measure_forwarder, calls)
    click.echo(results.render())
    sys.exit(0 if results.meets_targets else 1)


if __name__ == '__main__':
    main()
