"""Check of a restart of a whole zone after a kill of all its daemons."""

from __future__ import annotations

import signal
from typing import Any

import trio

from shallotmux.checking.processes._callers import JobLoad
from shallotmux.checking.processes._changes import Withdrawal
from shallotmux.checking.processes._child import DEADLINE_S, POLL_S
from shallotmux.checking.processes._fleet import CUSTOMER, NAMES, READY_PREFIX, Fleet
from shallotmux.checking.processes._report import Row, spread
from shallotmux.operators import ObjectName

#: Changes of which one creates a key, one withdraws it, and the others put customers.
KEY_EVERY = 25
JOBS = 20
VIEWS = ('customer', 'pool', 'route', 'key')


async def check_restart(fleet: Fleet, rounds: int, changes: int) -> Row:
    """Check that configuration, keys and ledger survive a kill of all daemons at once."""
    row = Row(f'all daemons killed after {changes} changes', rounds)
    times = []
    for turn in range(rounds):
        await _make_changes(fleet, turn, changes)
        jobs = JobLoad(fleet)
        for number in range(JOBS):
            await jobs.book(f'restart-{turn}-{number}', number)
        answers = dict(jobs.done)
        before = await _read_views(fleet, NAMES[0])
        async with trio.open_nursery() as nursery:
            for killed in NAMES:
                nursery.start_soon(fleet.end, killed, signal.SIGKILL)
        times.append(await _restart_all(fleet))
        await fleet.until_ready()
        for name in NAMES:
            after = await _read_views(fleet, name)
            changed = [view for view in VIEWS if after[view] != before[view]]
            row.violations.extend(f'{name}: {view} differ after the restart' for view in changed)
        for number, job in enumerate(answers):
            await jobs.book(job, number)
        if jobs.done != answers or jobs.unknown:
            row.violations.append('stored answers of jobs differ after the restart')
        await jobs.check_runs()
        row.violations.extend(jobs.violations)
    row.figures.append(spread('first accepted request after the start', times))
    return row


async def _make_changes(fleet: Fleet, turn: int, changes: int) -> None:
    """Put customers, and now and then create a key and withdraw every other one."""
    for number in range(changes):
        operator = fleet.operator(NAMES[number % len(NAMES)])
        if number % KEY_EVERY:
            place = ObjectName('customer', f'customer-{turn}-{number}')
            await operator.put(place, {'contract': {'connections': number}}, 0)
            continue
        key = await operator.create_key(CUSTOMER)
        if number % (2 * KEY_EVERY):
            await operator.withdraw_key(str(key['key_id']))


async def _read_views(fleet: Fleet, name: str) -> dict[str, Any]:
    """Return the objects and keys, except for those of :meth:`Fleet.until_ready`."""
    operator = fleet.operator(name)
    views = {view: (await operator.view(view))['items'] for view in VIEWS}
    return {
        view: [each for each in found if not str(each.get('name', '')).startswith(READY_PREFIX)]
        for view, found in views.items()
    }


async def _restart_all(fleet: Fleet) -> float:
    """Start all daemons, and return the seconds until one accepts a request with a key."""
    started = trio.current_time()
    probe = Withdrawal(fleet, fleet.secret)
    async with trio.open_nursery() as nursery:
        for started_name in NAMES:
            nursery.start_soon(fleet.start, started_name)
    with trio.fail_after(DEADLINE_S):
        while not await _is_admitted_anywhere(probe):
            await trio.sleep(POLL_S)
    return trio.current_time() - started


async def _is_admitted_anywhere(probe: Withdrawal) -> bool:
    return any([await probe.is_admitted(name) for name in NAMES])
