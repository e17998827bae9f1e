"""Tests of the timeout of separate prefills."""

from __future__ import annotations

import pytest

from shallotmux.estimates import Estimator, Work
from shallotmux.fleet import EngineRole, ListedEndpoint
from shallotmux.forwarding._prefill import PrefillCall
from shallotmux.forwarding._state import EndpointState
from shallotmux.placement import PhaseTime


def test_prefill_timeout_is_not_shortened_by_a_correction() -> None:
    """Guards against prefills that are given up in the time that the cost model expects."""
    estimator = Estimator()
    state = EndpointState(ListedEndpoint('p-0', 'llm', '10.0.0.1:1', 'a', role=EngineRole.PREFILL))
    for number in range(30):
        time = PhaseTime(service_ms=400.0 + 20 * number)
        estimator.record(state, estimator.estimate_phase(state, Work.PREFILL, time, 0.0), 1.0, 0.0)
    corrected = estimator.estimate_phase(state, Work.PREFILL, PhaseTime(service_ms=4000.0), 0.0)
    assert corrected.total_ms < 2000
    call = PrefillCall(state, (), 1.0, corrected.total_ms, corrected)
    assert call.timeout_s == pytest.approx(11.5)
