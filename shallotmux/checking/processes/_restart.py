"""Check that a whole zone recovers after all its daemons were killed."""

from __future__ import annotations

import signal
from typing import Any

import trio

from shallotmux.checking.processes._callers import JobLoad
from shallotmux.checking.processes._changes import KeyUsage
from shallotmux.checking.processes._child import POLL_INTERVAL_S, WAIT_TIMEOUT_S
from shallotmux.checking.processes._cluster import CUSTOMER, INSTANCE_NAMES, READY_PREFIX, Cluster
from shallotmux.checking.processes._report import CheckResult, format_spread
from shallotmux.operators import ObjectName

#: Interval of key changes: one change in so many creates a key, and every second key
#: is withdrawn at once; the other changes put customers.
KEY_INTERVAL = 25
JOBS_PER_ROUND = 20
COMPARED_VIEWS = ('customer', 'pool', 'route', 'key')


async def check_restart(cluster: Cluster, rounds: int, change_count: int) -> CheckResult:
    """Check that configuration, keys and job ledger survive when all daemons are killed at once."""
    result = CheckResult(f'all daemons killed after {change_count} changes', rounds)
    times = []
    for round_number in range(rounds):
        await _make_changes(cluster, round_number, change_count)
        jobs = JobLoad(cluster)
        for number in range(JOBS_PER_ROUND):
            await jobs.submit(f'restart-{round_number}-{number}', number)
        answers = dict(jobs.done)
        before = await _read_views(cluster, INSTANCE_NAMES[0])
        async with trio.open_nursery() as nursery:
            for killed_name in INSTANCE_NAMES:
                nursery.start_soon(cluster.stop, killed_name, signal.SIGKILL)
        times.append(await _restart_all(cluster))
        await cluster.wait_until_ready()
        for name in INSTANCE_NAMES:
            after = await _read_views(cluster, name)
            changed = [view for view in COMPARED_VIEWS if after[view] != before[view]]
            result.violations.extend(f'{name}: {view} differ after the restart' for view in changed)
        for number, job in enumerate(answers):
            await jobs.submit(job, number)
        if jobs.done != answers or jobs.unknown:
            result.violations.append('stored answers of jobs differ after the restart')
        await jobs.check_runs()
        result.violations.extend(jobs.violations)
    result.figures.append(format_spread('first accepted request after the start', times))
    return result


async def _make_changes(cluster: Cluster, round_number: int, change_count: int) -> None:
    """Put customers, create a key at every interval, and withdraw every second key."""
    for number in range(change_count):
        operator = cluster.operator(INSTANCE_NAMES[number % len(INSTANCE_NAMES)])
        if number % KEY_INTERVAL:
            object_name = ObjectName('customer', f'customer-{round_number}-{number}')
            await operator.put(object_name, {'contract': {'connections': number}}, 0)
            continue
        key = await operator.create_key(CUSTOMER)
        if number % (2 * KEY_INTERVAL):
            await operator.withdraw_key(str(key['key_id']))


async def _read_views(cluster: Cluster, name: str) -> dict[str, Any]:
    """Return the objects and keys, except for those of :meth:`Cluster.wait_until_ready`."""
    operator = cluster.operator(name)
    views = {view: (await operator.view(view))['items'] for view in COMPARED_VIEWS}
    return {
        view: [each for each in items if not str(each.get('name', '')).startswith(READY_PREFIX)]
        for view, items in views.items()
    }


async def _restart_all(cluster: Cluster) -> float:
    """Start all daemons, and return the seconds until one admits a request with a key."""
    started = trio.current_time()
    probe = KeyUsage(cluster, cluster.secret)
    async with trio.open_nursery() as nursery:
        for started_name in INSTANCE_NAMES:
            nursery.start_soon(cluster.start, started_name)
    with trio.fail_after(WAIT_TIMEOUT_S):
        while not await _is_admitted_anywhere(probe):
            await trio.sleep(POLL_INTERVAL_S)
    return trio.current_time() - started


async def _is_admitted_anywhere(probe: KeyUsage) -> bool:
    return any([await probe.is_admitted(name) for name in INSTANCE_NAMES])
