"""Tests of orders for endpoints against a platform that starts and reclaims them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from types import SimpleNamespace

import msgspec
import pytest
import trio
import trio.testing

from shallotmux.authority import GroupState
from shallotmux.control import FleetOrder, KnowledgeService
from shallotmux.control._border import DutyHolder, DutyOutcome
from shallotmux.control._duties import LeaderDependencies
from shallotmux.control._ordering import Autoscaler
from shallotmux.fleet import (
    EngineRole,
    ListedEndpoint,
    Listing,
    Poll,
    ServiceDemand,
    TrueClock,
    encode_knowledge,
)
from shallotmux.routes import CallerLimits, EngineProfile, FleetBounds, RouteDocument, Service

BOOT_S = 4.0
PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25}
SERVICE = Service(
    'llm',
    '/healthz',
    8,
    EngineProfile(64, 400_000, 1000, 1e6, 5, 3),
    FleetBounds(1, 3, BOOT_S, 0.15, PRICES),
)


@dataclass
class Platform:
    """Endpoints of one service; an ordered one is listed when it has started."""

    desk: KnowledgeService
    endpoints: list[ListedEndpoint] = field(default_factory=list)
    orders: list[FleetOrder] = field(default_factory=list)
    closed: set[str] = field(default_factory=set)
    number: int = 0

    def add(self, zone: str, *, is_cheap: bool) -> None:
        """Let an endpoint be ready."""
        self.number += 1
        self.endpoints.append(
            ListedEndpoint(
                f'e-{self.number}',
                'llm',
                f'10.0.0.{self.number}:1',
                zone,
                64,
                role=EngineRole.PREFILL,
                is_cheap=is_cheap,
            )
        )
        self.publish()

    def reclaim(self, zone: str) -> None:
        """Announce that the cheap endpoints of a zone go, and close the zone for others."""
        self.closed.add(zone)
        self.endpoints = [
            msgspec.structs.replace(each, is_leaving=True)
            if each.zone == zone and each.is_cheap
            else each
            for each in self.endpoints
        ]
        self.publish()

    def publish(self) -> None:
        """Let the desk know the list."""
        self.desk.update_listing(Listing(tuple(self.endpoints)), trio.current_time())

    def count(self, zone: str = '', *, is_cheap: bool) -> int:
        """Return the endpoints of a kind that stay."""
        return sum(
            each.is_cheap is is_cheap and not each.is_leaving and zone in {'', each.zone}
            for each in self.endpoints
        )

    async def order_endpoints(self, order: FleetOrder, holder: DutyHolder) -> DutyOutcome:
        """Carry out an order."""
        self.orders.append(order)
        present = self.count(order.zone, is_cheap=order.is_cheap)
        if order.is_cheap and order.zone in self.closed and order.count > present:
            return DutyOutcome.UNAVAILABLE
        if order.count > present:
            self.nursery.start_soon(self._start, order, order.count - present)
        for _ in range(present - order.count):
            gone = next(
                each
                for each in self.endpoints
                if each.zone == order.zone and each.is_cheap is order.is_cheap
            )
            self.endpoints.remove(gone)
        self.publish()
        return DutyOutcome.ACCEPTED

    nursery: trio.Nursery = field(init=False)

    async def _start(self, order: FleetOrder, count: int) -> None:
        await trio.sleep(BOOT_S)
        for _ in range(count):
            self.add(order.zone, is_cheap=order.is_cheap)


@pytest.fixture
async def platform(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> AsyncIterator[Platform]:
    """Return a platform whose service is looked after by a leader."""
    desk = KnowledgeService(GroupState(), TrueClock(), lambda: ('10.0.0.1:7',))
    platform = Platform(desk)
    platform.nursery = nursery
    term = SimpleNamespace(holder=lambda: DutyHolder('core', 1), note=lambda *_: None)
    table = SimpleNamespace(document=RouteDocument(1, (), (SERVICE,), CallerLimits(), ()))
    duty = Autoscaler(LeaderDependencies(desk, platform, term, lambda: table))  # type: ignore[arg-type]
    nursery.start_soon(duty.run)
    return platform


def demand(platform: Platform, tokens_per_s: float) -> None:
    """Let the leader know what has to be read."""
    demands = (ServiceDemand('llm', tokens_per_s),)
    platform.desk.answer(encode_knowledge(Poll('entry~1', 0, (), demands)))


async def run_under(platform: Platform, tokens_per_s: float, seconds: int) -> None:
    """Let time pass under a demand."""
    for _ in range(seconds):
        demand(platform, tokens_per_s)
        await trio.sleep(1)


async def test_nothing_is_ordered_before_the_service_is_listed(platform: Platform) -> None:
    """Guards against orders that take away endpoints which are not listed yet: seen at each start."""
    platform.publish()
    await run_under(platform, 0, 4)
    assert not platform.orders
    for zone in PRICES:
        platform.add(zone, is_cheap=False)
        platform.add(zone, is_cheap=False)
    await run_under(platform, 0, 2)
    assert platform.orders
    assert all(order.is_cheap for order in platform.orders)


async def test_reclaimed_zone_is_replaced_at_once(platform: Platform) -> None:
    """Guards against seconds in which a reclaimed zone is asked for cheap endpoints first."""
    for zone in PRICES:
        for _ in range(3):
            platform.add(zone, is_cheap=True)
    await run_under(platform, 110_000, 10)
    platform.orders.clear()
    platform.reclaim('c')
    await run_under(platform, 110_000, 2)
    assert not platform.orders[0].is_cheap


async def test_regular_replacements_go_soon_after_cheap_ones_are_back(platform: Platform) -> None:
    """Guards against replacements that are paid for long after a reclaim: hornknap-drift quiet-1."""
    for zone in PRICES:
        for _ in range(3):
            platform.add(zone, is_cheap=True)
    await run_under(platform, 110_000, 10)
    platform.reclaim('c')
    await run_under(platform, 110_000, 8)
    assert platform.count(is_cheap=False) >= 2
    platform.closed.clear()
    platform.endpoints = [each for each in platform.endpoints if not each.is_leaving]
    platform.publish()
    await run_under(platform, 110_000, 11)
    assert platform.count(is_cheap=False) <= 1
