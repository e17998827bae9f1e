"""CPU time of a routing decision against the number of endpoints."""

from __future__ import annotations

import time
from random import Random

import trio

from shallotmux.authority import LocalAuthority, PutObject
from shallotmux.decisions import LoadReport, RequestFeatures, Router
from shallotmux.engines import LoadTable
from shallotmux.requests import Lifecycle, RequestSettings
from shallotmux.requests._admission import Admission, AdmissionDependencies
from shallotmux.requests._queues import Ticket
from shallotmux.requests._retries import Breakers
from shallotmux.world import Endpoint, EndpointPool, Route

SIZES = (10, 100, 1200, 12_000)
ADMISSION_SIZES = (10, 100, 1200)
DECISIONS = 2000
PREFIXES = 500
BLOCKS = 4


def filled_router(size: int, random: Random) -> Router:
    """Return a router that knows ``size`` endpoints with a load report each."""
    router = Router()
    for place in range(size):
        name = f'engine-{place}'
        router.add(Endpoint(name, 'zone', ''))
        router.report(name, LoadReport(random.uniform(0, 20_000), random.randrange(30), 0))
    return router


def routing_times(sizes: tuple[int, ...] = SIZES, decisions: int = DECISIONS) -> dict[int, float]:
    """Return the mean CPU seconds of a decision, dispatch included, by number of endpoints."""
    times = {}
    for size in sizes:
        random = Random(size)
        router = filled_router(size, random)
        prefixes = [tuple(random.getrandbits(64) for _ in range(BLOCKS)) for _ in range(PREFIXES)]
        start = time.process_time()
        for place in range(decisions):
            features = RequestFeatures(random.choice(prefixes), BLOCKS * 2048)
            decision = router.choose(features, random, place / 1000)
            if decision is not None:
                router.record_dispatch(decision.endpoint.name, features, 2048, place / 1000)
        times[size] = (time.process_time() - start) / decisions
    return times


def admission_times(
    sizes: tuple[int, ...] = ADMISSION_SIZES, requests: int = DECISIONS
) -> dict[int, float]:
    """Return the mean CPU seconds from a request's arrival to its end, by number of endpoints.

    Queueing, limits, routing and the release are included, but neither the log line nor the engine.
    """
    return {size: trio.run(_time_admission, size, requests) for size in sizes}


async def _time_admission(size: int, requests: int) -> float:
    random = Random(size)
    endpoints = tuple(Endpoint(f'engine-{place}', 'z', '') for place in range(size))
    authority = LocalAuthority()
    await authority.submit(PutObject('pool', EndpointPool('p', 'z', endpoints), 0))
    settings = RequestSettings()
    loads = LoadTable(settings.report_age_limit_s)
    admission = Admission(
        AdmissionDependencies(authority, settings, random, loads, Breakers(settings), _ignore)
    )
    prefixes = [tuple(random.getrandbits(64) for _ in range(BLOCKS)) for _ in range(PREFIXES)]
    route = Route('r', 'p')
    spent_s = 0.0
    # The first requests fill the router and its index.
    for number in range(2 * requests):
        ticket = Ticket(
            'request', 'customer', route, trio.current_time() + 5, blocks=random.choice(prefixes)
        )
        start = time.process_time()
        await admission.acquire(ticket, Lifecycle())
        admission.mark_prefill_done(ticket)
        admission.release(ticket, 0.0)
        spent_s += (time.process_time() - start) if number >= requests else 0
    return spent_s / requests


def _ignore(*_: object) -> None:
    """Take a decision without a log line."""
