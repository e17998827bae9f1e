"""Tests of the autoscaler with a platform that starts and reclaims endpoints."""

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
from shallotmux.control._autoscaler import Autoscaler
from shallotmux.control._duties import CONTROL_LOOP_S, LeaderDependencies
from shallotmux.control._platform import DutyHolder, DutyOutcome
from shallotmux.fleet import (
    EngineRole,
    ListedEndpoint,
    Listing,
    Poll,
    ServiceDemand,
    TrueClock,
    encode_fleet_message,
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
    """Platform with one service; an ordered endpoint is listed once it has booted."""

    knowledge: KnowledgeService
    endpoints: list[ListedEndpoint] = field(default_factory=list)
    orders: list[FleetOrder] = field(default_factory=list)
    unavailable: set[str] = field(default_factory=set)
    #: Zones in which orders for fewer endpoints are refused.
    unreleased: set[str] = field(default_factory=set)
    number: int = 0
    #: Calls taken in one second; further ones are refused.
    calls_per_s: int = 1000
    called_at: list[float] = field(default_factory=list)

    def add(self, zone: str, *, is_cheap: bool) -> None:
        """Add a ready endpoint."""
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
        """Mark the cheap endpoints of a zone as leaving, and refuse orders for others there."""
        self.unavailable.add(zone)
        self.endpoints = [
            msgspec.structs.replace(each, is_leaving=True)
            if each.zone == zone and each.is_cheap
            else each
            for each in self.endpoints
        ]
        self.publish()

    def publish(self) -> None:
        """Pass the list to the leader."""
        self.knowledge.update_listing(Listing(tuple(self.endpoints)), trio.current_time())

    def count(self, zone: str = '', *, is_cheap: bool) -> int:
        """Return the number of endpoints of a kind that are not leaving."""
        return sum(
            each.is_cheap is is_cheap and not each.is_leaving and zone in {'', each.zone}
            for each in self.endpoints
        )

    async def order_endpoints(self, order: FleetOrder, holder: DutyHolder) -> DutyOutcome:
        """Carry out an order."""
        self.orders.append(order)
        now = trio.current_time()
        self.called_at = [each for each in self.called_at if now - each < 1]
        if len(self.called_at) >= self.calls_per_s:
            return DutyOutcome.LIMITED
        self.called_at.append(now)
        present = self.count(order.zone, is_cheap=order.is_cheap)
        if order.is_cheap and order.zone in self.unavailable and order.count > present:
            return DutyOutcome.UNAVAILABLE
        if order.zone in self.unreleased and order.count < present:
            return DutyOutcome.UNKNOWN
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
    """Return a platform whose service is scaled by a running autoscaler."""
    knowledge = KnowledgeService(GroupState(), TrueClock(), lambda: ('10.0.0.1:7',))
    platform = Platform(knowledge)
    platform.nursery = nursery
    term = SimpleNamespace(
        holder=lambda: DutyHolder('instance', 1, SimpleNamespace(check=lambda: None)),
        record_outcome=lambda *_: None,
    )
    table = SimpleNamespace(document=RouteDocument(1, (), (SERVICE,), CallerLimits(), ()))
    autoscaler = Autoscaler(
        LeaderDependencies(knowledge, platform, term, lambda: table),  # type: ignore[arg-type]
    )
    nursery.start_soon(autoscaler.run)
    return platform


def report_demand(platform: Platform, tokens_per_s: float) -> None:
    """Report a demand to the leader."""
    demands = (ServiceDemand('llm', tokens_per_s),)
    platform.knowledge.answer(encode_fleet_message(Poll('entry~1', 0, (), demands)))


async def run_under(platform: Platform, tokens_per_s: float, seconds: int) -> None:
    """Report a demand each second for a number of seconds."""
    for _ in range(seconds):
        report_demand(platform, tokens_per_s)
        await trio.sleep(1)


async def test_nothing_is_ordered_before_the_service_is_listed(
    platform: Platform, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against orders at the start of a leader that release endpoints not listed yet."""
    # Half an interval apart from the autoscaler: at equal times, the scheduler's order of the two
    # tasks would decide whether the last order is seen.
    await trio.sleep(CONTROL_LOOP_S / 2)
    platform.publish()
    await run_under(platform, 0, 4)
    assert not platform.orders
    for zone in PRICES:
        platform.add(zone, is_cheap=False)
        platform.add(zone, is_cheap=False)
    await run_under(platform, 0, 2)
    assert platform.orders
    assert all(order.is_cheap for order in platform.orders)


async def test_reclaimed_zone_is_replaced_at_once(
    platform: Platform, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against a delay in which cheap endpoints are ordered in a reclaimed zone first."""
    for zone in PRICES:
        for _ in range(3):
            platform.add(zone, is_cheap=True)
    await run_under(platform, 110_000, 10)
    platform.orders.clear()
    platform.reclaim('c')
    await run_under(platform, 110_000, 2)
    assert not platform.orders[0].is_cheap


async def test_regular_replacements_are_released_once_cheap_ones_are_back(
    platform: Platform, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against regular replacements that are kept, and paid for, long after a reclaim."""
    for zone in PRICES:
        for _ in range(3):
            platform.add(zone, is_cheap=True)
    await run_under(platform, 110_000, 10)
    platform.reclaim('c')
    await run_under(platform, 110_000, 8)
    assert platform.count(is_cheap=False) >= 2
    platform.unavailable.clear()
    platform.endpoints = [each for each in platform.endpoints if not each.is_leaving]
    platform.publish()
    await run_under(platform, 110_000, 11)
    assert platform.count(is_cheap=False) <= 1


async def test_refused_release_does_not_hold_up_others(
    platform: Platform, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against endpoints that are paid for as long as one zone refuses to release any."""
    platform.unreleased.add('c')
    for zone in PRICES:
        for _ in range(3):
            platform.add(zone, is_cheap=False)
    await run_under(platform, 1, 30)
    assert platform.count('c', is_cheap=False) == 3
    assert platform.count('a', is_cheap=False) == 0


async def test_order_beyond_the_limit_of_calls_is_repeated_soon(
    platform: Platform, autojump_clock: trio.testing.MockClock
) -> None:
    """Guards against zones without endpoints for seconds after the platform took no more calls."""
    platform.calls_per_s = 1
    for zone in PRICES:
        platform.add(zone, is_cheap=False)
    await run_under(platform, 110_000, int(len(PRICES) + BOOT_S + 4))
    assert all(platform.count(zone, is_cheap=True) for zone in PRICES)
    assert len(platform.orders) < 30
