"""One run: a deployment under traffic and random disruptions, and what was broken in it."""

from __future__ import annotations

import tempfile
from collections import Counter
from pathlib import Path
from random import Random

import trio

from shallotmux.checking.processes import CheckResult, wait_until
from shallotmux.checking.programs._callers import Callers, Operator
from shallotmux.checking.programs._deployment import (
    ENTRY_NAMES,
    ROOT,
    Deployment,
    choose_network,
)
from shallotmux.checking.programs._promises import find_violations
from shallotmux.checking.programs._records import Records
from shallotmux.checking.programs._schedule import Schedule
from shallotmux.checking.programs._standins import SERVICE, StandInEndpoint, StandInPlatform
from shallotmux.forwarding import RetryBudgetLimits

ENDPOINTS = 4
CALLERS = 16

#: Last numbers of the addresses of the platform and of the first endpoint, and their port.
PLATFORM_NUMBER, FIRST_ENDPOINT_NUMBER = 250, 100
STANDIN_PORT = 8080

#: Time for the first start, and for the group to have a leader again after the last disruption.
START_TIMEOUT_S = 30.0
RECOVERY_S = 15.0

#: Budget of the settings that the stand-in platform writes.
BUDGET = RetryBudgetLimits()


async def run_soak(seed: int, duration_s: float, builds: tuple[Path, ...] = (ROOT,)) -> CheckResult:
    """Run a deployment for a time, and check what callers and endpoints saw.

    :param builds: repositories whose programs are run side by side.
    """
    random = Random(seed)
    records = Records()
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            await _run(nursery, Path(folder), records, random, duration_s, builds)
            nursery.cancel_scope.cancel()
    result = CheckResult(f'seed {seed}', 1, find_violations(records, BUDGET))
    answers = Counter(str(each.status) for each in records.calls)
    counts = ', '.join(f'{name}: {count}' for name, count in sorted(answers.items()))
    runs = sum(each.has_run for each in records.arrivals)
    result.figures.append(f'{len(records.calls)} requests ({counts}), {runs} runs')
    result.figures.append(f'{records.acknowledged} changes of the configuration')
    return result


async def _run(
    nursery: trio.Nursery,
    folder: Path,
    records: Records,
    random: Random,
    duration_s: float,
    builds: tuple[Path, ...],
) -> None:
    network = choose_network()
    platform = StandInPlatform(f'{network}.{PLATFORM_NUMBER}:{STANDIN_PORT}')
    for number in range(ENDPOINTS):
        address = f'{network}.{FIRST_ENDPOINT_NUMBER + number}:{STANDIN_PORT}'
        endpoint = StandInEndpoint(f'e-{number}', address, records, Random(random.random()))
        platform.endpoints.append(endpoint)
        await nursery.start(endpoint.run)
    await nursery.start(platform.run)
    deployment = Deployment(
        nursery, folder, records, platform.address, network, builds, Random(random.random())
    )
    deployment.prepare()
    deployment.start_all()
    operator = Operator(records, random, deployment.operator_addresses, SERVICE)
    with trio.fail_after(START_TIMEOUT_S):
        await operator.put()
        await wait_until(lambda: len(deployment.ready_entries()) == len(ENTRY_NAMES))

    def choose_entry() -> tuple[str, str] | None:
        ready = deployment.ready_entries()
        return random.choice(ready) if ready else None

    callers = Callers(records, random, choose_entry)
    async with trio.open_nursery() as traffic:
        traffic.start_soon(callers.run, CALLERS)
        schedule = Schedule(deployment, platform.endpoints, operator, random)
        with trio.move_on_after(duration_s):
            await schedule.run()
        callers.is_stopping = True
    await operator.read_back(RECOVERY_S)
    deployment.close()
