"""Guards of the quotas of customers."""

from __future__ import annotations

from tests.guards.catalogue import Guard

PACKAGE = 'shallotmux/quotas'
RESIGNING = 'tests/quotas/test_resigning.py'
PARTS = 'tests/quotas/test_parts.py'
FORWARDED = 'tests/forwarding/test_quotas.py'
ENGINES = 'tests/forwarding/test_engine_quotas.py'
GATE = 'shallotmux/forwarding/_quota_gate.py'

QUOTA_GUARDS = (
    Guard(
        'quotas-kept (one granter)',
        f'{PACKAGE}/_promises.py',
        'if promise is not None and now < promise.until and promise.granter != granter:',
        'if False:',
        (f'{PARTS}::test_promise_is_exclusive_until_it_ends',),
    ),
    Guard(
        'quotas-kept (promises forgotten at a restart)',
        f'{PACKAGE}/_promises.py',
        'if now < self._started_at + PROMISE_S:',
        'if False:',
        (f'{PARTS}::test_promise_is_exclusive_until_it_ends',),
    ),
    Guard(
        'quotas-kept (hold before the end of promises)',
        f'{PACKAGE}/_promises.py',
        'return needed + PROMISE_S - MAX_HOLD_S',
        'return needed + PROMISE_S',
        (f'{PARTS}::test_support_counts_from_the_beat_and_ends_a_hold_before_the_promise',),
    ),
    Guard(
        'quotas-kept (majority of all that were seen)',
        f'{PACKAGE}/_seen.py',
        'if 2 * len(listed) > len(self._voters):',
        'if True:',
        (f'{PARTS}::test_instances_are_forgotten_only_by_a_majority',),
    ),
    Guard(
        'quotas-kept (empty bucket after a handover)',
        f'{PACKAGE}/_granter.py',
        'bucket.restart(since)',
        'pass',
        (f'{PARTS}::test_granter_that_lost_its_majority_begins_with_an_empty_bucket',),
    ),
    Guard(
        'quotas-kept (outstanding grants)',
        f'{PACKAGE}/_bucket.py',
        'return min(plan.capacity, plan.capacity + plan.most_outstanding - self._outstanding)',
        'return plan.capacity',
        (f'{PARTS}::test_returns_do_not_fill_the_bucket_beside_newer_grants',),
    ),
    Guard(
        'quotas-kept (returns count once)',
        f'{PACKAGE}/_granter.py',
        'if returned.number <= self._returned.get(returned.sender, 0):',
        'if False:',
        (f'{PARTS}::test_return_counts_once_and_only_at_its_granter',),
    ),
    Guard(
        'quotas-kept (repeated asks)',
        f'{PACKAGE}/_bucket.py',
        'if known is not None:',
        'if False:',
        (f'{PARTS}::test_repeated_ask_gets_the_same_grant',),
    ),
    Guard(
        'quotas-kept (grants count once)',
        f'{PACKAGE}/_node.py',
        'if pending is None or pending.is_settled:',
        'if pending is None:',
        (f'{PARTS}::test_grant_is_accepted_once_and_ages_from_the_ask',),
    ),
    Guard(
        'quotas-kept (stock expires)',
        f'{PACKAGE}/_stock.py',
        'while self._parts and self._parts[0].asked_at <= oldest:',
        'while False:',
        (f'{PARTS}::test_stock_expires_and_goes_back',),
    ),
    Guard(
        'quotas-kept (isolated use before a restart)',
        f'{PACKAGE}/_isolated.py',
        'if now < self._started_at + window_s:',
        'if False:',
        (f'{PARTS}::test_isolated_share_is_used_once_in_a_window',),
    ),
    Guard(
        'quotas-kept (lots need a complete list)',
        f'{PACKAGE}/_node.py',
        'is_sure = now - self.started_at >= VOTER_TTL_S',
        'is_sure = True',
        (f'{PARTS}::test_lot_needs_a_complete_list',),
    ),
    Guard(
        'quotas-kept (a granter that resigned)',
        f'{PACKAGE}/_election.py',
        'return not self._has_resigned and now <',
        'return now <',
        (f'{RESIGNING}::test_answer_to_an_earlier_beat_does_not_make_it_the_granter_again',),
    ),
    Guard(
        'quotas-kept (promises to one that resigned)',
        f'{PACKAGE}/_promises.py',
        'until = min(promise.until, now + MAX_HOLD_S)',
        'until = now',
        (f'{RESIGNING}::test_promise_to_one_that_resigned_ends_when_its_grants_have_expired',),
    ),
    Guard(
        'quotas-kept (strangers)',
        f'{PACKAGE}/_node.py',
        'case QuotaAsk() if self.election.knows(message.sender):',
        'case QuotaAsk():',
        (f'{PARTS}::test_asks_and_returns_of_strangers_are_dropped',),
    ),
    Guard(
        'quotas-kept (charged before it is sent)',
        'shallotmux/forwarding/_attempt.py',
        'if isinstance(charge, OverQuota):',
        'if False:',
        (f'{FORWARDED}::test_charge_is_renewed_after_a_slow_connect',),
    ),
    Guard(
        'quotas-kept (what may have run is not returned)',
        'shallotmux/forwarding/_attempt.py',
        'if is_refused or not connection.was_sent:',
        'if True:',
        (f'{FORWARDED}::test_request_that_may_have_run_is_not_given_back',),
    ),
    Guard(
        'quotas-kept (old charges)',
        GATE,
        'if trio.current_time() <= charge.send_by:',
        'if True:',
        (f'{FORWARDED}::test_old_charge_is_renewed_before_the_request_is_sent_again',),
    ),
    Guard(
        'quotas-kept (runs at further endpoints)',
        GATE,
        'return await self.quotas.charge(job.customer, job.quota_amount)',
        'return None',
        (f'{FORWARDED}::test_request_that_runs_again_is_charged_again',),
    ),
    Guard(
        'quotas-kept (prefills)',
        'shallotmux/forwarding/_prefill.py',
        'charge = await self._quota_gate.take(job)',
        'charge = None',
        (f'{ENGINES}::test_prompt_that_may_have_been_prefilled_is_charged_again_elsewhere',),
    ),
)
