"""Tests of what the leader remembers of a service."""

from __future__ import annotations

from shallotmux.control._service_watch import ServiceWatch
from shallotmux.fleet import ListedEndpoint

LEAVING = ListedEndpoint('e-1', 'llm', '10.0.0.1:1', 'a', is_leaving=True, is_cheap=True)


def test_growing_list_is_waited_for() -> None:
    """Guards against orders that rest on the first half of a list."""
    watch = ServiceWatch(0)
    assert [watch.is_listed(count, count) for count in (0, 2, 4)] == [False, False, False]
    assert watch.is_listed(4, 4)
    assert watch.is_listed(0, 4.5)


def test_service_without_endpoints_is_not_waited_for_for_ever() -> None:
    """Guards against a service that never gets its first endpoint."""
    watch = ServiceWatch(0)
    assert not watch.is_listed(0, 4)
    assert watch.is_listed(0, 6)


def test_reclaimed_zone_is_closed_and_an_emptied_one_is_not() -> None:
    """Guards against own orders taken for a reclaim."""
    watch = ServiceWatch(0)
    assert watch.closed_zones([LEAVING], 10) == {'a'}
    watch.note_release('a', 10)
    assert not watch.closed_zones([LEAVING], 11)


def test_zone_opens_again() -> None:
    """Guards against zones that are never asked for cheap endpoints again."""
    watch = ServiceWatch(0)
    watch.note_unavailable('b', 10)
    assert watch.closed_zones([], 11) == {'b'}
    assert not watch.closed_zones([], 13)
