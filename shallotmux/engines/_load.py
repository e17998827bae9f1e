"""Poll the load reports of engines and correct them by this instance's own requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import trio

from shallotmux.engines._client import EngineClient, LoadReport
from shallotmux.errors import EndpointError
from shallotmux.world import Endpoint, EndpointKind

#: Seconds for which a report is waited for.
REPORT_TIMEOUT_S = 1.0

#: Reports waited for at a time, so that paused engines do not hold up the others.
MAX_OPEN_REPORTS = 16


@dataclass(frozen=True, slots=True)
class ReceivedLoadReport:
    """A load report, with the time of its receipt and this instance's requests at that time."""

    report: LoadReport
    received_s: float
    own_in_flight: int


@dataclass(slots=True)
class LoadTable:
    """Latest load reports by endpoint.

    :param age_limit_s: age in seconds beyond which a report counts as unknown.
    """

    age_limit_s: float
    known: dict[str, ReceivedLoadReport] = field(default_factory=dict)

    def estimate(self, endpoint: str, own_in_flight: int, now: float) -> int:
        """Return the streams expected on an endpoint, or 0 without a recent report.

        The streams of other instances are taken from the report, this instance's own are known.
        """
        known = self.known.get(endpoint)
        if known is None or now - known.received_s > self.age_limit_s:
            return 0
        others = max(0, known.report.running - known.own_in_flight)
        return others + own_in_flight

    def prefill_rate(self, endpoints: Iterable[str]) -> float:
        """Return the mean prefill rate of endpoints in tokens per second, or 0 if unknown."""
        rates = [
            self.known[name].report.prefill_tokens_per_s for name in endpoints if name in self.known
        ]
        return sum(rates) / len(rates) if rates else 0.0


@dataclass(frozen=True, slots=True)
class LoadPoller:
    """Fetches load reports in turn at a bounded rate.

    :param endpoints: returns the endpoints at present.
    :param in_flight: returns this instance's requests in progress on an endpoint.
    :param updated: called with each report.
    :param poll_per_s: reports fetched in a second over all endpoints.
    """

    client: EngineClient
    table: LoadTable
    endpoints: Callable[[], Sequence[Endpoint]]
    in_flight: Callable[[str], int]
    updated: Callable[[Endpoint, ReceivedLoadReport], None]
    poll_per_s: float

    async def run(self) -> None:
        """Poll until cancelled."""
        turn = 0
        limiter = trio.CapacityLimiter(MAX_OPEN_REPORTS)
        async with trio.open_nursery() as nursery:
            while True:
                engines = [each for each in self.endpoints() if each.kind == EndpointKind.ENGINE]
                self._forget_removed(engines)
                if engines:
                    turn = (turn + 1) % len(engines)
                    token = object()
                    await limiter.acquire_on_behalf_of(token)
                    nursery.start_soon(self._poll, engines[turn], limiter, token)
                await trio.sleep(1 / self.poll_per_s)

    async def _poll(self, endpoint: Endpoint, limiter: trio.CapacityLimiter, token: object) -> None:
        try:
            with trio.move_on_after(REPORT_TIMEOUT_S):
                report = await self.client.load(endpoint)
                known = ReceivedLoadReport(
                    report, trio.current_time(), self.in_flight(endpoint.name)
                )
                self.table.known[endpoint.name] = known
                self.updated(endpoint, known)
        except EndpointError:
            self.table.known.pop(endpoint.name, None)
        finally:
            limiter.release_on_behalf_of(token)

    def _forget_removed(self, engines: Sequence[Endpoint]) -> None:
        names = {each.name for each in engines}
        for name in self.table.known.keys() - names:
            self.table.known.pop(name)
