"""Tests of the history of software versions."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from shallotmux.origins import MAX_LIST_GAP_S, MAX_STREAM_LIFE_S, NO_HISTORY, VersionHistory

DESK_V1 = ('desk', 'v1')
DESK_V2 = ('desk', 'v2')


async def observe_for(history: VersionHistory, seconds: float, *versions: tuple[str, str]) -> None:
    """Observe lists once a second."""
    for _ in range(int(seconds)):
        await trio.sleep(1)
        history.observe(versions, trio.current_time())


@pytest.fixture
def complete() -> VersionHistory:
    """Return the history of a deployment that starts for the first time."""
    history = VersionHistory()
    history.assume_complete()
    return history


async def test_single_version_of_a_new_deployment_is_known(
    autojump_clock: trio.testing.MockClock, complete: VersionHistory
) -> None:
    """Guards against a new deployment that cannot resume streams for minutes."""
    await observe_for(complete, 2, DESK_V1, ('other', 'v7'))
    assert complete.single_version('desk', trio.current_time()) == 'v1'


async def test_history_of_a_restarted_instance_is_not_complete(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an instance that forgot a version that has just left."""
    history = VersionHistory()
    await observe_for(history, MAX_STREAM_LIFE_S - 1, DESK_V1)
    assert history.single_version('desk', trio.current_time()) is None
    await observe_for(history, 3, DESK_V1)
    assert history.single_version('desk', trio.current_time()) == 'v1'


async def test_version_that_has_left_counts_while_its_streams_may_last(
    autojump_clock: trio.testing.MockClock, complete: VersionHistory
) -> None:
    """Guards against a stream of a version that has left that goes on at the next one."""
    await observe_for(complete, 2, DESK_V1)
    await observe_for(complete, 2, DESK_V1, DESK_V2)
    await observe_for(complete, MAX_STREAM_LIFE_S - 2, DESK_V2)
    assert complete.single_version('desk', trio.current_time()) is None
    await observe_for(complete, 4, DESK_V2)
    assert complete.single_version('desk', trio.current_time()) == 'v2'


async def test_nothing_is_derived_from_an_old_list(
    autojump_clock: trio.testing.MockClock, complete: VersionHistory
) -> None:
    """Guards against an instance that is cut off while another version comes into service."""
    await observe_for(complete, 2, DESK_V1)
    await trio.sleep(MAX_LIST_GAP_S + 0.1)
    assert complete.single_version('desk', trio.current_time()) is None


async def test_version_may_have_come_and_gone_in_a_gap(
    autojump_clock: trio.testing.MockClock, complete: VersionHistory
) -> None:
    """Guards against a history that takes versions in a gap between two lists for known."""
    await observe_for(complete, 2, DESK_V1)
    await trio.sleep(MAX_LIST_GAP_S + 5)
    await observe_for(complete, 2, DESK_V1)
    assert complete.single_version('desk', trio.current_time()) is None


async def test_report_fills_the_history_of_a_restarted_instance(
    autojump_clock: trio.testing.MockClock, complete: VersionHistory
) -> None:
    """Guards against entry instances that know nothing for minutes after a restart."""
    await observe_for(complete, 5, DESK_V1)
    restarted = VersionHistory()
    restarted.merge(NO_HISTORY, trio.current_time())
    assert restarted.single_version('desk', trio.current_time()) is None
    restarted.merge(complete.build_report(trio.current_time()), trio.current_time())
    restarted.observe((DESK_V1,), trio.current_time())
    assert restarted.single_version('desk', trio.current_time()) == 'v1'


async def test_report_names_versions_that_this_instance_missed(
    autojump_clock: trio.testing.MockClock, complete: VersionHistory
) -> None:
    """Guards against an instance that derives a version although another one knows of two."""
    other = VersionHistory()
    other.assume_complete()
    await observe_for(complete, 3, DESK_V1)
    other.observe((DESK_V1, DESK_V2), trio.current_time())
    complete.merge(other.build_report(trio.current_time()), trio.current_time())
    assert complete.single_version('desk', trio.current_time()) is None


async def test_delayed_report_does_not_make_a_list_newer(
    autojump_clock: trio.testing.MockClock, complete: VersionHistory
) -> None:
    """Guards against an old list that looks fresh, since its report was delayed."""
    await observe_for(complete, 3, DESK_V1)
    sent_at = trio.current_time()
    report = complete.build_report(sent_at)
    await trio.sleep(MAX_LIST_GAP_S + 1)
    late = VersionHistory()
    late.merge(report, sent_at)
    assert late.single_version('desk', trio.current_time()) is None


async def test_repeated_reports_do_not_prolong_a_version(
    autojump_clock: trio.testing.MockClock, complete: VersionHistory
) -> None:
    """Guards against ages that grow or shrink each time they are passed on."""
    entry = VersionHistory()
    await observe_for(complete, 1, DESK_V1)
    for _ in range(int(MAX_STREAM_LIFE_S) + 3):
        sent_at = trio.current_time()
        await trio.sleep(0.4)
        complete.observe((DESK_V2,), trio.current_time())
        report = complete.build_report(trio.current_time())
        await trio.sleep(0.6)
        entry.merge(report, sent_at)
        entry.observe((DESK_V2,), sent_at)
    assert entry.single_version('desk', trio.current_time()) == 'v2'
