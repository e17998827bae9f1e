"""Tests of the memory of beginnings, and of the decision where a stream goes on."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from shallotmux.origins import (
    MAX_STREAM_LIFE_S,
    UNCERTAIN_VERSION,
    Continuation,
    Knowledge,
    KnownFrom,
    Origin,
    OriginReport,
    OriginStore,
    Unknown,
    choose_version,
)
from shallotmux.origins import _store as store_module

V1 = Origin('desk', 'v1', 0)
V2 = Origin('desk', 'v2', 0)


async def test_two_beginnings_under_one_id_leave_the_version_uncertain(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a reused request id that binds a stream to the wrong version."""
    store = OriginStore()
    store.add(1, V1)
    store.merge((OriginReport(1, 'desk', 'v2', 0),))
    found = store.find(1)
    assert found is not None
    assert found.version == UNCERTAIN_VERSION
    store.add(1, V1)
    assert store.build_reports([1])[0].version == UNCERTAIN_VERSION


async def test_beginnings_are_forgotten_after_the_life_of_a_stream(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against memory that grows with the number of streams."""
    store = OriginStore()
    store.add(1, Origin('desk', 'v1', trio.current_time()))
    await trio.sleep(MAX_STREAM_LIFE_S + 1)
    assert store.find(1) is None
    store.add(2, Origin('desk', 'v1', trio.current_time()))
    assert len(store) == 1


async def test_memory_is_bounded(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory without bound under load; the oldest beginnings go first."""
    monkeypatch.setattr(store_module, 'MAX_ORIGINS', 10)
    store = OriginStore()
    for key in range(100):
        store.add(key, Origin('desk', 'v1', trio.current_time()))
    assert len(store) == 10
    assert store.find(99) is not None


@pytest.mark.parametrize(
    ('own', 'told', 'single', 'expected'),
    [
        (V1, None, None, Continuation('desk', 'v1', KnownFrom.OWN)),
        (None, V2, None, Continuation('desk', 'v2', KnownFrom.CONTROL)),
        (None, None, 'v3', Continuation('desk', 'v3', KnownFrom.HISTORY)),
        # What is known goes before what would follow from the history.
        (V1, None, 'v3', Continuation('desk', 'v1', KnownFrom.OWN)),
        # A route that splits its traffic may draw another service for a retry.
        (
            None,
            Origin('other', 'v1', 0),
            'v3',
            Continuation('other', 'v1', KnownFrom.CONTROL),
        ),
    ],
)
def test_stream_goes_on_at_the_version_that_is_known(
    own: Origin | None, told: Origin | None, single: str | None, expected: Continuation
) -> None:
    """Guards against streams that go on at a version other than their own."""
    assert choose_version(Knowledge(own, told, single, 'desk')) == expected


@pytest.mark.parametrize(
    ('own', 'told', 'single'),
    [
        (None, None, None),
        (V1, V2, None),
        (V1, V2, 'v1'),
        (Origin('desk', UNCERTAIN_VERSION, 0), None, 'v1'),
        (None, Origin('desk', UNCERTAIN_VERSION, 0), 'v1'),
    ],
)
def test_stream_whose_version_is_not_certain_does_not_go_on(
    own: Origin | None, told: Origin | None, single: str | None
) -> None:
    """Guards against guesses."""
    assert isinstance(choose_version(Knowledge(own, told, single, 'desk')), Unknown)
