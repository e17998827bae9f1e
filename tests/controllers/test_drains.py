"""Tests of draining an engine before an order."""

from __future__ import annotations

from types import SimpleNamespace

import trio
import trio.testing

from shallotmux.controllers import wait_idle
from shallotmux.world import Endpoint
from tests.support.log_lines import capture_lines

STUCK_S = 60.0


async def test_drain_that_waits_for_streams_is_told(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an order, and all later ones to its target, held up for ever silently."""
    began_at = trio.current_time()

    async def load(endpoint: Endpoint) -> SimpleNamespace:
        return SimpleNamespace(running=int(trio.current_time() - began_at < STUCK_S))

    engines = SimpleNamespace(load=load)
    with capture_lines('shallotmux:drain:streams_running') as lines:
        assert await wait_idle(engines, Endpoint('e-1', 'a', '10.0.0.1:1'))  # type: ignore[arg-type]
    assert 5 <= len(lines) <= 7
    assert lines[-1]['endpoint'] == 'e-1'
    assert lines[-1]['count'] > 100
