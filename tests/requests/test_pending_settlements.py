"""Tests of settlements that wait until the authority is available again."""

from __future__ import annotations

from collections import deque
from types import SimpleNamespace
from typing import Any

import trio
import trio.testing

from shallotmux.authority import JobId, ReleaseJob
from shallotmux.requests import RequestSettings
from shallotmux.requests._jobs import Jobs


def release(number: int) -> ReleaseJob:
    """Return a settlement."""
    return ReleaseJob(f'release-{number}', JobId('tailors', 'orders', str(number)), 'entry-1/a/r')


async def test_settlement_added_to_a_full_queue_is_not_dropped(
    autojump_clock: trio.testing.MockClock, nursery: trio.Nursery
) -> None:
    """Guards against a settlement that is removed in place of the one that was submitted.

    While the first is submitted, another one is added to the full queue, which evicts the first.
    """
    submitted: list[str] = []
    pending: deque[ReleaseJob] = deque((release(1), release(2)), maxlen=2)

    async def submit(command: ReleaseJob) -> str:
        if not submitted:
            pending.append(release(3))
        submitted.append(command.operation_id)
        return 'applied'

    def read() -> Any:
        return SimpleNamespace(ledger=SimpleNamespace(jobs={}))

    authority = SimpleNamespace(submit=submit, read=read, is_fresh=lambda: True)
    jobs = Jobs(authority, RequestSettings(), float, 'entry-1', 'a', pending)  # type: ignore[arg-type]
    nursery.start_soon(jobs.settle_pending)
    await trio.sleep(5)
    assert submitted == ['release-1', 'release-2', 'release-3']
    nursery.cancel_scope.cancel()
