"""Draw the zone of each request by the shares in force, and measure the use of services."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random

import trio

from shallotmux.fleet import EngineRole
from shallotmux.forwarding._job import Job
from shallotmux.forwarding._state import EndpointState
from shallotmux.overflow import DEFAULT_PRICE, HeldShares, ServiceUse, choose_zone, cost_ms
from shallotmux.placement import MIN_AFFINITY_TOKENS

#: Time over which requests per second are averaged.
RATE_WINDOW_S = 4.0

#: Shortest such time of an instance that has just started.
MIN_RATE_WINDOW_S = 1.0

#: Weight of a new answer in the usual time and size of a service.
ANSWER_WEIGHT = 0.05

#: Bytes of the headers of a request and its response, of both framings.
HEADER_BYTES = 1500

BYTES_PER_KILOBYTE = 1000


def _ignore(_: str) -> None:
    """Count nothing."""


@dataclass(slots=True)
class _ServiceMeter:
    """Arrivals, and usual time and size of the requests, of one service."""

    arrivals: deque[float] = field(default_factory=deque)
    service_ms: float = 0.0
    response_bytes: float = 0.0
    kilobytes: float = 0.0

    def requests_per_s(self, since: float, now: float) -> float:
        """Return the requests per second.

        :param since: local time at which this instance began to count.
        """
        while self.arrivals and self.arrivals[0] < now - RATE_WINDOW_S:
            self.arrivals.popleft()
        return len(self.arrivals) / min(RATE_WINDOW_S, max(MIN_RATE_WINDOW_S, now - since))

    def record(self, service_ms: float, response_bytes: float, request_bytes: float) -> None:
        """Add an answer."""
        weight = ANSWER_WEIGHT if self.service_ms else 1.0
        size = (request_bytes + response_bytes) / BYTES_PER_KILOBYTE
        self.service_ms += weight * (service_ms - self.service_ms)
        self.response_bytes += weight * (response_bytes - self.response_bytes)
        self.kilobytes += weight * (size - self.kilobytes)


class ZoneFollower:
    """Follows the shares of the own zone.

    :param zone: availability zone of this instance.
    :param price: milliseconds that sending one kilobyte to another zone must save.
    :param draw: returns random numbers in [0, 1).
    """

    def __init__(
        self,
        zone: str = '',
        shares: HeldShares | None = None,
        price: float = DEFAULT_PRICE,
        draw: Callable[[], float] | None = None,
    ) -> None:
        self.zone = zone
        self._shares = shares or HeldShares()
        self._price = price
        self._draw = draw or Random().random  # noqa: S311
        self._meters: dict[str, _ServiceMeter] = defaultdict(_ServiceMeter)
        #: Local time of the first request.
        self._since: float | None = None
        #: Services with endpoints in several zones; others are neither measured nor restricted.
        self.services: Collection[str] = frozenset()
        #: Called with the service of each attempt at an endpoint of another zone.
        self.count_sent: Callable[[str], None] = _ignore

    def restrict(self, job: Job, usable: list[EndpointState]) -> list[EndpointState]:
        """Return the endpoints of the zone that was drawn for a job, if one of them can answer.

        Prefill engines of all zones remain, and engines that run both phases for a prompt with a shared
        part: owners of prefixes are ranked among those of all zones, so that each is prefilled once.
        """
        if job.service not in self.services:
            return usable
        zone = self._zone_of(job)
        if not zone:
            return usable
        prompt = job.prompt
        has_owner = prompt is not None and prompt.shared_tokens >= MIN_AFFINITY_TOKENS
        free_role = EngineRole.MIXED if has_owner else EngineRole.PREFILL
        kept = [
            each
            for each in usable
            if each.listed.zone == zone
            or each.listed.role is EngineRole.PREFILL
            or each.listed.role is free_role
        ]
        return kept if any(each.may_answer for each in kept) else usable

    def transit_ms(self, job: Job) -> float:
        """Return what sending a job to another zone must save; 0 if its service is in one zone."""
        if job.service not in self.services:
            return 0.0
        size = HEADER_BYTES + len(job.request.body) + self._meters[job.service].response_bytes
        return cost_ms(self._price, size / BYTES_PER_KILOBYTE)

    def record_sent(self, job: Job, state: EndpointState) -> None:
        """Count an attempt if it goes to another zone."""
        if job.service in self.services and state.listed.zone != self.zone:
            self.count_sent(job.service)

    def record_answer(self, job: Job, service_ms: float) -> None:
        """Learn from an answer that was delivered.

        :param service_ms: expected time to its first part, without waiting.
        """
        if job.service not in self.services:
            return
        first_part_at = job.request.received_at + job.first_part_s
        rest_ms = 1000 * max(0.0, job.last_part_at - first_part_at)
        request_bytes = HEADER_BYTES + len(job.request.body)
        self._meters[job.service].record(service_ms + rest_ms, job.answer_bytes, request_bytes)

    def uses(self) -> tuple[ServiceUse, ...]:
        """Return the recent use of each service with endpoints in several zones."""
        now = trio.current_time()
        since = now if self._since is None else self._since
        return tuple(
            ServiceUse(
                service,
                self._meters[service].requests_per_s(since, now),
                self._meters[service].service_ms,
                self._meters[service].kilobytes,
            )
            for service in sorted(self.services)
        )

    def _zone_of(self, job: Job) -> str:
        """Return the zone of a job, drawn once; empty without shares."""
        if job.zone is None:
            now = trio.current_time()
            if self._since is None:
                self._since = now
            if not job.relayed_for:
                # The instance that took a relayed request has counted it.
                self._meters[job.service].arrivals.append(now)
            shares = self._shares.of_service(job.service, now)
            job.zone = choose_zone(shares, self.zone, self._draw()) if shares else ''
        return job.zone


def find_zoned_services(endpoints: Collection[EndpointState]) -> frozenset[str]:
    """Return the services that have endpoints in more than one zone."""
    zones: dict[str, set[str]] = defaultdict(set)
    for each in endpoints:
        zones[each.listed.service].add(each.listed.zone)
    return frozenset(service for service, found in zones.items() if len(found) > 1)
