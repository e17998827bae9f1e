"""What customers of several kinds get of their quotas, at the size of a deployment."""

from __future__ import annotations

import pytest

from shallotmux.quotas import QuotaTerms
from shallotmux.routes import CustomerQuota, QuotaUnit
from tests.quotas._simulation import Simulation

RATE = 583_874.0
QUOTA = CustomerQuota(RATE, RATE, QuotaUnit.TOKENS, 200)
TERMS = QuotaTerms(8, 0.1, 190_000)
NAMES = tuple(f'10.{number % 4}.0.{number}:1' for number in range(55))

#: Time until there is a granter with a full bucket, and until the demand is measured.
BEGIN_S, READY_S, END_S = 1.0, 4.0, 24.0


def simulate(names: tuple[str, ...], share: float, size: float) -> Simulation:
    """Run a customer that asks for a share of its quota at some instances."""
    run = Simulation(NAMES, QUOTA, TERMS)
    run.run(READY_S)
    run.demanded = 0.0
    run.send_evenly(names, share * RATE, size, END_S, READY_S)
    # The last requests arrive a moment later.
    run.run(END_S + 1)
    assert run.most_in_window() <= run.bound()
    return run


@pytest.mark.parametrize('size', [2000.0, 11_000.0, 17_032.0])
@pytest.mark.parametrize('count', [1, 4, 55])
def test_customer_below_its_quota_is_refused_nothing(count: int, size: float) -> None:
    """Guards against quota that lies idle at instances without requests, and large requests that get none."""
    run = simulate(NAMES[:count], 0.9, size)
    assert not run.refused
    assert run.used_between(0, END_S + 1) == pytest.approx(run.demanded)


@pytest.mark.parametrize('size', [2000.0, 17_032.0])
@pytest.mark.parametrize('count', [1, 4, 55])
def test_customer_far_above_its_quota_gets_all_of_it(count: int, size: float) -> None:
    """Guards against a customer that gets less as it asks for more."""
    run = simulate(NAMES[:count], 6, size)
    granted = run.used_between(READY_S, END_S)
    assert granted >= 0.95 * RATE * (END_S - READY_S)
    assert granted <= RATE * (END_S - READY_S) + 1.2 * RATE


def test_large_requests_are_granted_as_often_as_small_ones() -> None:
    """Guards against large requests that are overtaken by small ones for ever."""
    run = Simulation(NAMES, QUOTA, TERMS)
    run.run(READY_S)
    for size in (1000.0, 17_032.0):
        run.send_evenly(NAMES, 3 * RATE, size, END_S, READY_S)
    run.run(END_S)
    amounts = [amount for _, amount in run.arrivals]
    small_share = amounts.count(1000.0) / (3 * RATE / 1000)
    large_share = amounts.count(17_032.0) / (3 * RATE / 17_032)
    assert large_share >= 0.5 * small_share


def test_refused_customer_does_not_flood_the_granter() -> None:
    """Guards against an ask for each refused request, which would take the granter's whole CPU."""
    run = simulate(NAMES, 6, 2000.0)
    assert len(run.refused) > 20_000
    assert run.sent['QuotaAsk'] < 0.4 * len(run.refused)


def test_busy_instance_asks_ahead() -> None:
    """Guards against a message for each request where requests arrive often."""
    run = simulate(NAMES[:1], 0.9, 2000.0)
    requests = len(run.arrivals)
    assert run.sent['requests asked for'] < 0.1 * requests
    assert run.sent['QuotaAsk'] < 20 * (END_S - READY_S)


def test_refused_callers_return_spread_over_the_time_that_the_quota_needs() -> None:
    """Guards against callers that all come back at once, or before there is room."""
    run = simulate(NAMES, 6, 11_000.0)
    times = [refusal.retry_after_s for at, refusal in run.refused if at > END_S - 5]
    assert min(times) > 0
    assert max(times) <= 5
    buckets = [sum(index <= each * 2 < index + 1 for each in times) for index in range(8)]
    assert max(buckets) < 0.35 * len(times)


def test_customers_without_quota_cost_no_message() -> None:
    """Guards against beats and asks in deployments that have no quotas."""
    run = Simulation(NAMES, QUOTA, TERMS)
    run.apply_quota(None)
    run.send_evenly(NAMES, RATE, 11_000.0, 3.0)
    run.run(3.0)
    assert not run.sent
    assert not run.refused
