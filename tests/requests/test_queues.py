"""Order of waiting requests: resumed requests, tiers, weights of customers."""

from __future__ import annotations

from dataclasses import replace

import pytest
import trio

from shallotmux.authority import PutObject, ZoneState
from shallotmux.requests import RequestSettings
from shallotmux.requests._pool_views import SYNC_S
from shallotmux.requests._queues import ContractCache, RequestQueues, Ticket
from shallotmux.world import Contract, Customer, PolicyException, Route
from tests.requests._checker import check_histories
from tests.requests._zone import Zone, ZoneLayout, run_zone

ROUTE = Route('sorter', 'sorting')
LATE_S = 100.0


def make_ticket(customer: str, **changes: int) -> Ticket:
    """Return a ticket with the same cost for all customers."""
    return replace(Ticket(customer, customer, ROUTE, LATE_S, cost_s=1.0), **changes)


def dequeue_customers(queues: RequestQueues, count: int) -> list[str]:
    """Remove requests in queue order and return their customers."""
    served = []
    pool_queue = queues.pool_queues['sorting', True]
    for _ in range(count):
        ticket = pool_queue.expedited[0] if pool_queue.expedited else pool_queue.head(0)
        assert ticket is not None
        queues.dequeue(ticket, 0)
        served.append(ticket.customer)
    return served


def test_customers_are_served_by_weight() -> None:
    """Guards against a burst of one customer that delays customers of greater weight."""
    queues = RequestQueues()
    for _ in range(40):
        queues.add(make_ticket('tailors'), 1, LATE_S)
    for _ in range(20):
        queues.add(make_ticket('cutters'), 3, LATE_S)
    assert 14 <= dequeue_customers(queues, 20).count('cutters') <= 16


def test_resumed_requests_and_tiers_come_first() -> None:
    """Guards against a stream that waits behind new requests after a crash."""
    queues = RequestQueues()
    for customer, changes in (
        ('flex', {'priority': -1}),
        ('default', {}),
        ('priority', {'priority': 1}),
        ('resumed', {'started': True}),
    ):
        queues.add(make_ticket(customer, **changes), 1, LATE_S)
    assert dequeue_customers(queues, 4) == ['resumed', 'priority', 'default', 'flex']


def test_discarded_request_leaves_no_state() -> None:
    """Guards against counts and queues that grow when callers disconnect."""
    queues = RequestQueues()
    tickets = [make_ticket('tailors', started=number == 2) for number in range(3)]
    for ticket in tickets:
        queues.add(ticket, 1, LATE_S)
    # An overdue head moves behind the requests that can still be served in time.
    queues.pool_queues['sorting', True].head(LATE_S + 1)
    for ticket in (*tickets, tickets[0]):
        queues.discard(ticket)
    assert not len(queues)
    assert not queues.counts
    assert queues.pool_queues['sorting', True].head(0) is None


def test_long_answers_are_charged_in_full() -> None:
    """Guards against a customer that is undercharged for answers longer than expected."""
    queues = RequestQueues()
    for _ in range(10):
        queues.add(make_ticket('tailors'), 1, LATE_S)
        queues.add(make_ticket('cutters'), 1, LATE_S)
    queues.correct(make_ticket('tailors', output_tokens=6000))
    assert dequeue_customers(queues, 6).count('cutters') >= 5


def test_exceptions_change_contracts() -> None:
    """Guards against operators' exceptions without effect, or with one on other customers."""
    state = ZoneState()
    state.apply(PutObject('c', Customer('tailors', Contract(weight=2)), 0))
    contracts = ContractCache()
    assert contracts.find('tailors', state, 0).weight == 2
    exception = PolicyException('e', 'customer/tailors', 'weight', 5, 'a large order')
    state.apply(PutObject('e', exception, 0))
    assert contracts.find('tailors', state, SYNC_S).weight == 5
    assert contracts.find('cutters', state, SYNC_S).weight == 1


@pytest.mark.parametrize('seed', [1, 2])
def test_burst_does_not_delay_another_customer(seed: int) -> None:
    """Guards against serving in order of arrival, where a burst of one customer goes first."""

    finished = []

    async def work(zone: Zone) -> None:
        async def request_completion(customer: str) -> None:
            await zone.request_completion(customer)
            finished.append(customer)

        async with trio.open_nursery() as nursery:
            for _ in range(30):
                nursery.start_soon(request_completion, 'tailors')
            await trio.sleep(0.1)
            nursery.start_soon(request_completion, 'cutters')

    settings = RequestSettings(engine_slots=2, first_token_limit_s=LATE_S, queue_wait_s=LATE_S)
    behaviour = {'token_s': 0.01}
    zone = run_zone(
        work, ZoneLayout(engines=1, entries=1, settings=settings, behaviour=behaviour), seed
    )
    check_histories(zone)
    assert finished.index('cutters') <= 5
