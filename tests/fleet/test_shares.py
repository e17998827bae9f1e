"""Tests of entry instances that follow the shares of a control instance of their zone."""

from __future__ import annotations

import trio
import trio.testing

from shallotmux.control import OverflowTask
from shallotmux.fleet import FleetPoller, ListedEndpoint, Listing, TrueClock
from shallotmux.overflow import SHARES_TTL_S, OverflowDecider, ServiceUse
from shallotmux.routes import CallerLimits, RouteDocument
from tests.fleet._controls import FIRST, SECOND, ZONES, Controls

WORKERS = Listing(
    tuple(ListedEndpoint(f'w-{zone}', 'desk', '10.1.0.1:1', zone, 10) for zone in 'ab')
)
DEMANDS = {'a': 18.0, 'b': 1.0}

#: Share that the overloaded zone sends at least.
MIN_SENT = 0.3


def make_poller(controls: Controls, zone: str, number: int) -> FleetPoller:
    """Return the poller of one of two entry instances of a zone."""
    use = ServiceUse('desk', DEMANDS[zone] / 2 / 0.09, 90.0, 2.0)
    return FleetPoller(
        f'10.9.0.{number}:7~{number}',
        controls,  # type: ignore[arg-type]
        ZONES,
        lambda _: RouteDocument(1, (), (), CallerLimits(), ()),
        TrueClock(),
        tuple,
        zone=zone,
        uses=lambda: (use,),
    )


async def start(nursery: trio.Nursery, controls: Controls) -> list[FleetPoller]:
    """Start two entry instances in each zone, and deciders on all control instances."""
    controls.listing = WORKERS
    controls.start(*ZONES)
    nursery.start_soon(controls.read_lists)
    for name, service in controls.services.items():
        nursery.start_soon(OverflowTask(service, OverflowDecider(ZONES[name], 1.0)).run)
    pollers = [make_poller(controls, 'ab'[number % 2], number + 1) for number in range(4)]
    for each in pollers:
        nursery.start_soon(each.run)
    await trio.sleep(20)
    return pollers


def is_sending(poller: FleetPoller) -> bool:
    """Return whether an instance of the overloaded zone follows its decider."""
    return sent(poller) > MIN_SENT


def sent(poller: FleetPoller) -> float:
    """Return the share that an instance sends to other zones; -1 if it knows none."""
    shares = poller.view.shares.of_service('desk', trio.current_time())
    away = [each.share for each in shares if each.to_zone != each.from_zone]
    return sum(away) if shares else -1.0


async def test_zone_follows_its_second_decider(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against shares that lapse or jump with one control instance, or add up with two."""
    controls = Controls()
    async with trio.open_nursery() as nursery:
        pollers = await start(nursery, controls)
        before = [sent(each) for each in pollers]
        assert is_sending(pollers[0])
        assert before[0] == before[2]
        assert not before[1]
        controls.lost.add(FIRST)
        for _ in range(20):
            await trio.sleep(0.5)
            assert [sent(each) for each in pollers] == before
        nursery.cancel_scope.cancel()


async def test_shares_lapse_without_a_decider_in_the_zone(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against instances that follow a zone's last decision for good, or another zone's."""
    controls = Controls()
    async with trio.open_nursery() as nursery:
        pollers = await start(nursery, controls)
        controls.lost |= {FIRST, SECOND}
        await trio.sleep(SHARES_TTL_S - 0.5)
        assert is_sending(pollers[0])
        await trio.sleep(1)
        assert sent(pollers[0]) < 0
        assert not sent(pollers[1])
        controls.lost.clear()
        await trio.sleep(12)
        assert is_sending(pollers[0])
        nursery.cancel_scope.cancel()
