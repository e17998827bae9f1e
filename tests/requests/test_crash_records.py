"""Tests of crash reports that the zone's group does not take."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
import trio.testing

from shallotmux.errors import AuthorityUnavailable, EndpointRefused, OutcomeUnknown
from shallotmux.requests._crashes import CrashTracker, RunningRequest
from shallotmux.requests._settings import RequestSettings
from shallotmux.world import Endpoint
from tests.support.log_lines import capture_lines


@pytest.mark.parametrize('error', (AuthorityUnavailable, OutcomeUnknown))
async def test_crash_that_is_not_recorded_is_told(
    error: type[Exception], autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a request that crashes engine after engine while no crash is recorded."""

    async def refuse(command: Any) -> None:
        raise error('no leader is known')

    async def fail(endpoint: Endpoint) -> None:
        raise EndpointRefused('connection refused')

    tracker = CrashTracker(
        SimpleNamespace(submit=refuse),  # type: ignore[arg-type]
        SimpleNamespace(load=fail),  # type: ignore[arg-type]
        RequestSettings(),
        float,
        'entry-1',
    )
    endpoint = Endpoint('e-1', 'a', '10.0.0.1:1')
    tracker.add_attempt('e-1', 'attempt-1', RunningRequest('fingerprint'))
    with capture_lines('shallotmux:crashes:unrecorded') as lines:
        assert await tracker.report_broken_stream(endpoint, 'attempt-1', on_trial=False)
    assert [(each['reason'], each['detail']) for each in lines] == [
        ('RecordCrash', 'no leader is known')
    ]
