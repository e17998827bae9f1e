"""Tests of log lines about events that repeat."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing
from eliot import add_destinations, remove_destination

from shallotmux.repeats import MAX_CAUSES, REPEAT_INTERVAL_S, RepeatLog

MESSAGE_TYPE = 'shallotmux:refused'


@pytest.fixture(name='lines')
def _capture_lines() -> Any:
    lines: list[dict[str, Any]] = []

    def write(message: dict[str, Any]) -> None:
        # The first destination also gets what was logged before it was added.
        if message['message_type'] == MESSAGE_TYPE:
            lines.append(message)

    add_destinations(write)
    yield lines
    remove_destination(write)


async def test_cause_is_logged_once_and_then_with_a_count(
    lines: list[dict[str, Any]], autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a refusal that repeats unnoticed, or fills the log."""
    log = RepeatLog(MESSAGE_TYPE)
    for _ in range(41):
        log.record('too many voters', change='x')
        await trio.sleep(REPEAT_INTERVAL_S / 40)
    log.record('not caught up')
    assert [(each['reason'], each['count']) for each in lines] == [
        ('too many voters', 1),
        ('too many voters', 41),
        ('not caught up', 1),
    ]
    assert lines[0]['change'] == 'x'


async def test_number_of_counted_causes_is_bounded(
    lines: list[dict[str, Any]], autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against memory that grows with causes that name a peer or an operation."""
    log = RepeatLog(MESSAGE_TYPE)
    for number in range(MAX_CAUSES + 1):
        log.record(f'cause {number}')
    log.record('cause 1')
    log.record('cause 0')
    assert len(lines) == MAX_CAUSES + 2
