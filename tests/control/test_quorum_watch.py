"""Tests of what an instance tells about a group that has lost its quorum."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
import trio
import trio.testing
from prometheus_client import CollectorRegistry

from shallotmux.control import QuorumWatch
from shallotmux.control._quorum_watch import LOST_AFTER_S, MAX_REPEAT_S, SILENT_AFTER_S
from shallotmux.programs._control_gauges import ControlGauges
from tests.control._instances import SEEDS, ControlGroup
from tests.support.log_lines import capture_lines

LEARNER = '10.0.0.4:7'
HOUR_S = 3600.0


@pytest.fixture(name='lines')
def _capture_lines() -> Iterator[list[dict[str, Any]]]:
    with capture_lines('shallotmux:quorum-lost', 'shallotmux:quorum-regained') as lines:
        yield lines


def watch(group: ControlGroup, nursery: trio.Nursery, name: str) -> QuorumWatch:
    """Start a watch on an instance."""
    quorum = QuorumWatch(group.running[name].member)
    nursery.start_soon(quorum.run)
    return quorum


async def test_lost_quorum_is_told_with_the_missing_voters(
    group: ControlGroup,
    nursery: trio.Nursery,
    lines: list[dict[str, Any]],
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a group that has lost its majority and says neither so nor who is missing."""
    quorum = watch(group, nursery, SEEDS[0])
    await trio.sleep(2 * LOST_AFTER_S)
    assert not lines
    await group.kill(SEEDS[2])
    await trio.sleep(2 * LOST_AFTER_S)
    assert not lines, 'one lost voter of three'
    await group.kill(SEEDS[1])
    await trio.sleep(LOST_AFTER_S + 1)
    assert [each['message_type'] for each in lines] == ['shallotmux:quorum-lost']
    assert sorted(lines[0]['voters']) == sorted(SEEDS)
    assert (lines[0]['needed'], lines[0]['votes']) == (2, True)
    assert set(lines[0]['silent_s']) == {SEEDS[1], SEEDS[2]}
    silent_s = lines[0]['silent_s']
    assert silent_s[SEEDS[1]] >= SILENT_AFTER_S
    assert silent_s[SEEDS[2]] > silent_s[SEEDS[1]]
    assert quorum.is_lost
    await group.start(SEEDS[1])
    await group.wait_for_leader()
    await trio.sleep(1)
    assert lines[-1]['message_type'] == 'shallotmux:quorum-regained'
    assert lines[-1]['lasted_s'] >= LOST_AFTER_S
    assert not quorum.is_lost


async def test_lines_about_a_lost_quorum_are_bounded(
    group: ControlGroup,
    nursery: trio.Nursery,
    lines: list[dict[str, Any]],
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a log that is filled by, or falls silent about, a group that stays down."""
    watch(group, nursery, SEEDS[0])
    for name in SEEDS[1:]:
        await group.kill(name)
    await trio.sleep(HOUR_S / 6)
    at_first = len(lines)
    assert at_first <= HOUR_S / 6 / MAX_REPEAT_S + 5
    await trio.sleep(2 * MAX_REPEAT_S)
    assert len(lines) - at_first in {1, 2}


async def test_member_without_a_vote_names_no_silent_voters(
    group: ControlGroup,
    nursery: trio.Nursery,
    lines: list[dict[str, Any]],
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against running voters that are said to be missing, as they send it no messages."""
    await group.start(LEARNER)
    await trio.sleep(4)
    watch(group, nursery, LEARNER)
    for name in SEEDS[1:]:
        await group.kill(name)
    await trio.sleep(2 * LOST_AFTER_S)
    assert lines[-1]['silent_s'] == {}
    assert lines[-1]['votes'] is False
    assert lines[-1]['answering'] == [SEEDS[0]]


async def test_new_instance_whose_seeds_are_gone_says_that_nobody_answers(
    group: ControlGroup,
    nursery: trio.Nursery,
    lines: list[dict[str, Any]],
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a replacement that never finds the group and says nothing."""
    await group.start(LEARNER, seeds=('10.0.0.77:7',))
    watch(group, nursery, LEARNER)
    await trio.sleep(2 * LOST_AFTER_S)
    assert (lines[-1]['voters'], lines[-1]['answering']) == ([], [])


async def test_metrics_tell_that_no_leader_is_known(
    group: ControlGroup, nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a metrics page on which a group without a leader looks like a sound one."""
    quorum = watch(group, nursery, SEEDS[0])
    registry = CollectorRegistry()
    gauges = ControlGauges(registry)
    await trio.sleep(2 * LOST_AFTER_S)
    gauges.update(group.running[SEEDS[0]].member, quorum)
    assert registry.get_sample_value('shallotmux_leader_known') == 1
    assert (registry.get_sample_value('shallotmux_seconds_without_leader') or 0) < 1
    for name in SEEDS[1:]:
        await group.kill(name)
    await trio.sleep(2 * LOST_AFTER_S)
    gauges.update(group.running[SEEDS[0]].member, quorum)
    assert registry.get_sample_value('shallotmux_leader_known') == 0
    assert (registry.get_sample_value('shallotmux_seconds_without_leader') or 0) > LOST_AFTER_S
