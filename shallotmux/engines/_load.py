"""Poll the load reports of engines and adjust them by the requests of this instance."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import trio

from shallotmux.engines._client import EngineClient, LoadReport
from shallotmux.errors import EndpointError
from shallotmux.world import Endpoint, EndpointKind

#: Timeout of a request for a load report.
FETCH_TIMEOUT_S = 1.0

#: Concurrent requests for reports; more than one, so that paused engines do not delay the others.
MAX_CONCURRENT_FETCHES = 16


@dataclass(frozen=True, slots=True)
class ReceivedLoadReport:
    """A load report with the state of this instance at its receipt.

    :param received_s: time of receipt in seconds, on the clock of the event loop.
    :param own_in_flight: requests that this instance had in progress on the engine.
    """

    report: LoadReport
    received_s: float
    own_in_flight: int


@dataclass(slots=True)
class LoadTable:
    """Latest load reports of the engines.

    :param max_age_s: age in seconds after which a report is ignored.
    :param received_reports: latest report by endpoint name.
    """

    max_age_s: float
    received_reports: dict[str, ReceivedLoadReport] = field(default_factory=dict)

    def estimate(self, endpoint: str, own_in_flight: int, now: float) -> int:
        """Return the estimated number of streams on an endpoint, or 0 without a recent report.

        The streams of other instances are estimated from the report and added to the current
        number of this instance's own.

        :param own_in_flight: requests that this instance has in progress on the endpoint.
        :param now: current time in seconds, on the clock of the event loop.
        """
        received = self.received_reports.get(endpoint)
        if received is None or now - received.received_s > self.max_age_s:
            return 0
        remote_streams = max(0, received.report.running - received.own_in_flight)
        return remote_streams + own_in_flight

    def prefill_rate(self, endpoints: Iterable[str]) -> float:
        """Return the mean prefill rate of endpoints in tokens per second, or 0 if unknown."""
        rates = [
            self.received_reports[name].report.prefill_tokens_per_s
            for name in endpoints
            if name in self.received_reports
        ]
        return sum(rates) / len(rates) if rates else 0.0


@dataclass(frozen=True, slots=True)
class LoadPoller:
    """Fetches load reports from the engines in round-robin order at a bounded rate.

    :param list_endpoints: returns the current endpoints.
    :param in_flight: returns the number of this instance's requests in progress on an endpoint.
    :param on_report: called with each received report and its endpoint.
    :param poll_per_s: reports fetched per second over all endpoints.
    """

    client: EngineClient
    table: LoadTable
    list_endpoints: Callable[[], Sequence[Endpoint]]
    in_flight: Callable[[str], int]
    on_report: Callable[[Endpoint, ReceivedLoadReport], None]
    poll_per_s: float

    async def run(self) -> None:
        """Poll until cancelled."""
        engine_index = 0
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_FETCHES)
        async with trio.open_nursery() as nursery:
            while True:
                engines = [
                    each for each in self.list_endpoints() if each.kind == EndpointKind.ENGINE
                ]
                self._drop_removed(engines)
                if engines:
                    engine_index = (engine_index + 1) % len(engines)
                    token = object()
                    await limiter.acquire_on_behalf_of(token)
                    nursery.start_soon(self._poll, engines[engine_index], limiter, token)
                await trio.sleep(1 / self.poll_per_s)

    async def _poll(self, endpoint: Endpoint, limiter: trio.CapacityLimiter, token: object) -> None:
        try:
            with trio.move_on_after(FETCH_TIMEOUT_S):
                report = await self.client.load(endpoint)
                received = ReceivedLoadReport(
                    report, trio.current_time(), self.in_flight(endpoint.name)
                )
                self.table.received_reports[endpoint.name] = received
                self.on_report(endpoint, received)
        except EndpointError:
            self.table.received_reports.pop(endpoint.name, None)
        finally:
            limiter.release_on_behalf_of(token)

    def _drop_removed(self, engines: Sequence[Endpoint]) -> None:
        names = {each.name for each in engines}
        for name in self.table.received_reports.keys() - names:
            self.table.received_reports.pop(name)
