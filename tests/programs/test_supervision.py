"""Tests of restarting background tasks that fail."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import trio
from eliot import add_destinations, remove_destination
from prometheus_client import CollectorRegistry

from shallotmux.errors import StorageError
from shallotmux.fleet import Listing
from shallotmux.programs._supervision import (
    INITIAL_PAUSE_S,
    MAX_PAUSE_S,
    STABLE_S,
    Supervisor,
)
from tests.programs.test_programs import (
    make_document,
    put_document,
    send_work,
    start_fleet,
    wait_for_status,
)
from tests.support.networks import private_network

#: Time in which a task fails some dozens of times.
LONG_S = 60.0

#: Failed calls during which the programs must serve: several of each.
FAILED_CALLS = 12


class FailingTask:
    """Fails after a time in each run, and records when it was started."""

    def __init__(self, error: Exception, after_s: float = 0.0) -> None:
        self.started: list[float] = []
        self._error = error
        self._after_s = after_s

    async def run(self) -> None:
        """Fail."""
        self.started.append(trio.current_time())
        await trio.sleep(self._after_s)
        raise self._error

    def pauses(self) -> list[float]:
        """Return the pauses between the end of a run and the next one."""
        following = zip(self.started, self.started[1:], strict=False)
        return [round(later - earlier - self._after_s, 3) for earlier, later in following]


async def run_beside(task: Callable[[], Awaitable[None]], registry: CollectorRegistry) -> int:
    """Run a task beside a sound one for a while; returns how often the sound one has worked."""
    worked = 0

    async def work() -> None:
        nonlocal worked  # noqa: WPS420
        while True:
            await trio.sleep(1)
            worked += 1

    supervisor = Supervisor(registry)
    with trio.move_on_after(LONG_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervisor.run, 'odd', task)
            nursery.start_soon(supervisor.run, 'sound', work)
    return worked


async def test_failed_task_is_restarted_beside_the_others(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an error in one background task that ends the process."""
    registry = CollectorRegistry()
    lines: list[dict[str, Any]] = []
    add_destinations(lines.append)
    task = FailingTask(RecursionError('too deep'))
    try:
        assert await run_beside(task.run, registry) >= LONG_S - 2
    finally:
        remove_destination(lines.append)
    assert task.pauses()[:3] == [INITIAL_PAUSE_S, 2 * INITIAL_PAUSE_S, 4 * INITIAL_PAUSE_S]
    assert max(task.pauses()) == MAX_PAUSE_S
    failures = registry.get_sample_value('shallotmux_task_failures_total', {'task': 'odd'})
    assert failures == len(task.started)
    logged = [each for each in lines if each['message_type'] == 'shallotmux:task-failed']
    assert len(logged) == len(task.started)
    assert (logged[0]['error_type'], logged[0]['task']) == ('RecursionError', 'odd')


async def test_pause_is_short_again_after_a_time_without_failure(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a task that waits long after a rare failure."""
    task = FailingTask(ValueError('odd'), STABLE_S)
    await run_beside(task.run, CollectorRegistry())
    assert task.pauses() == [INITIAL_PAUSE_S]


@pytest.mark.parametrize(
    'error',
    [
        StorageError('disk full', step='write'),
        ExceptionGroup('tasks', [ValueError('odd'), StorageError('disk full', step='write')]),
    ],
)
async def test_error_of_the_storage_is_not_held_back(
    autojump_clock: trio.testing.MockClock, error: Exception
) -> None:
    """Guards against an instance that goes on with a state that its disk does not have."""
    with pytest.raises(type(error)), trio.fail_after(LONG_S):
        await Supervisor(CollectorRegistry()).run('odd', FailingTask(error).run)


async def test_task_that_returns_is_not_restarted(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a task that has finished and is run again."""
    ended = []

    async def finish() -> None:
        ended.append(trio.current_time())

    await Supervisor(CollectorRegistry()).run('short', finish)
    assert len(ended) == 1


async def test_programs_serve_while_reading_the_list_fails(tmp_path: Path) -> None:
    """Guards against control and entry programs that end since one cannot read the list."""
    async with start_fleet(private_network(92), tmp_path) as fleet:
        assert await put_document(fleet, 1, make_document(4, '/a/')) == 200
        await wait_for_status(fleet, '/a/', 200)
        fleet.platform.failure = OverflowError('too large')
        while fleet.platform.failed_calls < FAILED_CALLS:
            assert await send_work(fleet, '/a/') == 200
        assert await put_document(fleet, 2, make_document(5, '/b/')) == 200
        await wait_for_status(fleet, '/b/', 200)
        fleet.platform.failure = None
        fleet.platform.listing = Listing()
        await wait_for_status(fleet, '/b/', 503)
