"""Checks that end one daemon after another under load."""

from __future__ import annotations

import signal

import trio

from shallotmux.checking.processes._callers import JobLoad, StreamLoad
from shallotmux.checking.processes._child import until
from shallotmux.checking.processes._fleet import NAMES, Fleet
from shallotmux.checking.processes._report import Row, spread

#: Streams that callers have open through a daemon when it is ended.
OPEN_STREAMS = 2


async def check_shutdown(fleet: Fleet, rounds: int) -> Row:
    """Check that SIGTERM cuts no stream and fails no request."""
    row = Row('SIGTERM of one daemon under streams', rounds)
    load = StreamLoad(fleet, resumes=False)
    times: list[float] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        for turn in range(rounds):
            name = NAMES[turn % len(NAMES)]
            elapsed_s, code = await _end_under_load(fleet, name, signal.SIGTERM)
            times.append(elapsed_s)
            if code:
                row.violations.append(f'{name}: exit code {code}')
        load.stopping = True
    _add_streams(row, load)
    row.figures.append(spread('shutdown', times))
    return row


async def check_kill(fleet: Fleet, rounds: int) -> Row:
    """Check that streams are resumed and jobs run once when daemons are killed."""
    row = Row('SIGKILL of one daemon under streams and jobs', rounds)
    streams = StreamLoad(fleet, resumes=True)
    jobs = JobLoad(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(streams.run)
        nursery.start_soon(jobs.run)
        for turn in range(rounds):
            await _end_under_load(fleet, NAMES[turn % len(NAMES)], signal.SIGKILL)
        streams.stopping = True
        jobs.stopping = True
    runs = await jobs.check_runs()
    _add_streams(row, streams)
    row.violations.extend(jobs.violations)
    row.figures.append(
        f'{len(jobs.done)} jobs done, {len(jobs.unknown)} unknown, {jobs.resent} sends repeated, '
        f'jobs by number of runs {dict(sorted(runs.items()))}'
    )
    return row


async def _end_under_load(fleet: Fleet, name: str, number: signal.Signals) -> tuple[float, int]:
    await until(lambda: fleet.open_streams[name] >= OPEN_STREAMS)
    result = await fleet.end(name, number)
    await fleet.start(name)
    await fleet.until_ready()
    return result


def _add_streams(row: Row, load: StreamLoad) -> None:
    row.violations.extend(load.violations)
    row.figures.append(
        f'{load.finished} streams, {load.resumed} resumed, '
        f'refused and sent again {dict(sorted(load.refusals.items()))}'
    )
