"""Tests of the parts of quotas, each with plain numbers as time."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shallotmux.quotas import (
    Asked,
    Charge,
    CustomerBucket,
    CustomerStock,
    GrantedPart,
    IsolatedShares,
    IsolatedUse,
    OverQuota,
    QuotaNode,
    QuotaPlan,
    QuotaTerms,
    divide_isolated,
    plan_quota,
)
from shallotmux.quotas._bucket import MAX_LINE_S
from shallotmux.quotas._election import Election
from shallotmux.quotas._granter import Granter
from shallotmux.quotas._messages import (
    QuotaAsk,
    QuotaBeat,
    QuotaGrant,
    QuotaReturn,
    QuotaSupport,
    ReturnedPart,
    decode_quota_message,
    encode_quota_message,
)
from shallotmux.quotas._plan import MAX_HOLD_S
from shallotmux.quotas._promises import PROMISE_S, Promises, Supporters
from shallotmux.quotas._seen import SHARER_TTL_S, VOTER_TTL_S, SeenInstances
from shallotmux.routes import CustomerQuota, QuotaUnit

QUOTA = CustomerQuota(1000, 1000, QuotaUnit.TOKENS)
#: Plan with round numbers.
PLAN = QuotaPlan(1000.0, 1000.0, 100.0, 0.5, 800.0, 100.0, 8.0)
KEY = ('a~1', 1)
NAMES = tuple(f'10.0.0.{number}:1' for number in range(5))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    rate=st.floats(1e-6, 1e12),
    burst=st.floats(0, 1e12),
    unit=st.sampled_from(QuotaUnit),
    window_s=st.floats(0.1, 86_400),
    overage=st.floats(0, 10),
    slack=st.floats(0, 1e9),
)
def test_parts_of_a_quota_add_up_to_its_bound(
    rate: float, burst: float, unit: QuotaUnit, window_s: float, overage: float, slack: float
) -> None:
    """Guards against shares that are larger together than what may be used in a window."""
    terms = QuotaTerms(window_s, overage, slack)
    plan = plan_quota(CustomerQuota(rate, burst, unit), terms)
    allowed = (rate * window_s + burst) * (1 + overage)
    allowed += slack if unit is QuotaUnit.TOKENS else 0
    total = plan.rate * window_s + plan.capacity + plan.most_outstanding + plan.debt + plan.isolated
    assert total <= allowed * (1 + 1e-9)
    assert min(plan.rate, plan.capacity, plan.hold_s, plan.debt, plan.isolated) > 0
    assert (
        plan.first_level <= plan.most_outstanding - plan.debt or plan.debt <= plan.most_outstanding
    )


def test_debt_forgotten_at_a_handover_is_not_granted_anew() -> None:
    """Guards against a debt that each handover cancels."""
    plan = plan_quota(CustomerQuota(1000, 1000, QuotaUnit.TOKENS), QuotaTerms(8, 0.1, 190_000))
    assert plan.debt > plan.most_outstanding
    assert CustomerBucket(plan, 0.0).level == plan.most_outstanding - plan.debt


def test_bucket_grants_the_rate_and_the_capacity_and_a_debt() -> None:
    """Guards against a bucket that is filled beyond its capacity, or falls below its debt."""
    bucket = CustomerBucket(PLAN, 0.0)
    assert bucket.ask(KEY, 50, 0, 0, 0.0).granted == 0
    granted = [bucket.ask(('a~1', each), 90.0, 0, 0, 9.0).granted for each in range(2, 20)]
    assert sum(granted) == 12 * 90
    assert bucket.level == -80
    refused = bucket.ask(('a~1', 30), 10, 0, 0, 9.0)
    assert refused.wait_s == pytest.approx(0.08)
    assert bucket.ask(('a~1', 31), 10, 0, 0, 9.081).granted == 10


def test_amount_beyond_the_debt_needs_a_level() -> None:
    """Guards against a request of any size that a nearly empty bucket grants."""
    bucket = CustomerBucket(PLAN, 0.0)
    assert bucket.ask(KEY, 600, 0, 0, 0.4).granted == 0
    assert bucket.ask(KEY, 600, 0, 0, 0.6).granted == 600
    assert bucket.level == pytest.approx(0)


def test_returned_amounts_do_not_raise_level_and_outstanding_together() -> None:
    """Guards against a stock that is returned and granted again beside what the others still hold."""
    bucket = CustomerBucket(PLAN, 0.0)
    outstanding = 0.0
    for step in range(1, 300):
        now = 2 + step / 100
        granted = bucket.ask(('a~1', step), 100.0, 0, 0, now).granted
        if step > 5 and step % 2:
            bucket.give_back(('a~1', step - 5), 100.0, now)
        outstanding = sum(each.amount for each in bucket._grants.values())  # noqa: SLF001
        assert bucket.level + outstanding <= PLAN.capacity + PLAN.most_outstanding + 1e-6
        assert granted in {0, 100}
    assert outstanding


def test_returns_do_not_fill_the_bucket_beside_newer_grants() -> None:
    """Guards against a full bucket and as much outstanding, which may all arrive in one window."""
    bucket = CustomerBucket(PLAN, 0.0)
    assert bucket.ask(('a~1', 1), 900, 0, 0, 2.0).granted
    assert bucket.ask(('a~1', 2), 500, 0, 0, 2.4).granted
    bucket.give_back(('a~1', 1), 900, 2.45)
    assert bucket.ask(('a~1', 3), 1000, 0, 0, 2.6).granted
    bucket.give_back(('a~1', 2), 500, 2.7)
    assert bucket.level + 1000 <= PLAN.capacity + PLAN.most_outstanding


def test_amount_returned_after_the_hold_is_not_granted_again() -> None:
    """Guards against a return of what may have been used in another window."""
    bucket = CustomerBucket(PLAN, 0.0)
    bucket.ask(KEY, 500, 0, 0, 2.0)
    before = bucket.level
    bucket.give_back(KEY, 500, 2.0 + PLAN.hold_s)
    assert bucket.level == before + PLAN.rate * PLAN.hold_s
    bucket.give_back(KEY, float('nan'), 2.1)


def test_repeated_ask_gets_the_same_grant() -> None:
    """Guards against an ask that is charged twice as its answer was lost, or it came twice."""
    bucket = CustomerBucket(PLAN, 0.0)
    first = bucket.ask(KEY, 100, 0, 0, 2.0)
    level = bucket.level
    assert bucket.ask(KEY, 100, 0, 0, 2.0) == first
    assert bucket.level == level


def test_advance_is_granted_only_by_a_well_filled_bucket() -> None:
    """Guards against stock that lies idle at one instance while another one is refused."""
    bucket = CustomerBucket(PLAN, 0.0)
    assert bucket.ask(('a~1', 1), 100, 300, 0, 0.95).granted == 400
    assert bucket.ask(('a~1', 2), 100, 300, 0, 0.95).granted == 100


def test_refused_amounts_queue_at_the_rate() -> None:
    """Guards against callers that are all told the same time of return."""
    bucket = CustomerBucket(PLAN, 0.0)
    lines = [bucket.ask((f'{each}~1', 1), 500, 0, 0, 0.1).line_s for each in range(4)]
    assert lines == sorted(lines)
    assert lines[3] - lines[0] == pytest.approx(1.5)


def test_restarted_bucket_keeps_debt_and_grants() -> None:
    """Guards against a granter that lost its majority for a moment and begins with an empty record."""
    bucket = CustomerBucket(PLAN, 0.0)
    for number in range(20):
        bucket.ask(('a~1', number), 90, 0, 0, 2.0)
    level = bucket.level
    assert level < 0
    bucket.restart(2.01)
    assert bucket.level <= level + 10
    full = CustomerBucket(PLAN, 0.0)
    full.restart(5.0)
    assert full.level == 0


def part(amount: float, asked_at: float = 0.0, number: int = 1) -> GrantedPart:
    """Return a part of a grant."""
    return GrantedPart('g~1', number, asked_at, amount)


def test_stock_expires_and_goes_back() -> None:
    """Guards against stock that is used after the granter has stopped counting it."""
    stock = CustomerStock(PLAN)
    stock.add(part(100), 0.0)
    assert stock.take(60, 0.1) == (part(60),)
    assert stock.take(60, 0.1) is None
    assert stock.amount(PLAN.usable_s) == 0
    assert stock.end_round(0.1, PLAN.usable_s) == (part(40),)
    assert not stock.end_round(0.1, PLAN.usable_s)
    stock.add(part(10), PLAN.usable_s + 0.01)
    assert stock.take(10, PLAN.usable_s + 0.01) is None
    assert not stock.end_round(0.1, PLAN.hold_s)


def test_isolated_shares_add_up_to_the_isolated_amount() -> None:
    """Guards against shares that are divided by fewer instances than use them."""
    for instances in (1, 4, 55, 200):
        shares = [divide_isolated(PLAN, instances, rank) for rank in range(instances)]
        assert sum(each.even + each.lot for each in shares) <= 0.9 * PLAN.isolated + 1e-6
        assert max(each.lot for each in shares) >= 2 * PLAN.large * 0.9
    assert divide_isolated(PLAN, 55, None).lot == 0


def test_isolated_share_is_used_once_in_a_window() -> None:
    """Guards against a share that is used again after a restart, or twice in a window."""
    use, shares = IsolatedUse(0.0), IsolatedShares(100, 0)
    window_s = PLAN.window_s + PLAN.charge_s
    assert not use.take(10, shares, PLAN, window_s - 0.01)
    assert use.take(60, shares, PLAN, 10.0)
    assert not use.take(60, shares, PLAN, 10.0 + PLAN.window_s)
    use.give_back(60, 10.0)
    use.give_back(60, 10.0)
    assert use.take(40, shares, PLAN, 11.0)
    assert use.take(60, shares, PLAN, 11.0)
    use.give_back(40, 11.0)
    assert not use.take(60, shares, PLAN, 11.0)
    assert use.take(40, shares, PLAN, 11.0)
    assert not use.take(60, shares, PLAN, 11.0)
    assert use.take(60, shares, PLAN, 11.0 + window_s)


def test_promise_is_exclusive_until_it_ends() -> None:
    """Guards against two granters with a majority each."""
    promises = Promises(0.0)
    assert not promises.give(1, 'a~1', PROMISE_S - 0.01)
    assert promises.give(1, 'a~1', 2.0)
    assert not promises.give(1, 'a~2', 3.0)
    assert not promises.give(1, 'b~1', 3.0)
    assert promises.give(2, 'b~1', 3.0)
    assert promises.give(1, 'a~1', 3.0)
    assert not promises.give(1, 'b~1', 2.0 + PROMISE_S)
    assert promises.give(1, 'b~1', 3.0 + PROMISE_S)


def test_support_counts_from_the_beat_and_ends_a_hold_before_the_promise() -> None:
    """Guards against grants that are still used when another granter begins."""
    supporters = Supporters()
    number = supporters.begin_beat(10.0)
    for name in NAMES[:2]:
        supporters.record(1, name, number)
    assert supporters.grants_until(1, 3, 10.4) == float('-inf')
    supporters.record(1, NAMES[2], number)
    supporters.record(1, NAMES[3], 99)
    assert supporters.grants_until(1, 3, 10.4) == 10.0 + PROMISE_S - MAX_HOLD_S
    assert supporters.grants_until(1, 4, 10.4) == float('-inf')
    assert supporters.grants_until(1, 3, 10.01 + PROMISE_S) == float('-inf')


def test_instances_are_forgotten_only_by_a_majority() -> None:
    """Guards against one side of a partition that takes itself for the whole after a minute."""
    seen = SeenInstances(NAMES[0])
    seen.update(NAMES, 1.0)
    seen.update(NAMES[:2], 2 * VOTER_TTL_S)
    assert (seen.majority(2 * VOTER_TTL_S), seen.voters) == (3, 5)
    seen.update(NAMES[:3], 3 * VOTER_TTL_S)
    assert seen.majority(3 * VOTER_TTL_S) == 2
    assert len(seen.sharers) == 5
    seen.update(NAMES[:3], 2 + SHARER_TTL_S + VOTER_TTL_S)
    assert len(seen.sharers) == 3


def test_restarted_instance_learns_from_others_how_many_there_are() -> None:
    """Guards against a candidate without memory that takes its side of a partition for the whole."""
    seen = SeenInstances(NAMES[0])
    seen.update(NAMES[:2], 0.0)
    seen.record_told(5, 1.0)
    assert (seen.majority(2.0), seen.count_sharers(2.0)) == (3, 5)
    assert seen.majority(2.0 + VOTER_TTL_S) == 2


def make_granter(now: float = 10.0) -> Granter:
    """Return the only instance, which is the granter of all slots."""
    election = Election(NAMES[0], f'{NAMES[0]}~1', 0.0)
    election.update((NAMES[0],), range(6), now)
    election.run_round(now)
    granter = Granter(f'{NAMES[0]}~1', election)
    granter.apply_plans({'tailors': PLAN})
    return granter


def test_return_counts_once_and_only_at_its_granter() -> None:
    """Guards against a return that is doubled on its way, or meant for another incarnation."""
    granter = make_granter()
    now = 10.9
    assert granter.answer(QuotaAsk('a~1', 1, 'tailors', 300), now).amount == 300
    bucket = granter.buckets['tailors']
    level = bucket.level
    parts = (ReturnedPart('tailors', 1, 100),)
    granter.take_back(QuotaReturn('a~1', f'{NAMES[0]}~0', 2, parts), now)
    assert bucket.level == level
    granter.take_back(QuotaReturn('a~1', f'{NAMES[0]}~1', 2, parts), now)
    granter.take_back(QuotaReturn('a~1', f'{NAMES[0]}~1', 2, parts), now)
    assert bucket.level == pytest.approx(level + 100)


@pytest.mark.parametrize('amount', [-1.0, float('nan'), float('inf'), 1e300])
def test_ask_for_an_odd_amount_is_not_granted(amount: float) -> None:
    """Guards against a datagram that fills a bucket or makes its level no number."""
    granter = make_granter()
    assert not granter.answer(QuotaAsk('a~1', 1, 'tailors', amount), 10.9).is_granter
    assert not granter.answer(QuotaAsk('a~1', 2, 'tailors', 1, amount), 10.9).is_granter
    assert granter.answer(QuotaAsk('a~1', 3, 'tailors', 1), 10.9).amount == 1


def test_asks_and_returns_of_strangers_are_dropped() -> None:
    """Guards against datagrams that use up a quota, fill memory, or have answers sent to any host."""
    node = QuotaNode(NAMES[0], f'{NAMES[0]}~1', 0.0)
    node.apply_plans({'tailors': PLAN})
    node.run_round(NAMES[:1], 10.0)
    node.run_round(NAMES[:1], 10.5)
    assert node.granter.answer(QuotaAsk(f'{NAMES[0]}~1', 1, 'tailors', 100), 10.9).amount == 100
    bucket = node.granter.buckets['tailors']
    granted = bucket.total_granted
    stranger = 'slow.example:53~1'
    node.receive(QuotaAsk(stranger, 1, 'tailors', 10), 10.9)
    node.receive(QuotaReturn(stranger, f'{NAMES[0]}~1', 2, ()), 10.9)
    assert not node.outbox
    assert bucket.total_granted == granted
    node.run_round(NAMES, 11.0)
    node.outbox.clear()
    node.receive(QuotaAsk(f'{NAMES[1]}~1', 1, 'tailors', 10), 11.0)
    assert [each for each, _ in node.outbox] == [NAMES[1]]


@pytest.mark.parametrize('wait_s', [float('nan'), float('inf'), -1.0, 1e300])
def test_odd_time_in_a_refusal_is_not_passed_on(wait_s: float) -> None:
    """Guards against a Retry-After that is no number, and against one that is far too long."""
    node = make_node()
    number = ask(node, 50, 10.0)
    node.receive(grant(number, 0.0, wait_s=wait_s, line_s=wait_s), 10.01)
    refused = [node.settle(number, 10.01)]
    refused += [node.charge('tailors', 50, 10.02) for _ in range(9)]
    times = [each.retry_after_s for each in refused if isinstance(each, OverQuota)]
    assert times
    assert all(0 <= each <= MAX_LINE_S for each in times)


def test_granter_without_support_stops() -> None:
    """Guards against a granter that goes on without a majority."""
    granter = make_granter()
    assert not granter.answer(
        QuotaAsk('a~1', 1, 'tailors', 1), 10.0 + PROMISE_S - MAX_HOLD_S
    ).amount
    assert not granter.answer(QuotaAsk('a~1', 2, 'other', 1), 10.5).is_granter


def test_granter_that_lost_its_majority_begins_with_an_empty_bucket() -> None:
    """Guards against a bucket that is as full as before another instance granted."""
    granter = make_granter()
    assert granter.answer(QuotaAsk('a~1', 1, 'tailors', 1), 10.9).amount
    granter._election.run_round(30.0)  # noqa: SLF001
    assert granter.answer(QuotaAsk('a~1', 2, 'tailors', 400), 30.2).wait_s > 0
    assert granter.answer(QuotaAsk('a~1', 3, 'tailors', 400), 30.5).amount


def test_lot_needs_a_complete_list() -> None:
    """Guards against lots of instances that do not know yet how many others there are."""
    for started_at, lots in ((0.0, 1), (20.0, 0)):
        verdicts = []
        for name in NAMES:
            node = QuotaNode(name, f'{name}~1', started_at)
            node.apply_plans({'tailors': PLAN})
            node.run_round(NAMES, 70.0)
            # It exceeds an even share.
            verdicts.append(node.charge('tailors', 100, 70.0))
        assert sum(isinstance(each, Charge) for each in verdicts) == lots


def make_node() -> QuotaNode:
    """Return an instance that follows another one as granter."""
    node = QuotaNode(NAMES[0], f'{NAMES[0]}~1', 0.0)
    node.apply_plans({'tailors': PLAN})
    node.run_round(NAMES, 10.0)
    node.receive(QuotaBeat('10.0.0.1:1~1', 1, dict.fromkeys(range(6), True)), 10.0)
    node.outbox.clear()
    return node


def ask(node: QuotaNode, amount: float, now: float) -> int:
    """Let a request wait for the granter; returns the number of its ask."""
    verdict = node.charge('tailors', amount, now)
    assert isinstance(verdict, Asked)
    return verdict.number


def grant(number: int, amount: float, **fields: object) -> QuotaGrant:
    """Return the answer to an ask."""
    accepted = QuotaGrant('10.0.0.1:1~1', f'{NAMES[0]}~1', number, amount, True)
    return msgspec.structs.replace(accepted, **fields)


def test_grant_is_accepted_once_and_ages_from_the_ask() -> None:
    """Guards against a datagram that comes twice or late, and is charged as if it were new."""
    node = make_node()
    number = ask(node, 50, 10.0)
    node.receive(grant(number, 80), 10.03)
    node.receive(grant(number, 80), 10.03)
    assert node.settled == [number]
    charge = node.settle(number, 10.03)
    assert isinstance(charge, Charge)
    assert charge.send_by == 10.0 + PLAN.sending_s
    node.receive(grant(number, 80), 10.03)
    assert isinstance(node.charge('tailors', 30, 10.04), Charge)
    assert isinstance(node.charge('tailors', 30, 10.04), Asked)


def test_late_grant_is_not_used() -> None:
    """Guards against a grant that was long on its way and outlives its granter."""
    node = make_node()
    number = ask(node, 50, 10.0)
    assert isinstance(node.settle(number, 10.04), Charge | OverQuota)
    node.receive(grant(number, 5000), 10.0 + PLAN.usable_s)
    assert isinstance(node.charge('tailors', 30, 10.0 + PLAN.usable_s), Asked)


def test_grant_for_another_incarnation_is_dropped() -> None:
    """Guards against an instance that uses what was granted before its restart."""
    node = make_node()
    number = ask(node, 50, 10.0)
    node.receive(grant(number, 80, receiver=f'{NAMES[0]}~0'), 10.01)
    node.receive(grant(number, 80, granter='10.0.0.2:1~1'), 10.01)
    assert not node.settled


def test_request_that_did_not_run_returns_its_amount() -> None:
    """Guards against quota that is lost with each request that an endpoint refuses."""
    node = make_node()
    number = ask(node, 50, 10.0)
    node.receive(grant(number, 50), 10.01)
    charge = node.settle(number, 10.01)
    assert isinstance(charge, Charge)
    node.give_back(charge, 10.05)
    assert isinstance(node.charge('tailors', 50, 10.06), Charge)


def test_caller_that_leaves_while_it_waits_costs_nothing() -> None:
    """Guards against quota that is granted to a request that nobody awaits."""
    node = make_node()
    number = ask(node, 50, 10.0)
    node.abandon(number, 10.01)
    node.receive(grant(number, 50), 10.01)
    assert isinstance(node.charge('tailors', 50, 10.02), Charge)


def test_refused_instance_asks_no_more_until_there_is_room() -> None:
    """Guards against an ask for each request of a customer over its quota."""
    node = make_node()
    number = ask(node, 50, 10.0)
    node.receive(grant(number, 0.0, wait_s=0.2, line_s=3.0), 10.01)
    assert isinstance(node.settle(number, 10.01), OverQuota)
    node.outbox.clear()
    refused = [node.charge('tailors', 50, 10.02) for _ in range(50)]
    assert not node.outbox
    times = [each.retry_after_s for each in refused if isinstance(each, OverQuota)]
    assert len(times) == 50
    assert 190 <= 1000 * min(times) < 1000 * max(times) - 1500
    ask(node, 50, 10.3)
    assert any(isinstance(sent, QuotaAsk) and sent.refused == 2500 for _, sent in node.outbox)


def test_ask_and_grant_take_few_bytes() -> None:
    """Guards against a cost between zones that grows with the requests: many are asked for one by one."""
    node = make_node()
    ask(node, 17_020, 10.0)
    sent = next(each for _, each in node.outbox if isinstance(each, QuotaAsk))
    granter = make_granter()
    answers = [
        granter.answer(msgspec.structs.replace(sent, amount=300.0), 10.9),
        granter.answer(msgspec.structs.replace(sent, number=2), 10.9),
    ]
    lengths = [len(encode_quota_message(each)) for each in (sent, *answers)]
    assert [answers[0].amount, answers[1].amount] == [300, 0]
    assert decode_quota_message(encode_quota_message(sent)) == sent
    assert lengths[0] <= 42
    assert lengths[1] <= 50


#: Integers that a message can carry.
INTEGERS = st.integers(-(2**63), 2**64 - 1)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    message=st.one_of(
        st.builds(QuotaBeat, st.text(), INTEGERS, st.dictionaries(INTEGERS, st.booleans())),
        st.builds(
            QuotaSupport,
            st.sampled_from(NAMES),
            st.sampled_from((f'{NAMES[0]}~1', '')),
            INTEGERS,
            st.tuples(st.integers(0, 9)),
            INTEGERS,
        ),
        st.builds(QuotaAsk, st.text(), INTEGERS, st.just('tailors'), st.floats(), st.floats()),
        st.builds(
            QuotaGrant,
            st.text(),
            st.text(),
            INTEGERS,
            st.floats(),
            st.booleans(),
            st.floats(),
            st.floats(),
        ),
        st.builds(
            QuotaReturn,
            st.text(),
            st.just(f'{NAMES[0]}~1'),
            INTEGERS,
            st.tuples(st.builds(ReturnedPart, st.just('tailors'), INTEGERS, st.floats())),
        ),
    )
)
def test_odd_messages_raise_nothing(message: QuotaBeat) -> None:
    """Guards against a datagram from anywhere that ends the task of all quotas."""
    node = make_node()
    node.receive(decode_quota_message(msgspec.msgpack.encode(message)), 10.1)
    node.run_round(NAMES, 10.5)
