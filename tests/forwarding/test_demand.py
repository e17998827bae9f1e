"""Tests of the demand that instances report to the leader."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.forwarding._demand import PrefillDemandMeter


async def test_start_of_a_burst_shows_within_two_seconds(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against engines that are released, or ordered late, while a burst begins."""
    meter = PrefillDemandMeter()
    for second in range(10):
        meter.record('llm', 1000 if second < 8 else 6000)
        await trio.sleep(1)
    assert meter.rates()['llm'] >= 6000 * 0.6


async def test_single_long_prompt_is_averaged(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a fleet that grows with one long prompt."""
    meter = PrefillDemandMeter()
    meter.record('llm', 30_000)
    await trio.sleep(2)
    assert meter.rates()['llm'] == 30_000 / 4
    await trio.sleep(3)
    assert meter.rates()['llm'] == 0
