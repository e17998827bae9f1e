"""Tests of request metrics and of decision metrics."""

from __future__ import annotations

from typing import Any

import pytest
import trio
from trio.testing import MockClock

from shallotmux.http import ErrorBody, Receive, Scope, Send, send_chunk, send_error, send_start
from shallotmux.observability import (
    DecisionLog,
    DecisionRecord,
    MeteredApp,
    Metrics,
    label_request,
)


async def run_app(app: Any, metrics: Metrics) -> None:
    """Send one request to a metered application."""

    async def discard(message: Any) -> None:
        await trio.lowlevel.checkpoint()

    scope = {'type': 'http', 'method': 'POST', 'path': '/', 'headers': []}
    await MeteredApp(app, metrics)(scope, trio.sleep_forever, discard)  # type: ignore[arg-type]


async def stream_three(scope: Scope, receive: Receive, send: Send) -> None:
    """Stream three parts, 0.5 s and then 0.03 s apart."""
    label_request(scope, 'sorter', 'tailors')
    await send_start(send, 200, 'text/event-stream')
    for delay_s in (0.5, 0.03, 0.03):
        await trio.sleep(delay_s)
        await send_chunk(send, b'x')
    await send_chunk(send, b'', more=False)


async def test_stream_is_measured(autojump_clock: MockClock) -> None:
    """Guards against wrong values of the time to first token and of the gap between tokens."""
    metrics = Metrics()
    await run_app(stream_three, metrics)
    value = metrics.registry.get_sample_value
    route = {'route': 'sorter'}
    assert value('shallotmux_first_token_seconds_sum', route) == pytest.approx(0.5)
    assert value('shallotmux_token_gap_seconds_count', route) == 2
    assert value('shallotmux_token_gap_seconds_sum', route) == pytest.approx(0.06)
    labels = {**route, 'customer': 'tailors', 'outcome': 'ok'}
    assert value('shallotmux_requests_total', labels) == 1
    assert value('shallotmux_requests_in_flight') == 0


@pytest.mark.parametrize(
    ('status', 'outcome'), [(401, 'refused'), (503, 'not_run'), (502, 'unknown')]
)
async def test_refusals_are_counted_by_outcome(status: int, outcome: str) -> None:
    """Guards against counting a refusal as not run when its outcome is unknown."""

    async def refuse(scope: Scope, receive: Receive, send: Send) -> None:
        await send_error(send, ErrorBody(status, 'code', 'message'))

    metrics = Metrics()
    await run_app(refuse, metrics)
    labels = {'route': 'none', 'customer': 'none', 'outcome': outcome}
    assert metrics.registry.get_sample_value('shallotmux_requests_total', labels) == 1


async def test_failed_stream_is_counted_as_interrupted() -> None:
    """Guards against counting a failed stream as a success."""

    async def fail(scope: Scope, receive: Receive, send: Send) -> None:
        await send_start(send, 200, 'text/event-stream')
        raise ConnectionResetError

    metrics = Metrics()
    with pytest.raises(ConnectionResetError):
        await run_app(fail, metrics)
    labels = {'route': 'none', 'customer': 'none', 'outcome': 'interrupted'}
    assert metrics.registry.get_sample_value('shallotmux_requests_total', labels) == 1


def test_number_of_reason_labels_is_bounded() -> None:
    """Guards against unbounded label values when reasons contain figures."""
    metrics = Metrics()
    log = DecisionLog('entry-1', 10, metrics)
    for number in range(40):
        log.record(DecisionRecord('routing', 's', 'e', f'load {number}', {}, 0))
    log.record(DecisionRecord('role', 's', 'e', 'load', {}, 0))
    value = metrics.registry.get_sample_value
    assert value('shallotmux_routing_decisions_total', {'reason': 'load 0'}) == 1
    assert value('shallotmux_routing_decisions_total', {'reason': 'other'}) == 8
    assert len(log.recent(100)) == 10
