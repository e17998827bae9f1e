"""The guards of the invariants and the tests that fail without them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Guard:
    """One guard.

    :param code: text in the source that is the guard.
    :param without: text that takes it out.
    :param tests: arguments for pytest, the last of which names the test.
    """

    invariant: str
    path: str
    code: str
    without: str
    tests: tuple[str, ...]


ORDERS = 'tests/orders/test_failover.py'
USAGE = 'tests/usage/test_reporting.py'
CALLERS = 'tests/callers/test_app.py'
STATE = 'tests/authority/test_state.py'

GUARDS = (
    Guard(
        'orders-consistent',
        'shallotmux/authority/_intents.py',
        'if target.attempts and not command.checks_fencing:',
        'if False:',
        (f'{ORDERS}::test_target_that_ignores_fencing_waits_for_former_sender',),
    ),
    Guard(
        'orders-consistent (open order)',
        'shallotmux/authority/_intents.py',
        'if target.intent is not None:\n            return Refused',
        'if False:\n            return Refused',
        (f'{ORDERS}::test_second_order_waits_for_the_first',),
    ),
    Guard(
        'planned-change-safe',
        'shallotmux/authority/_state.py',
        'or self.intents.is_changing(endpoint.name)',
        'or False',
        (f'{ORDERS}::test_engine_with_open_order_gets_no_new_work',),
    ),
    Guard(
        'fenced-orders',
        'shallotmux/orders/_sender.py',
        'if not holds or trio.current_time() >= leadership.lease_end:',
        'if False:',
        (f'{ORDERS}::test_former_leader_sends_nothing_after_failover',),
    ),
    Guard(
        'fenced-orders (former term)',
        'shallotmux/authority/_intents.py',
        'if command.term < self.term:',
        'if False:',
        (f'{ORDERS}::test_command_of_former_term_is_refused',),
    ),
    Guard(
        'key-withdrawal',
        'shallotmux/callers/_authentication.py',
        'if key is None or key.withdrawn:',
        'if key is None:',
        (f'{CALLERS}::test_withdrawn_key_is_refused',),
    ),
    Guard(
        'platform-single-writer',
        'shallotmux/orders/_sender.py',
        'if not holds or trio.current_time() >= leadership.lease_end:',
        'if False:',
        ('tests/orders/test_sender.py::test_order_is_sent_only_under_the_lease',),
    ),
    Guard(
        'usage-once (frozen figures)',
        'shallotmux/authority/_usage.py',
        'if index <= self.frozen_through:',
        'if False:',
        (f'{USAGE}::test_lost_answers_and_failover_repeat_the_same_bytes',),
    ),
    Guard(
        'usage-once (two in charge)',
        'shallotmux/orders/_sender.py',
        'guard.check()\n        return await fetch',
        'return await fetch',
        (f'{USAGE}::test_paused_leader_does_not_report_after_takeover',),
    ),
    Guard(
        'at-most-once (ledger)',
        'shallotmux/authority/_ledger.py',
        'if job.answer is not None:\n            return ClaimFinished(job.answer)',
        'if job.answer is not None:\n            return ClaimGranted(job.claimant)',
        (f'{STATE}::test_claim_is_granted_once',),
    ),
    Guard(
        'leaving-drained',
        'shallotmux/authority/_state.py',
        'self.inventory.is_leaving(endpoint.name)',
        'False',
        ('tests/platform/test_poller.py',),
    ),
    Guard(
        'config-monotonic',
        'shallotmux/authority/_configuration.py',
        'if command.expected_revision != winning:',
        'if False:',
        (f'{STATE}::test_put_equal_revision_one_writer_wins',),
    ),
)
