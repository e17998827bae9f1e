"""Tests of fair queueing, dispatch order, rate limits and priorities."""

from __future__ import annotations

from collections import Counter, defaultdict
from random import Random

import pytest

from shallotmux.decisions import (
    DispatchQueue,
    FairQueue,
    FirstComeQueue,
    Flow,
    Priority,
    QueuedRequest,
    ShareMeter,
    TokenBucket,
    apply_exceptions,
    check_limits,
    full_buckets,
    split_limit,
)
from shallotmux.world import Contract, PolicyException

SMALL, LARGE = Flow('small', 'r'), Flow('large', 'r')


def test_fair_queue_shares_cost_by_weight() -> None:
    """Guards against a customer that is served more because its requests are more or larger."""
    queue: FairQueue[str] = FairQueue()
    for _ in range(100):
        queue.push(LARGE, 'large', cost=2, weight=2)
        queue.push(SMALL, 'small', cost=1, weight=1)
    served = Counter(queue.pop() for _ in range(60))
    assert abs(served['large'] - served['small']) <= 1


def test_fair_queue_conserves_work() -> None:
    """Guards against idling while only one customer waits, and against lost items."""
    queue: FairQueue[int] = FairQueue()
    random = Random(2)
    for number in range(300):
        queue.push(Flow(f'c{random.randrange(9)}', 'r'), number, random.random())
        if not random.randrange(3):
            queue.charge(Flow(f'c{random.randrange(9)}', 'r'), random.uniform(-1, 1))
    popped = [queue.pop() for _ in range(300)]
    assert sorted(each for each in popped if each is not None) == list(range(300))
    assert queue.pop() is None


def test_newly_active_customer_has_no_credit() -> None:
    """Guards against a customer that blocks the others after it was idle."""
    queue: FairQueue[str] = FairQueue()
    for _ in range(50):
        queue.push(LARGE, 'large', cost=1)
    for _ in range(30):
        queue.pop()
    for _ in range(20):
        queue.push(SMALL, 'small', cost=1)
    served = Counter(queue.pop() for _ in range(20))
    assert abs(served['large'] - served['small']) <= 1


def test_overdue_requests_are_served_last() -> None:
    """Guards against an overload in which every request narrowly misses its target."""
    queue: DispatchQueue[str] = DispatchQueue()
    naive: FirstComeQueue[str] = FirstComeQueue()
    for item, due in (('late', 1.0), ('in time', 9.0)):
        queue.push(QueuedRequest(item, SMALL, 1, due))
        naive.push(QueuedRequest(item, SMALL, 1, due))
    order = [queue.pop(5), queue.pop(5)]
    assert [each.item for each in order if each is not None] == ['in time', 'late']
    first = naive.pop(5)
    assert first is not None
    assert first.item == 'late'
    assert len(queue) == 0


def test_dispatch_queue_serves_everything_once() -> None:
    """Guards against a request that is lost or duplicated when it becomes overdue."""
    queue: DispatchQueue[int] = DispatchQueue()
    random = Random(4)
    popped = []
    for number in range(400):
        queue.push(
            QueuedRequest(number, Flow(f'c{number % 5}', 'r'), 1, number + random.uniform(0, 9))
        )
        if random.randrange(5) < 3:
            popped.append(queue.pop(number))
    while len(queue):
        popped.append(queue.pop(500))
    assert sorted(each.item for each in popped if each is not None) == list(range(400))


def test_refusal_tells_the_time_until_retry() -> None:
    """Guards against a wrong retry time, and against requests over the limit."""
    buckets = full_buckets(Contract(requests_per_s=1, tokens_per_s=100), 0)
    first = check_limits(buckets, 150, 0)
    assert first.allowed
    second = check_limits(first.buckets, 100, 0)
    assert not second.allowed
    assert second.retry_after_s == pytest.approx(0.5)
    assert check_limits(second.buckets, 100, 0.51).allowed
    assert check_limits(full_buckets(Contract(tokens_per_s=10), 0), 999, 0).allowed


def test_bucket_level_is_capped_at_its_burst() -> None:
    """Guards against a long idle period that allows a long overload."""
    assert TokenBucket(10, 0, 0).refill(1000).level == 20


def test_zone_limit_is_split_by_demand() -> None:
    """Guards against shares that exceed the zone's limit, or are 0 for an idle instance."""
    shares = split_limit(100, {'a': 90, 'b': 10, 'c': 0})
    assert sum(shares.values()) == pytest.approx(100)
    assert sorted(shares, key=lambda name: -shares[name]) == ['a', 'b', 'c']
    assert shares['c']
    assert split_limit(100, {'a': 0, 'b': 0}) == {'a': 50, 'b': 50}


def test_exception_applies_to_its_customer_only() -> None:
    """Guards against an exception that applies to other customers or settings."""
    exceptions = (
        PolicyException('x', 'customer/a', 'tokens_per_s', 7, 'agreed'),
        PolicyException('y', 'customer/a', 'cheap_share', 1, 'agreed'),
    )
    assert apply_exceptions(Contract(), 'a', exceptions) == Contract(tokens_per_s=7)
    assert apply_exceptions(Contract(), 'b', exceptions) == Contract()


def test_customer_over_its_share_loses_priority_until_usage_decays() -> None:
    """Guards against a burst that delays other customers, or lowers the priority for ever."""
    meter = ShareMeter()
    for step in range(100):
        meter.charge('a', 1, 0.1, step / 10)
        meter.charge('b', 1, 1.0, step / 10)
    assert meter.priority('a', 10, overdue=False) is Priority.WITHIN_SHARE
    assert meter.priority('b', 10, overdue=False) is Priority.OVER_SHARE
    assert meter.priority('a', 10, overdue=True) is Priority.OVERDUE
    assert meter.priority('b', 200, overdue=False) is Priority.WITHIN_SHARE


def test_lone_customer_is_never_over_its_share() -> None:
    """Guards against a lower priority while no other customer uses the engines."""
    meter = ShareMeter()
    for step in range(100):
        meter.charge('a', 0.1, 5, step)
    assert meter.priority('a', 100, overdue=False) is Priority.WITHIN_SHARE


def test_fair_queue_agrees_with_a_linear_search() -> None:
    """Guards against stale heap entries that change the order of service."""
    queue: FairQueue[int] = FairQueue()
    random, counters, waiting = Random(6), Counter[Flow](), defaultdict[Flow, list[int]](list)
    for number in range(2000):
        flow = Flow(f'c{random.randrange(7)}', 'r')
        if random.randrange(3):
            if not waiting[flow]:
                counters[flow] = max(counters[flow], counters[LARGE])
            waiting[flow].append(number)
            queue.push(flow, number, 1 + number % 4)
            continue
        active = [each for each in waiting if waiting[each]]
        taken = queue.pop()
        if taken is None:
            assert not active
            continue
        served = next(each for each in active if waiting[each][0] == taken)
        assert counters[served] == min(counters[each] for each in active)
        counters[LARGE] = max(counters[LARGE], counters[served])
        counters[served] += 1 + waiting[served].pop(0) % 4
