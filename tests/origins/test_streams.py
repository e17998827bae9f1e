"""Tests of what an entry instance derives from the lists that it has seen."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from shallotmux.origins import Continuation, KnownFrom, StreamOrigins, Unknown, _streams
from shallotmux.suspension import SuspensionMonitor


async def test_nothing_is_derived_from_a_list_of_before_a_suspension(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a machine that was suspended and takes its list for new.

    The clock that the age of the list is measured with does not count the suspension.
    """
    suspended_s = 0.0
    monkeypatch.setattr(
        _streams, 'SuspensionMonitor', lambda: SuspensionMonitor(lambda: suspended_s)
    )
    origins = StreamOrigins()
    origins.history.assume_complete()
    origins.observe({('desk', 'v1')}, trio.current_time())
    assert await origins.find(1, 'desk') == Continuation('desk', 'v1', KnownFrom.HISTORY)
    suspended_s = 30.0
    assert isinstance(await origins.find(1, 'desk'), Unknown)
    await trio.sleep(0.1)
    origins.observe({('desk', 'v1')}, trio.current_time())
    assert isinstance(await origins.find(1, 'desk'), Continuation)
