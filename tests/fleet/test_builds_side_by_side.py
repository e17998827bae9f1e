"""Tests of entry and control instances of which some are of the earlier build."""

from __future__ import annotations

import msgspec
import pytest
import trio
import trio.testing

from shallotmux.fleet import CustomerCount, decode_knowledge, decode_poll
from tests.fleet._controls import (
    ENDPOINTS,
    FIRST,
    SECOND,
    WINDOW_S,
    ZONES,
    Controls,
    EarlierKnowledge,
    EarlierPoll,
    listing,
    make_poller,
    start_deployment,
)

ENTRIES = tuple(f'10.9.0.{number}:7' for number in (1, 2, 3, 4))


async def test_poll_of_the_earlier_build_gets_everything_in_its_fields(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against entry instances without endpoints while control instances are replaced first."""
    controls = Controls()
    controls.start(FIRST)
    service = controls.services[FIRST]
    payload = msgspec.msgpack.encode(EarlierPoll('10.9.0.5:7~5', 0, zone='a'))
    unread = msgspec.msgpack.decode(service.answer(payload).result, type=EarlierKnowledge)
    assert unread.listing is None
    service.update_listing(ENDPOINTS, trio.current_time())
    await trio.sleep(1)
    answer = msgspec.msgpack.decode(service.answer(payload).result, type=EarlierKnowledge)
    assert answer.listing == ENDPOINTS
    assert answer.listing_age_s == pytest.approx(1)
    assert answer.entries == answer.neighbours == ('10.9.0.5:7',)
    assert answer.peers == tuple(ZONES)


async def test_messages_of_the_earlier_build_are_decoded(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against fields without defaults."""
    poll = EarlierPoll('a~1', 3, (CustomerCount('c', 1, 2),), zone='a')
    decoded = decode_poll(msgspec.msgpack.encode(poll))
    assert (decoded.sender, decoded.counts, decoded.zone) == ('a~1', poll.counts, 'a')
    assert decoded.known_endpoints is None
    assert not decoded.is_report
    knowledge = EarlierKnowledge(0, b'', (FIRST,), ENDPOINTS, 0.5, ENTRIES, 1.0)
    assert decode_knowledge(msgspec.msgpack.encode(knowledge)).incarnation == 0


async def test_entry_instance_gets_all_from_control_instances_of_the_earlier_build(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against entry instances without endpoints while they are replaced first."""
    controls = Controls(earlier=set(ZONES))
    async with trio.open_nursery() as nursery:
        pollers = await start_deployment(nursery, controls)
        controls.listing = listing('new')
        await trio.sleep(2)
        for each in pollers:
            assert each.view.listing == listing('new')
            assert each.view.entries == ENTRIES
        assert pollers[1].view.neighbours == ENTRIES[1::2]
        assert set(pollers[0].peers) == set(ZONES)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('earlier', [FIRST, SECOND])
async def test_half_replaced_control_instances_give_one_state(
    earlier: str, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against states of two builds of which one hides changes of the other."""
    controls = Controls(earlier={earlier})
    async with trio.open_nursery() as nursery:
        pollers = await start_deployment(nursery, controls)
        for lost in (FIRST, SECOND, FIRST):
            controls.lost = {lost}
            controls.listing = listing(f'without-{lost}', 'other')
            await trio.sleep(4)
            for each in pollers:
                assert {one.identity for one in each.view.listing.endpoints} == {
                    f'without-{lost}',
                    'other',
                }
                assert each.view.entries == ENTRIES
        nursery.cancel_scope.cancel()


async def test_report_to_the_earlier_build_shortens_no_list_of_instances(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against the few instances that a restarted one of the earlier build knows."""
    controls = Controls(earlier={SECOND})
    async with trio.open_nursery() as nursery:
        pollers = await start_deployment(nursery, controls)
        controls.start(SECOND)
        for _ in range(60):
            await trio.sleep(0.05)
            assert all(each.view.entries == ENTRIES for each in pollers)
        nursery.cancel_scope.cancel()


async def test_control_instance_of_the_earlier_build_gets_all_counts(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against counts that one of the earlier build loses when it restarts, unnoticed."""
    controls = Controls(earlier={SECOND})
    controls.start(*ZONES)
    window = int(controls.services[SECOND]._clock.now() / WINDOW_S)  # noqa: SLF001
    poller = make_poller(controls, counts=lambda: [CustomerCount('tailors', window, 4)])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(poller.run)
        await trio.sleep(4)
        controls.start(SECOND)
        await trio.sleep(2)
        assert controls.services[SECOND].usage.totals(window) == {'tailors': 4}
        nursery.cancel_scope.cancel()
