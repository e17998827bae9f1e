"""Tests of the state that the leader keeps for a service."""

from __future__ import annotations

from shallotmux.control._service_watch import ServiceTracker
from shallotmux.fleet import ListedEndpoint

LEAVING = ListedEndpoint('e-1', 'llm', '10.0.0.1:1', 'a', is_leaving=True, is_cheap=True)


def test_growing_list_is_not_complete() -> None:
    """Guards against orders that are based on a partial list."""
    tracker = ServiceTracker(0)
    assert [tracker.is_listing_complete(count, count) for count in (0, 2, 4)] == [
        False,
        False,
        False,
    ]
    assert tracker.is_listing_complete(4, 4)
    assert tracker.is_listing_complete(0, 4.5)


def test_empty_list_is_complete_after_timeout() -> None:
    """Guards against a service that never gets its first endpoint."""
    tracker = ServiceTracker(0)
    assert not tracker.is_listing_complete(0, 4)
    assert tracker.is_listing_complete(0, 6)


def test_reclaimed_zone_is_unavailable_and_a_released_one_is_not() -> None:
    """Guards against endpoints released by an order that are taken for reclaimed ones."""
    tracker = ServiceTracker(0)
    assert tracker.unavailable_zones([LEAVING], 10) == {'a'}
    tracker.record_release('a', 10)
    assert not tracker.unavailable_zones([LEAVING], 11)


def test_zone_becomes_available_again() -> None:
    """Guards against zones in which cheap endpoints are never ordered again."""
    tracker = ServiceTracker(0)
    tracker.record_unavailable('b', 10)
    assert tracker.unavailable_zones([], 11) == {'b'}
    assert not tracker.unavailable_zones([], 13)
