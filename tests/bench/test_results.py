"""Tests of the benchmark and its results."""

from __future__ import annotations

from pathlib import Path

import pytest

from shallotmux.bench import BenchResults, BenchSize, Spread, run_bench, summarize
from shallotmux.bench._results import Latency, percentile


def test_spread_and_percentile() -> None:
    """Guards against a median or percentile that hides slow calls."""
    assert summarize([3, 1, 2]) == Spread(2, 1, 3)
    assert percentile(tuple(range(1, 101)), 99) == 99
    assert percentile((5.0,), 99) == 5


@pytest.mark.parametrize(('token_us', 'met'), [(35, True), (36, False)])
def test_targets_are_compared(token_us: float, met: bool) -> None:
    """Guards against a missed target that is reported as met."""
    latency = Latency((1.0, 1.0), (2.0, 6.0))
    results = BenchResults((token_us,), (9.0,), (1.0,), (latency,), 10)
    assert latency.added_ms() == 3
    assert results.meets_targets() is met
    assert '3.00 (3.00 to 3.00)' in results.render()


async def test_small_run_relays_every_token(tmp_path: Path) -> None:
    """Guards against a benchmark that fails to run or miscounts tokens."""
    results = await run_bench(BenchSize(1, 3, 4, 0.001, 2), tmp_path)
    assert (results.tokens, len(results.latency)) == (12, 1)
