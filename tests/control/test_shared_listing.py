"""Tests of the list of endpoints that the control instances share."""

from __future__ import annotations

from collections import Counter

import pytest
import trio
import trio.testing

from shallotmux.control import answer_listing_request
from shallotmux.control._shared_listing import (
    ASK_INTERVAL_S,
    ASK_TIMEOUT_S,
    SHARED_MARGIN_S,
    START_SPREAD_S,
    PollTurn,
)
from shallotmux.transport import Refusal
from tests.control._listing_fleet import INTERVAL_S, NAMES, ListingFleet, listing
from tests.control.test_knowledge import make_service

#: Oldest list of an instance that reads the platform's list itself: the interval and two calls.
OWN_AGE_S = INTERVAL_S + 0.05
#: The leader may be lost when it is about to read the list, and each instance has just asked it.
MAX_GAP_S = INTERVAL_S + ASK_INTERVAL_S + ASK_TIMEOUT_S + START_SPREAD_S + 0.1


async def test_calls_to_the_platform_are_those_of_one_instance(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a call of each instance for the same list, and lists that get old instead."""
    fleet = ListingFleet()
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(3)
        began_at = trio.current_time()
        highest_s = await fleet.watch(40)
        calls = fleet.platform.calls_after(began_at)
        assert set(calls) == {NAMES[0]}
        assert len(calls) == pytest.approx(40 / INTERVAL_S, rel=0.05)
        assert highest_s < OWN_AGE_S + 0.25
        fleet.platform.listed = listing('e-2')
        await trio.sleep(OWN_AGE_S + 0.25)
        assert {each.listing for each in fleet.services.values()} == {listing('e-2')}
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('lost_at_s', [5.0, 5.2, 5.4, 5.6, 5.79])
async def test_lost_leader_is_replaced_by_own_calls_at_different_moments(
    lost_at_s: float,
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against lists that stop with the leader, and calls of all instances at one moment."""
    fleet = ListingFleet()
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(lost_at_s)
        fleet.lost.add(NAMES[0])
        lost_at = trio.current_time()
        assert await fleet.watch(5) < MAX_GAP_S
        first = {name: at for at, name in reversed(fleet.platform.calls) if at > lost_at}
        assert first.keys() >= set(NAMES[1:])
        assert len({round(first[name], 2) for name in NAMES[1:]}) >= 4
        fleet.leader = NAMES[1]
        await trio.sleep(1)
        elected_at = trio.current_time()
        assert await fleet.watch(10) < OWN_AGE_S + 0.25
        assert set(fleet.platform.calls_after(elected_at)) == {NAMES[0], NAMES[1]}
        nursery.cancel_scope.cancel()


async def test_leadership_that_moves_leaves_no_gap(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against lists that get old whenever a sound leader hands over."""
    fleet = ListingFleet()
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(5)
        for leader in NAMES[1:4]:
            fleet.leader = leader
            assert await fleet.watch(3) < OWN_AGE_S + 0.3
        moved_at = trio.current_time()
        await trio.sleep(5)
        assert set(fleet.platform.calls_after(moved_at)) == {NAMES[3]}
        nursery.cancel_scope.cancel()


async def test_followers_call_while_the_leader_does_not_reach_the_platform(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against one broken link by which all instances keep an old list."""
    fleet = ListingFleet()
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(5)
        fleet.platform.cut_off.add(NAMES[0])
        await trio.sleep(3)
        fleet.platform.listed = listing('e-9')
        await trio.sleep(1)
        followers = {name: fleet.services[name].listing for name in NAMES[1:]}
        assert set(followers.values()) == {listing('e-9')}
        fleet.platform.cut_off.clear()
        await trio.sleep(2)
        regained_at = trio.current_time()
        await trio.sleep(10)
        assert set(fleet.platform.calls_after(regained_at)) == {NAMES[0]}
        nursery.cancel_scope.cancel()


async def test_only_a_follower_that_is_cut_off_from_the_leader_calls(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an old list behind a broken link between two control instances."""
    fleet = ListingFleet()
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(5)
        fleet.lost.add(NAMES[3])
        await trio.sleep(3)
        cut_at = trio.current_time()
        await trio.sleep(10)
        assert set(fleet.platform.calls_after(cut_at)) == {NAMES[0], NAMES[3]}
        assert fleet.services[NAMES[3]].listing_age_s(trio.current_time()) < OWN_AGE_S
        nursery.cancel_scope.cancel()


async def test_late_answer_of_the_leader_is_as_old_as_its_list(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an age that leaves out the delay of the answer."""
    fleet = ListingFleet(answer_delay_s=0.4)
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(5)
        before = fleet.platform.listed
        fleet.platform.listed = listing('e-9')
        changed_at = trio.current_time()
        while trio.current_time() < changed_at + 3:
            await trio.sleep(0.02)
            now = trio.current_time()
            for each in fleet.services.values():
                was_read_later = now - each.listing_age_s(now) > changed_at
                assert each.listing == listing('e-9') or not was_read_later
        assert {each.listing for each in fleet.services.values()} != {before}
        nursery.cancel_scope.cancel()


async def test_older_list_never_replaces_a_newer_one(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a slow answer of the platform after a newer list of the leader, or the reverse."""
    knowledge = make_service()
    await trio.sleep(10)
    knowledge.update_listing(listing('new'), 9.0)
    knowledge.update_listing(listing('old'), 8.0)
    assert knowledge.listing == listing('new')
    assert knowledge.listing_age_s(10.0) == pytest.approx(1.0)


@pytest.mark.parametrize('earlier', [NAMES[:1], NAMES[1:4]])
async def test_builds_side_by_side(
    earlier: tuple[str, ...], autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a leader of the earlier build that shares nothing, and followers of it."""
    fleet = ListingFleet(earlier=set(earlier))
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(3)
        began_at = trio.current_time()
        assert await fleet.watch(20) < OWN_AGE_S + 0.25
        callers = Counter(fleet.platform.calls_after(began_at))
        is_leader_earlier = NAMES[0] in earlier
        assert set(callers) == (set(NAMES) if is_leader_earlier else {NAMES[0], *earlier})
        nursery.cancel_scope.cancel()


async def test_odd_requests_are_refused(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a list of an instance that does not lead, and requests of any bytes."""
    knowledge = make_service()
    knowledge.update_listing(listing('e-1'), 0.0)
    refused = answer_listing_request(knowledge, b'\x90', leads=False)
    assert refused.refusal is Refusal.NOT_COMMITTED
    assert answer_listing_request(knowledge, b'\xc1', leads=True).refusal is Refusal.INVALID
    assert answer_listing_request(knowledge, b'\x90', leads=True).refusal is Refusal.NONE


def test_former_leader_calls_until_the_next_one_has_a_list() -> None:
    """Guards against a gap after each change of the leader."""
    turn = PollTurn(INTERVAL_S, lambda: 0.5)
    assert not turn.next_in(0.0, leads=False)
    turn.shared_at = 5.0
    turn.next_in(5.1, leads=False)
    assert not turn.is_own
    assert not turn.next_in(10.0, leads=True)
    turn.polled_at = 10.0
    assert turn.next_in(10.1, leads=False) == pytest.approx(INTERVAL_S - 0.1)
    turn.shared_at = 10.2
    turn.next_in(10.3, leads=False)
    assert not turn.is_own
    old_at = 10.2 + turn.max_age_s + 0.01
    assert turn.next_in(old_at, leads=False) == pytest.approx(START_SPREAD_S / 2)
    assert not turn.next_in(old_at + START_SPREAD_S / 2, leads=False)
    assert turn.max_age_s == pytest.approx(INTERVAL_S + SHARED_MARGIN_S)
