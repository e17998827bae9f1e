"""Tests of quotas with tasks, datagrams, log lines and metrics."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing
from eliot import add_destinations, remove_destination

from shallotmux.quotas import Charge, CustomerQuotas, OverQuota, QuotaTerms
from shallotmux.quotas._customer_quotas import ANSWER_TIMEOUT_S
from shallotmux.quotas._promises import PROMISE_S
from shallotmux.routes import CustomerQuota, DocumentCustomer, QuotaUnit, RouteDocument, RouteTable

NAMES = tuple(f'10.0.0.{number}:1' for number in range(3))
QUOTA = CustomerQuota(10_000, 10_000, QuotaUnit.TOKENS, 200)
CUSTOMERS = (DocumentCustomer('tailors', ('k1',), quota=QUOTA), DocumentCustomer('smiths', ('k2',)))

#: Time until there is a granter, and its bucket is full.
READY_S = PROMISE_S + 3

#: Time in which another instance grants after one has resigned: a hold, a round, and messages.
HANDED_OVER_S = 0.7


@pytest.fixture
def lines() -> Iterator[list[dict[str, object]]]:
    """Return the log lines of the test."""
    written: list[dict[str, object]] = []
    add_destinations(written.append)
    # Lines of before the first destination are delivered to it.
    written.clear()
    yield written
    remove_destination(written.append)


class Fleet:
    """Instances whose datagrams are delivered after a millisecond."""

    def __init__(self) -> None:
        self.table = RouteTable(RouteDocument(1, (), (), customers=CUSTOMERS))
        self.is_lossy = False
        self.sent = 0
        self.members = {
            name: CustomerQuotas(
                name, f'{name}~1', NAMES.__iter__, self.current_table, QuotaTerms()
            )
            for name in NAMES
        }

    def current_table(self) -> RouteTable:
        """Return the route table."""
        return self.table

    async def send(self, receiver: str, content: bytes) -> None:
        """Deliver a datagram."""
        self.sent += 1
        await trio.sleep(0.001)
        if not self.is_lossy:
            self.members[receiver].receive(content)


@asynccontextmanager
async def run_fleet() -> AsyncIterator[Fleet]:
    """Run a fleet until there is a granter."""
    fleet = Fleet()
    async with trio.open_nursery() as nursery:
        for member in fleet.members.values():
            nursery.start_soon(member.run, fleet.send)
        await trio.sleep(READY_S)
        yield fleet
        nursery.cancel_scope.cancel()


async def test_requests_are_charged_at_all_instances(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against an instance that does not hear the granter, or waits for its time-out."""
    async with run_fleet() as fleet:
        for member in fleet.members.values():
            began_at = trio.current_time()
            assert isinstance(await member.charge('tailors', 2000), Charge)
            assert trio.current_time() < began_at + 0.01


async def test_customer_without_quota_is_not_charged(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against a wait or a message for customers without a limit."""
    async with run_fleet() as fleet:
        sent = fleet.sent
        began_at = trio.current_time()
        assert await fleet.members[NAMES[0]].charge('smiths', 10**9) is None
        assert (trio.current_time(), fleet.sent) == (began_at, sent)


async def test_lost_answer_is_awaited_for_a_short_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """Guards against requests that hang as the granter is gone, or are refused before an isolated share."""
    async with run_fleet() as fleet:
        await trio.sleep(10)
        fleet.is_lossy = True
        began_at = trio.current_time()
        verdicts = [await each.charge('tailors', 10) for each in fleet.members.values()]
        assert all(isinstance(each, Charge) for each in verdicts)
        assert trio.current_time() - began_at < (len(NAMES) + 1) * ANSWER_TIMEOUT_S


async def test_cancelled_request_costs_nothing(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against an ask that is settled twice as its caller has disconnected."""
    async with run_fleet() as fleet:
        now = trio.current_time()
        granting = {
            key: each.node.election.granted_slots(now) for key, each in fleet.members.items()
        }
        member = next(fleet.members[key] for key, slots in granting.items() if not slots)
        with trio.move_on_after(0.0005):
            await member.charge('tailors', 5000)
        await trio.sleep(0.01)
        charges = [await member.charge('tailors', 5000) for _ in range(2)]
        assert all(isinstance(each, Charge) for each in charges)


async def test_granters_that_drain_are_replaced(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against resignations that are not sent, and against instances that drain and charge nobody."""
    async with run_fleet() as fleet:
        members = tuple(fleet.members.values())
        former = [
            each for each in members if each.node.election.granted_slots(trio.current_time())
        ][:1]
        assert former
        former[0].resign()
        assert not former[0].node.election.granted_slots(trio.current_time())
        await trio.sleep(HANDED_OVER_S)
        now = trio.current_time()
        granted = [slot for each in members for slot in each.node.election.granted_slots(now)]
        assert len(granted) == 1
        # The new bucket has begun empty.
        await trio.sleep(1.0)
        assert isinstance(await former[0].charge('tailors', 2000), Charge)


async def test_limited_customer_is_logged_once(
    autojump_clock: trio.testing.MockClock, lines: list[dict[str, object]]
) -> None:
    """Guards against a line for each refused request, and limits that leave no trace."""
    async with run_fleet() as fleet:
        member = fleet.members[NAMES[0]]
        verdicts = [await member.charge('tailors', 1000) for _ in range(200)]
        refused = sum(isinstance(each, OverQuota) for each in verdicts)
        assert 0 < refused < 200
        await trio.sleep(12)
        count = member.reports.registry.get_sample_value
        label = {'customer': 'tailors'}
        assert count('shallotmux_quota_refused_total', label) == refused
        assert count('shallotmux_quota_charged_total', label) == (200 - refused) * 1000
    kinds = [each['message_type'] for each in lines]
    assert kinds.count('shallotmux:quota-limited') == 1
    assert kinds.count('shallotmux:quota-unlimited') == 1
    ended = next(each for each in lines if each['message_type'] == 'shallotmux:quota-unlimited')
    assert (ended['customer'], ended['refused']) == ('tailors', refused)
    assert 'shallotmux:quota-granter' in kinds
    assert sum(each['message_type'] == 'shallotmux:quota' for each in lines) < 10


async def test_other_datagrams_are_left_to_others(autojump_clock: trio.testing.MockClock) -> None:
    """Guards against load reports that are taken for messages about quotas, and odd bytes that raise."""
    member = Fleet().members[NAMES[0]]
    for content in (b'', b'\xff', b'\x93\xa1x\x01\x80', b'\x92\xaaquota-beat\x01', b'[' * 9000):
        assert not member.receive(content)
