"""Order of waiting requests: resumed ones, tiers, shares of customers."""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio

from shallotmux.authority import PutObject, ZoneState
from shallotmux.requests import RequestSettings
from shallotmux.requests._lanes import SYNC_S
from shallotmux.requests._queues import Contracts, Ticket, WaitingRoom
from shallotmux.world import Contract, Customer, PolicyException, Route
from tests.requests._checker import check_histories
from tests.requests._zone import Shape, Zone, run_zone

ROUTE = Route('sorter', 'sorting')
LATE_S = 100.0


def make_ticket(customer: str, **changes: int) -> Ticket:
    """Return a ticket with equal cost for all customers."""
    return replace(Ticket(customer, customer, ROUTE, LATE_S, cost_s=1.0), **changes)


def serve(room: WaitingRoom, count: int) -> list[str]:
    """Take requests in the order of the room."""
    served = []
    station = room.stations['sorting', True]
    for _ in range(count):
        ticket = station.first[0] if station.first else station.head(0)
        assert ticket is not None
        room.take(ticket, 0)
        served.append(ticket.customer)
    return served


def test_customers_are_served_by_weight() -> None:
    """Guards against a burst of one customer that delays all others."""
    room = WaitingRoom()
    for _ in range(40):
        room.add(make_ticket('tailors'), 1, LATE_S)
    for _ in range(20):
        room.add(make_ticket('cutters'), 3, LATE_S)
    assert 14 <= serve(room, 20).count('cutters') <= 16


def test_resumed_requests_and_tiers_come_first() -> None:
    """Guards against a stream that waits behind new requests after a crash."""
    room = WaitingRoom()
    for customer, changes in (
        ('flex', {'priority': -1}),
        ('default', {}),
        ('priority', {'priority': 1}),
        ('resumed', {'started': True}),
    ):
        room.add(make_ticket(customer, **changes), 1, LATE_S)
    assert serve(room, 4) == ['resumed', 'priority', 'default', 'flex']


def test_request_that_gave_up_leaves_nothing_behind() -> None:
    """Guards against counts and queues that grow with callers that leave."""
    room = WaitingRoom()
    tickets = [make_ticket('tailors', started=number == 2) for number in range(3)]
    for ticket in tickets:
        room.add(ticket, 1, LATE_S)
    # The head moves behind those in time.
    room.stations['sorting', True].head(LATE_S + 1)
    for ticket in (*tickets, tickets[0]):
        room.discard(ticket)
    assert not len(room)
    assert not room.counts
    assert room.stations['sorting', True].head(0) is None


def test_long_answers_count_at_their_length() -> None:
    """Guards against a customer that gains by answers longer than expected."""
    room = WaitingRoom()
    for _ in range(10):
        room.add(make_ticket('tailors'), 1, LATE_S)
        room.add(make_ticket('cutters'), 1, LATE_S)
    room.correct(make_ticket('tailors', output_tokens=6000))
    assert serve(room, 6).count('cutters') >= 5


def test_exceptions_change_contracts() -> None:
    """Guards against exceptions of operators that have no effect, or an effect for ever."""
    state = ZoneState()
    state.apply(PutObject('c', Customer('tailors', Contract(weight=2)), 0))
    contracts = Contracts()
    assert contracts.find('tailors', state, 0).weight == 2
    exception = PolicyException('e', 'customer/tailors', 'weight', 5, 'a large order')
    state.apply(PutObject('e', exception, 0))
    assert contracts.find('tailors', state, SYNC_S).weight == 5
    assert contracts.find('cutters', state, SYNC_S).weight == 1


@pytest.mark.parametrize('seed', [1, 2])
def test_burst_does_not_delay_another_customer(seed: int) -> None:
    """Guards against an order of arrival in which one customer's burst goes first."""

    finished = []

    async def work(zone: Zone) -> None:
        async def ask(customer: str) -> None:
            await zone.ask(customer)
            finished.append(customer)

        async with trio.open_nursery() as nursery:
            for _ in range(30):
                nursery.start_soon(ask, 'tailors')
            await trio.sleep(0.1)
            nursery.start_soon(ask, 'cutters')

    settings = RequestSettings(engine_slots=2, first_token_limit_s=LATE_S, queue_wait_s=LATE_S)
    behaviour = {'token_s': 0.01}
    zone = run_zone(work, Shape(engines=1, entries=1, settings=settings, behaviour=behaviour), seed)
    check_histories(zone)
    assert finished.index('cutters') <= 5
