"""Rate limits of customers, and the demand by which the zone divides them."""

from __future__ import annotations

from contextlib import suppress

import pytest
import trio

from shallotmux.authority import PutObject
from shallotmux.requests import CallerRequest, RequestRefused
from shallotmux.requests._limits import Limits
from shallotmux.world import Contract, Customer, Route
from tests.requests._checker import check_histories
from tests.requests._zone import Zone, ZoneLayout, run_zone

REQUESTS = Contract(requests_per_s=2)
ROUTE = Route('sorter', 'sorting')


async def set_contract(zone: Zone, contract: Contract) -> None:
    """Set the contract of the first customer."""
    state = zone.authority.read()
    revision = state.configuration.objects['customer', 'tailors'].revision
    await zone.authority.submit(PutObject('limit', Customer('tailors', contract), revision))


async def count_served(zone: Zone, share: float = 1.0) -> int:
    """Send twenty requests within a second and return the number served."""
    executor = zone.entries[0].executor
    executor.set_shares({'tailors': share})
    served = 0
    for number in range(20):
        payload = {'model': 'sorter', 'messages': [], 'max_tokens': 1}
        request = CallerRequest(f'r-{share}-{number}', 'tailors', '', ROUTE, payload, 'hash')
        with suppress(RequestRefused):
            async with executor.stream(request) as events:
                served += bool([block async for block in events])
        await trio.sleep(0.05)
    return served


def test_request_over_the_limit_is_refused_as_not_run() -> None:
    """Guards against limits without effect, and refusals that callers cannot safely retry."""

    async def work(zone: Zone) -> None:
        await set_contract(zone, REQUESTS)
        for _ in range(10):
            await zone.request_completion('tailors', tokens=1)
        await zone.request_completion('cutters', tokens=1)

    zone = run_zone(work, ZoneLayout(entries=1))
    check_histories(zone)
    refused = [each for each in zone.answers if each.code]
    assert {(each.customer, each.code, each.not_run) for each in refused} == {
        ('tailors', 'rate_limited', True)
    }
    assert 4 <= len(zone.answers) - len(refused) <= 6


def test_share_bounds_what_an_instance_allows() -> None:
    """Guards against instances that each allow the full limit of the zone."""
    served = []

    async def work(zone: Zone) -> None:
        await set_contract(zone, Contract(requests_per_s=8))
        served.append(await count_served(zone))
        await trio.sleep(10)
        served.append(await count_served(zone, 0.25))

    run_zone(work, ZoneLayout(entries=1))
    assert served[0] == 20
    assert 4 <= served[1] <= 7


def test_actual_tokens_are_charged() -> None:
    """Guards against long answers that are charged as short ones."""
    limits = Limits()
    contract = Contract(tokens_per_s=100)
    assert not limits.check('tailors', contract, 50, 0)
    limits.correct('tailors', 500)
    assert limits.check('tailors', contract, 50, 0) == pytest.approx(4)
    assert not limits.check('tailors', contract, 50, 5)


def test_demand_counts_what_is_refused() -> None:
    """Guards against a share that stays small because refused requests are not counted."""
    limits = Limits()
    for number in range(200):
        limits.check('tailors', REQUESTS, 10, number / 10)
    demand = limits.demand(20)['tailors']
    assert 5 < demand.requests_per_s < 10
    assert demand.tokens_per_s == pytest.approx(10 * demand.requests_per_s)
    assert not limits.demand(1000)


def test_executor_reports_pool_demand() -> None:
    """Guards against a leader that plans roles without the callers' demand."""
    pools = []

    async def work(zone: Zone) -> None:
        await zone.request_completion('tailors', 'sheet ' * 2000)
        await trio.sleep(1)
        pools.append(zone.entries[0].executor.demand().pools['sorting'])

    run_zone(work, ZoneLayout(entries=1))
    assert pools[0].short.prefill_tokens_per_s > 0
    assert pools[0].long.decode_tokens_per_s > 0
