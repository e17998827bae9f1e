"""Checks that terminate one daemon after another under load."""

from __future__ import annotations

import signal

import trio

from shallotmux.checking.processes._callers import JobLoad, StreamLoad
from shallotmux.checking.processes._child import wait_until
from shallotmux.checking.processes._cluster import INSTANCE_NAMES, Cluster
from shallotmux.checking.processes._report import CheckResult, format_spread

#: Streams that callers have open through a daemon before it is terminated.
MIN_OPEN_STREAMS = 2


async def check_shutdown(cluster: Cluster, rounds: int) -> CheckResult:
    """Check that SIGTERM interrupts no stream and fails no request."""
    result = CheckResult('SIGTERM of one daemon under streams', rounds)
    load = StreamLoad(cluster, should_resume=False)
    times: list[float] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        for round_number in range(rounds):
            name = INSTANCE_NAMES[round_number % len(INSTANCE_NAMES)]
            elapsed_s, code = await _stop_under_load(cluster, name, signal.SIGTERM)
            times.append(elapsed_s)
            if code:
                result.violations.append(f'{name}: exit code {code}')
        load.is_stopping = True
    _add_stream_results(result, load)
    result.figures.append(format_spread('shutdown', times))
    return result


async def check_kill(cluster: Cluster, rounds: int) -> CheckResult:
    """Check that streams are resumed and jobs run at most once when daemons are killed."""
    result = CheckResult('SIGKILL of one daemon under streams and jobs', rounds)
    streams = StreamLoad(cluster, should_resume=True)
    jobs = JobLoad(cluster)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(streams.run)
        nursery.start_soon(jobs.run)
        for round_number in range(rounds):
            await _stop_under_load(
                cluster, INSTANCE_NAMES[round_number % len(INSTANCE_NAMES)], signal.SIGKILL
            )
        streams.is_stopping = True
        jobs.is_stopping = True
    runs = await jobs.check_runs()
    _add_stream_results(result, streams)
    result.violations.extend(jobs.violations)
    result.figures.append(
        f'{len(jobs.done)} jobs done, {len(jobs.unknown)} unknown, {jobs.retries} sends repeated, '
        f'jobs by number of runs {dict(sorted(runs.items()))}'
    )
    return result


async def _stop_under_load(
    cluster: Cluster, name: str, signum: signal.Signals
) -> tuple[float, int]:
    await wait_until(lambda: cluster.open_streams[name] >= MIN_OPEN_STREAMS)
    result = await cluster.stop(name, signum)
    await cluster.start(name)
    await cluster.wait_until_ready()
    return result


def _add_stream_results(result: CheckResult, load: StreamLoad) -> None:
    result.violations.extend(load.violations)
    result.figures.append(
        f'{load.finished} streams, {load.resumed} resumed, '
        f'refused and sent again {dict(sorted(load.refusals.items()))}'
    )
