"""Restart background tasks that fail, so that an error in one of them does not end the process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from prometheus_client import CollectorRegistry, Counter

from shallotmux.errors import StorageError
from shallotmux.programs._failures import log_errors

#: Pause before a failed task is restarted; it doubles with each failure up to the maximum. The maximum
#: is below the time in which changes must be in effect and leaving endpoints get no new work.
INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 1.6

#: Time without a failure after which the pause is the initial one again.
STABLE_S = 30.0


class Supervisor:
    """Runs background tasks, and restarts each alone with exponential backoff when it fails.

    A task that fails again and again is restarted for ever, at the longest pause: a restart of the
    process would meet the same input, and the other tasks serve callers meanwhile. Tasks whose failure
    leaves state or a listener behind that cannot be trusted must not run here, but end the process:
    the member of the replication group, the network between instances, and the listeners.

    :param registry: registry of the counter of failures.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._failures = Counter(
            'shallotmux_task_failures', 'Failed background tasks.', ['task'], registry=registry
        )

    async def run(self, name: str, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it returns or is cancelled.

        :param name: name of the task in log lines and metrics.
        :raises StorageError: if the task does; the state on the disk is rebuilt then.
        """
        failures = self._failures.labels(name)
        pause_s = INITIAL_PAUSE_S
        while True:
            began_at = trio.current_time()
            try:
                await task()
            except Exception as error:  # noqa: BLE001
                if _concerns_storage(error):
                    raise
                if trio.current_time() - began_at >= STABLE_S:
                    pause_s = INITIAL_PAUSE_S
                failures.inc()
                log_errors('shallotmux:task-failed', error, task=name, restart_in_s=pause_s)
            else:
                return
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)


def _concerns_storage(error: Exception) -> bool:
    """Return whether an error, or one in a group, is of the storage."""
    if isinstance(error, ExceptionGroup):
        return error.subgroup(StorageError) is not None
    return isinstance(error, StorageError)
