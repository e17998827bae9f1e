"""Guards of the limits that endpoints name."""

from __future__ import annotations

from tests.guards.catalogue import Guard

LIMITS = 'tests/ratelimits/test_endpoint_limits.py'
FORWARDED = 'tests/forwarding/test_endpoint_limits.py'
FLEET = 'tests/measure/test_ratelimits.py'
ENGINES = 'tests/forwarding/test_engines.py'

LIMIT_GUARDS = (
    Guard(
        'limits-kept (limit is read)',
        'shallotmux/forwarding/_directory.py',
        'self.record_answer(state, sent_at, head.header(names.limit))',
        'self.record_answer(state, sent_at, None)',
        (f'{FORWARDED}::test_endpoint_gets_no_more_than_the_limit_that_it_names',),
    ),
    Guard(
        'limits-kept (permit is used up)',
        'shallotmux/ratelimits/_stock.py',
        '        self._expiries[endpoint].popleft()\n        self._missed',
        '        self._missed',
        (LIMITS, FLEET),
    ),
    Guard(
        'limits-kept (handover)',
        'shallotmux/ratelimits/_granting.py',
        'bucket = _Bucket(now + HANDOVER_S, now)',
        'bucket = _Bucket(now, now)',
        (f'{LIMITS}::test_new_granter_waits_for_the_permits_of_the_former',),
    ),
    Guard(
        'limits-kept (permits of the former granter)',
        'shallotmux/ratelimits/_granting.py',
        'if bucket is not None and now >= bucket.filled_until:',
        'if bucket is not None:',
        (f'{LIMITS}::test_new_granter_waits_for_the_permits_of_the_former',),
    ),
    Guard(
        'limits-kept (one granter)',
        'shallotmux/ratelimits/_endpoint_limits.py',
        'if self._choose_granter(endpoint) == granter:',
        'if True:',
        (f'{LIMITS}::test_permits_come_from_the_chosen_granter_once',),
    ),
    Guard(
        'limits-kept (newest observation)',
        'shallotmux/ratelimits/_known.py',
        'if limit is None and (known is None or sent_at <= known.at):',
        'if limit is None and known is None:',
        (f'{LIMITS}::test_answer_to_an_earlier_request_lifts_nothing',),
    ),
    Guard(
        'retry-budget (accepted prefills)',
        'shallotmux/forwarding/_engines.py',
        'if job.is_prefilled:',
        'if False:',
        (f'{ENGINES}::test_further_accepted_prefills_count_as_retries',),
    ),
)
