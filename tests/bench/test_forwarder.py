"""Tests of the forwarder's benchmark."""

from __future__ import annotations

import pytest

from shallotmux.bench._figures import Latency
from shallotmux.bench.forwarder import ForwarderFigures, measure_forwarder


@pytest.mark.parametrize(
    ('relayed_ms', 'cpu_ms', 'met'), [(6.0, 5.0, True), (6.1, 5.0, False), (6.0, 5.1, False)]
)
def test_targets_of_the_forwarder_are_compared(relayed_ms: float, cpu_ms: float, met: bool) -> None:
    """Guards against a missed target that is reported as met."""
    figures = ForwarderFigures(Latency((1.0, 1.0), (relayed_ms, relayed_ms)), cpu_ms)
    assert figures.meets_targets is met
    assert f'{cpu_ms:.2f} ms a request' in figures.render()


async def test_small_run_of_the_forwarder() -> None:
    """Guards against a benchmark that no longer runs."""
    figures = await measure_forwarder(3)
    assert len(figures.latency.direct) == len(figures.latency.relayed) == 3
