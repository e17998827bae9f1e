"""Measure what the forwarder adds to a request: ``python -m shallotmux.bench.forwarder``."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from time import perf_counter

import click
import trio

from shallotmux.bench._figures import MAX_ADDED_MS, MAX_REQUEST_CPU_MS, Latency, percentile
from shallotmux.bench._forwarding_child import HOST
from shallotmux.bench._processes import Child, start_child
from shallotmux.forwarding import Dialect, OutgoingRequest
from shallotmux.forwarding._endpoint import EndpointConnection, connect_endpoint

CHILD = 'shallotmux.bench._forwarding_child'
CONNECT_TIMEOUT_S = 5.0
MS = 1000.0

#: Requests before the measurement, for connections and caches.
WARM_UP = 50


@dataclass(frozen=True, slots=True)
class ForwarderFigures:
    """What the forwarder costs.

    :param cpu_ms: processor time of a request, in ms.
    """

    latency: Latency
    cpu_ms: float

    @property
    def meets_targets(self) -> bool:
        """Return whether both targets hold."""
        return self.latency.added_ms() <= MAX_ADDED_MS and self.cpu_ms <= MAX_REQUEST_CPU_MS

    def render(self) -> str:
        """Return the figures beside their targets."""
        latency = self.latency
        return '\n'.join(
            (
                f'calls: {len(latency.direct)} direct and as many forwarded, in turn',
                f'first byte: direct {percentile(latency.direct, 50):.2f} ms, '
                f'forwarded {percentile(latency.relayed, 50):.2f} ms at the median',
                f'added: {latency.added_ms():.2f} ms (target {MAX_ADDED_MS:g}); 99th percentile '
                f'of the forwarded calls {latency.tail_ratio():.1f} times their median',
                f'processor time: {self.cpu_ms:.2f} ms a request (target {MAX_REQUEST_CPU_MS:g})',
            )
        )


class Caller:
    """Sends requests on one kept connection.

    :param connection: connection to the forwarder or to the endpoint itself.
    """

    def __init__(self, connection: EndpointConnection) -> None:
        self._connection = connection
        self._number = 0

    async def call(self) -> float:
        """Return the milliseconds to the first byte of an answer."""
        self._number += 1
        request_id = str(self._number).encode()
        headers = (
            (b'host', HOST.encode()),
            (Dialect().names.request_id, request_id),
            (b'content-length', b'4'),
        )
        began = perf_counter()
        await self._connection.send_request(
            OutgoingRequest(request_id, b'POST', b'/work', headers, b'work')
        )
        await self._connection.receive_head()
        first_byte_s = perf_counter() - began
        await self._connection.receive_body()
        return first_byte_s * MS


async def measure_forwarder(calls: int) -> ForwarderFigures:
    """Start an endpoint and a forwarder, and compare calls with and without it."""
    async with start_child(CHILD, 'endpoint') as endpoint:
        address = (await endpoint.line()).decode().strip()
        async with start_child(CHILD, 'forwarder', address) as forwarder:
            through = (await forwarder.line()).decode().strip()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(forwarder.drain_output)
                figures = await _compare(address, through, forwarder, calls)
                nursery.cancel_scope.cancel()
    return figures


async def _compare(address: str, through: str, forwarder: Child, calls: int) -> ForwarderFigures:
    direct, forwarded = await _connect(address), await _connect(through)
    for _ in range(WARM_UP):
        await direct.call()
        await forwarded.call()
    before_s = forwarder.cpu_s()
    pairs = [(await direct.call(), await forwarded.call()) for _ in range(calls)]
    spent_s = forwarder.cpu_s() - before_s
    latency = Latency(tuple(first for first, _ in pairs), tuple(second for _, second in pairs))
    return ForwarderFigures(latency, spent_s / calls * MS)


async def _connect(address: str) -> Caller:
    header = Dialect().names.request_id
    return Caller(await connect_endpoint(address, 'bench', header, CONNECT_TIMEOUT_S))


@click.command()
@click.option('--calls', type=click.IntRange(2), default=1000, help='Calls of each kind.')
def main(calls: int) -> None:
    """Measure the forwarder; exit code 1 when a target is missed."""
    figures = trio.run(measure_forwarder, calls)
    click.echo(figures.render())
    sys.exit(0 if figures.meets_targets else 1)


if __name__ == '__main__':
    main()
