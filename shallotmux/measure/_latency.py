"""CPU time of routing and admission as a function of the number of endpoints."""

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
DECISION_COUNT = 2000
PROMPT_COUNT = 500
BLOCKS_PER_PROMPT = 4


def make_router(size: int, random: Random) -> Router:
    """Return a router with ``size`` endpoints and a load report of each."""
    router = Router()
    for number in range(size):
        name = f'engine-{number}'
        router.add(Endpoint(name, 'zone', ''))
        router.report(name, LoadReport(random.uniform(0, 20_000), random.randrange(30), 0))
    return router


def routing_times(
    sizes: tuple[int, ...] = SIZES, decisions: int = DECISION_COUNT
) -> dict[int, float]:
    """Return the mean CPU seconds of a decision and its dispatch, by number of endpoints."""
    cpu_times_s = {}
    for size in sizes:
        random = Random(size)
        router = make_router(size, random)
        prompts = [
            tuple(random.getrandbits(64) for _ in range(BLOCKS_PER_PROMPT))
            for _ in range(PROMPT_COUNT)
        ]
        start = time.process_time()
        for number in range(decisions):
            features = RequestFeatures(random.choice(prompts), BLOCKS_PER_PROMPT * 2048)
            decision = router.choose(features, random, number / 1000)
            if decision is not None:
                router.record_dispatch(decision.endpoint.name, features, 2048, number / 1000)
        cpu_times_s[size] = (time.process_time() - start) / decisions
    return cpu_times_s


def admission_times(
    sizes: tuple[int, ...] = ADMISSION_SIZES, requests: int = DECISION_COUNT
) -> dict[int, float]:
    """Return the mean CPU seconds from the arrival of a request to its end, by number of endpoints.

    Queueing, limits, routing and the release are included; the log line and the engine are not.
    """
    return {size: trio.run(_time_admission, size, requests) for size in sizes}


async def _time_admission(size: int, requests: int) -> float:
    random = Random(size)
    endpoints = tuple(Endpoint(f'engine-{number}', 'z', '') for number in range(size))
    authority = LocalAuthority()
    await authority.submit(PutObject('pool', EndpointPool('p', 'z', endpoints), 0))
    settings = RequestSettings()
    loads = LoadTable(settings.report_age_limit_s)
    admission = Admission(
        AdmissionDependencies(
            authority, settings, random, loads, Breakers(settings), _discard_record
        )
    )
    prompts = [
        tuple(random.getrandbits(64) for _ in range(BLOCKS_PER_PROMPT)) for _ in range(PROMPT_COUNT)
    ]
    route = Route('r', 'p')
    cpu_s = 0.0
    # The first half of the requests fills the router and its prefix index and is not measured.
    for number in range(2 * requests):
        ticket = Ticket(
            'request', 'customer', route, trio.current_time() + 5, blocks=random.choice(prompts)
        )
        start = time.process_time()
        await admission.acquire(ticket, Lifecycle())
        admission.mark_prefill_done(ticket)
        admission.release(ticket, 0.0)
        cpu_s += (time.process_time() - start) if number >= requests else 0
    return cpu_s / requests


def _discard_record(*_: object) -> None:
    """Discard a decision record."""
