"""Tests of the forwarder's benchmark."""

from __future__ import annotations

import pytest

from shallotmux.bench._results import Latency
from shallotmux.bench.forwarder import ForwarderResults, measure_forwarder


@pytest.mark.parametrize(
    ('forwarded_ms', 'cpu_ms', 'met'), [(6.0, 5.0, True), (6.1, 5.0, False), (6.0, 5.1, False)]
)
def test_targets_of_the_forwarder_are_compared(
    forwarded_ms: float, cpu_ms: float, met: bool
) -> None:
    """Guards against a missed target that is reported as met."""
    results = ForwarderResults(Latency((1.0, 1.0), (forwarded_ms, forwarded_ms)), cpu_ms)
    assert results.meets_targets is met
    assert f'{cpu_ms:.2f} ms a request' in results.render()


async def test_small_run_of_the_forwarder() -> None:
    """Guards against a benchmark that fails to run."""
    results = await measure_forwarder(3)
    assert len(results.latency.direct) == len(results.latency.relayed) == 3
