"""Guards of the invariants and the tests that must fail without them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Guard:
    """Code that enforces an invariant, and the mutation that removes it.

    :param path: source file that contains the guard.
    :param code: source text of the guard; must occur exactly once in the file.
    :param replacement: text that replaces the guard to disable it.
    :param tests: arguments for pytest, the last of which is the test that must fail.
    """

    invariant: str
    path: str
    code: str
    replacement: str
    tests: tuple[str, ...]


ORDERS = 'tests/orders/test_failover.py'
USAGE = 'tests/usage/test_reporting.py'
CALLERS = 'tests/callers/test_app.py'
STATE = 'tests/authority/test_state.py'
JOBS = 'tests/requests/test_jobs.py'

GUARDS = (
    Guard(
        'orders-consistent',
        'shallotmux/authority/_intents.py',
        'if target.attempts and not command.checks_fencing:',
        'if False:',
        (f'{ORDERS}::test_target_without_fencing_gets_no_order_before_former_sender_is_gone',),
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
        'planned-change-safe (order waits for streams)',
        'shallotmux/controllers/_drains.py',
        'idle = 0 if report.running else idle + 1',
        'idle = IDLE_REPORTS',
        ('tests/controllers/test_zone.py::test_role_change_under_load_interrupts_no_stream',),
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
        'customer-isolation (jobs)',
        'shallotmux/requests/_jobs.py',
        'JobId(request.customer,',
        "JobId('',",
        (f'{JOBS}::test_customers_and_bodies_are_distinguished',),
    ),
    Guard(
        'customer-isolation (responses)',
        'shallotmux/callers/_responses.py',
        'or not hmac.compare_digest(match[2], signature)',
        'or False',
        ('tests/callers/test_app.py::test_response_id_of_another_body_is_refused',),
    ),
    Guard(
        'key-confined',
        'shallotmux/callers/_services.py',
        'if name in FORWARDED_HEADERS:',
        'if True:',
        ('tests/callers/test_request_checks.py::test_service_sees_no_key_headers',),
    ),
    Guard(
        'whole-answer (missing event)',
        'shallotmux/requests/_events.py',
        'if not is_number or int(number) > self._delivered:',
        'if False:',
        ('tests/requests/test_events.py::test_wrong_stream_is_a_fault',),
    ),
    Guard(
        'whole-answer (crossed answer)',
        'shallotmux/requests/_events.py',
        'if self._done or self._quoted_id not in event:',
        'if self._done:',
        ('tests/requests/test_events.py::test_wrong_stream_is_a_fault',),
    ),
    Guard(
        'not-run-true',
        'shallotmux/requests/_lifecycle.py',
        'if all(each == AttemptState.NOT_RUN for each in lifecycle.attempts.values()):',
        'if True:',
        ('tests/requests/test_jobs.py::test_crash_after_run_is_unknown',),
    ),
    Guard(
        'key-withdrawal (open streams)',
        'shallotmux/requests/_executor.py',
        'if key is None or key.withdrawn:',
        'if False:',
        ('tests/requests/test_planned.py::test_keyed_stream_ends_without_authority',),
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
        (f'{USAGE}::test_report_is_identical_after_lost_answers_and_failover',),
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
        ('tests/provisioning/test_poller.py',),
    ),
    Guard(
        'shutdown-safe',
        'shallotmux/http/_server.py',
        'connections.cancel_scope.deadline = trio.current_time() + listener.drain_s',
        'connections.cancel_scope.cancel()',
        ('tests/daemon/test_process.py::test_sigterm_during_stream_finishes_it',),
    ),
    Guard(
        'config-monotonic (order of entries)',
        'shallotmux/authority/_group_state.py',
        'if entry.index != self.applied_index + 1:',
        'if False:',
        ('tests/membership/test_group_state.py',),
    ),
    Guard(
        'config-monotonic',
        'shallotmux/authority/_configuration.py',
        'if command.expected_revision != current_revision:',
        'if False:',
        (f'{STATE}::test_put_equal_revision_one_writer_wins',),
    ),
)
