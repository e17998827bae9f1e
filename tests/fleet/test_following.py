"""Tests of entry instances that follow one control instance and report to the others."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import cycle

import trio
import trio.testing

from shallotmux.fleet import CustomerCount, FleetPoller, FleetView, Listing
from tests.fleet._controls import (
    ENDPOINTS,
    FIRST,
    FOURTH,
    SECOND,
    THIRD,
    WINDOW_S,
    ZONES,
    Controls,
    listing,
    make_poller,
    start_deployment,
)
from tests.support.log_lines import capture_lines

#: Bytes of an answer without the list of endpoints and without names.
SMALL_ANSWER = 600

ENTRIES = tuple(f'10.9.0.{number}:7' for number in (1, 2, 3, 4))


@asynccontextmanager
async def run_deployment(controls: Controls) -> AsyncIterator[list[FleetPoller]]:
    """Run control instances and four entry instances in two zones."""
    async with trio.open_nursery() as nursery:
        yield await start_deployment(nursery, controls)
        nursery.cancel_scope.cancel()


def names(view: FleetView) -> set[str]:
    """Return the identities in a view's list of endpoints."""
    return {each.identity for each in view.listing.endpoints}


async def test_each_zone_follows_its_first_control_instance_and_reports_to_the_others(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against whole lists across zones, and control instances without reports."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        await trio.sleep(12)
        assert controls.polled(as_main=True).keys() == {FIRST, THIRD}
        reported = controls.polled(as_main=False)
        assert reported.keys() == ZONES.keys()
        # Each of the four entry instances reports every 1.2 s; two of them follow one of these instead.
        assert 36 <= reported[SECOND] <= 44
        assert controls.largest_answer() < SMALL_ANSWER
        for each in pollers:
            assert each.view.entries == ENTRIES
            assert each.view.listing == ENDPOINTS
            assert each.view.entries_by_zone == {'a': ENTRIES[::2], 'b': ENTRIES[1::2]}
            assert each.view.zones[FOURTH] == 'b'
        assert pollers[1].view.neighbours == ENTRIES[1::2]
        assert all(each.entries() == ENTRIES for each in controls.services.values())


async def test_change_reaches_each_instance_within_an_interval(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a list that reaches the entry instances later than before."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        for name in ('x', 'y', 'z'):
            changed = listing(name)
            for each in controls.services.values():
                each.update_listing(changed, trio.current_time())
            controls.listing = changed
            await trio.sleep(0.41)
            assert all(each.view.listing == changed for each in pollers)


async def test_lost_control_instance_is_replaced_at_once_and_taken_back(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a fleet state that stands still with one control instance."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        controls.lost.add(FIRST)
        controls.listing = listing('new')
        await trio.sleep(0.8 + 0.4 + 0.5 + 0.1)
        assert names(pollers[0].view) == {'new'}
        controls.polls.clear()
        await trio.sleep(3)
        assert controls.polled(as_main=True).keys() == {SECOND, THIRD}
        controls.lost.clear()
        # It is called again within 3.7 s, and settled 2.5 s later.
        await trio.sleep(7)
        controls.polls.clear()
        await trio.sleep(2)
        assert controls.polled(as_main=True).keys() == {FIRST, THIRD}


async def test_lost_poll_is_followed_by_another_one_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a further interval without news after each poll that had no answer."""
    controls = Controls()
    async with run_deployment(controls):
        # Between two polls.
        await trio.sleep(0.2)
        controls.lost.add(FIRST)
        lost_at = trio.current_time()
        await trio.sleep(2)
        first_at: dict[str, float] = {}
        for each in controls.polls:
            if each.control == SECOND and not each.poll.is_report:
                first_at.setdefault(each.poll.sender, each.at)
        assert len(first_at) == 2
        assert max(first_at.values()) - lost_at < 0.4 + 0.5 + 0.01


async def test_move_and_return_between_equal_states_send_no_list(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against the whole list for each entry instance when a control instance is lost."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        controls.lost.add(FIRST)
        await trio.sleep(3)
        controls.lost.clear()
        await trio.sleep(4)
        assert controls.largest_answer() < SMALL_ANSWER
        assert pollers[0].view.listing == ENDPOINTS


async def test_zone_without_control_instances_follows_another_zone(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a zone that loses sight of the fleet with its control instances."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        controls.lost |= {FIRST, SECOND}
        controls.listing = listing('new')
        await trio.sleep(4)
        assert all(names(each.view) == {'new'} for each in pollers)


async def test_all_control_instances_lost_and_back(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against a poller that spins, or stops, while nobody answers."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        controls.lost |= set(ZONES)
        with capture_lines('shallotmux:control-followed') as lines:
            await trio.sleep(20)
        assert not lines
        controls.listing = listing('new')
        controls.lost.clear()
        await trio.sleep(4)
        assert all(names(each.view) == {'new'} for each in pollers)


async def test_restarted_control_instance_shortens_no_list_of_instances(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against shares of connections and of the retry budget for a fleet of one instance."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        shortest = len(ENTRIES)
        controls.start(FIRST)
        for _ in range(100):
            await trio.sleep(0.05)
            shortest = min(shortest, *(each.view.instances for each in pollers))
        assert shortest == len(ENTRIES)


async def test_only_instance_that_remains_is_seen_once_settled(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against instances that are gone and count for ever after a restart of all."""
    controls = Controls()
    controls.start(*ZONES)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(controls.read_lists)
        first, second = make_poller(controls), make_poller(controls, 2)
        with trio.move_on_after(5):
            async with trio.open_nursery() as others:
                others.start_soon(first.run)
                others.start_soon(second.run)
        assert first.view.instances == 2
        controls.start(*ZONES)
        nursery.start_soon(first.run)
        await trio.sleep(5)
        assert first.view.instances == 1
        nursery.cancel_scope.cancel()


async def test_control_instance_without_a_list_removes_nothing(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an empty list from a control instance that has just started."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        lists: list[Listing] = []
        for each in pollers:
            each.view.on_listing.append(lists.append)
        controls.without_list |= set(ZONES)
        controls.start(*ZONES)
        await trio.sleep(3)
        assert not lists
        assert pollers[0].view.listing == ENDPOINTS


async def test_control_instance_with_an_old_list_is_left(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against one control instance that cannot reach the platform and blinds its zone."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        controls.without_list.add(FIRST)
        await trio.sleep(0.8)
        controls.listing = listing('new')
        await trio.sleep(2)
        assert all(names(each.view) == {'new'} for each in pollers)


async def test_older_list_of_another_control_instance_replaces_no_newer_one(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against endpoints that come back when an instance moves to a control instance that lags."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        seen: list[Listing] = []
        pollers[0].view.on_listing.append(seen.append)
        controls.without_list.update((SECOND, THIRD, FOURTH))
        controls.listing = listing('new')
        await trio.sleep(1.3)
        assert names(pollers[0].view) == {'new'}
        controls.without_list.add(FIRST)
        controls.lost.add(FIRST)
        await trio.sleep(5)
        assert seen == [listing('new')]


async def test_two_control_instances_with_different_states_do_not_mix(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against two that both take themselves for the leader, or see different members."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        controls.without_list |= set(ZONES)
        seen: list[Listing] = []
        pollers[0].view.on_listing.append(seen.append)
        for number in range(6):
            for name, suffix in ((FIRST, 'first'), (SECOND, 'second')):
                state = listing(f'{suffix}-{number}', 'both')
                controls.services[name].update_listing(state, trio.current_time())
            controls.lost = {FIRST} if number % 2 else set()
            await trio.sleep(2)
        for each in seen:
            own = {one.identity.partition('-')[0] for one in each.endpoints}
            assert own in ({'first', 'both'}, {'second', 'both'})


async def test_late_answers_change_nothing_but_are_made_up_for(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an answer that arrives after a newer one and is applied."""
    controls = Controls()
    async with run_deployment(controls) as pollers:
        delays = cycle((0.45, 0.0, 0.6, 0.3, 0.7, 0.1))
        controls.delay_s = lambda _: next(delays)
        for number in range(10):
            controls.listing = listing(f'new-{number}')
            await trio.sleep(1.6)
        controls.delay_s = lambda _: 0.0
        await trio.sleep(4)
        assert all(names(each.view) == {'new-9'} for each in pollers)
        assert all(each.view.entries == ENTRIES for each in pollers)


async def test_usage_is_sent_once_and_again_after_a_restart(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against all windows in each poll, and against counts that a restart loses."""
    controls = Controls()
    controls.start(*ZONES)
    totals: dict[int, int] = {}
    clock = controls.services[FIRST]._clock  # noqa: SLF001

    def count() -> list[CustomerCount]:
        return [CustomerCount('tailors', window, each) for window, each in totals.items()]

    async with trio.open_nursery() as nursery:
        poller = make_poller(controls, counts=count)
        nursery.start_soon(poller.run)
        window = int(clock.now() / WINDOW_S)
        totals.update({window: 3, window - 1: 8})
        await trio.sleep(3)
        controls.polls.clear()
        await trio.sleep(3)
        assert not any(each.poll.counts for each in controls.polls)
        totals[window] = 4
        controls.start(THIRD)
        await trio.sleep(4)
        for each in controls.services.values():
            assert each.usage.totals(window) == {'tailors': 4}
            assert each.usage.totals(window - 1) == {'tailors': 8}
        nursery.cancel_scope.cancel()


async def test_counts_that_were_not_taken_are_sent_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against counts lost at a control instance whose clock was wrong for a while."""
    controls = Controls()
    controls.start(*ZONES)
    wrong = controls.services[SECOND]
    window = int(wrong._clock.now() / WINDOW_S)  # noqa: SLF001
    wrong._clock._local_offset += 3600  # noqa: SLF001
    poller = make_poller(controls, counts=lambda: [CustomerCount('tailors', window, 4)])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(poller.run)
        await trio.sleep(4)
        assert wrong.usage.totals(window) == {}
        wrong._clock._local_offset -= 3600  # noqa: SLF001
        await trio.sleep(2)
        assert wrong.usage.totals(window) == {'tailors': 4}
        nursery.cancel_scope.cancel()
