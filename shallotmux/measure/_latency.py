"""CPU time of a routing decision against the number of endpoints."""

from __future__ import annotations

import time
from random import Random

from shallotmux.decisions import LoadReport, RequestFeatures, Router
from shallotmux.world import Endpoint

SIZES = (10, 100, 1200, 12_000)
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
                router.dispatched(decision.endpoint.name, features, 2048, place / 1000)
        times[size] = (time.process_time() - start) / decisions
    return times
