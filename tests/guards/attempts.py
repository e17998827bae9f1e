"""Guards of attempts that are slow, given up, or run beside each other."""

from __future__ import annotations

from tests.guards.catalogue import Guard

SLOW = 'tests/forwarding/test_slow_endpoints.py'
SUPERVISION = 'shallotmux/forwarding/_supervision.py'
WITHHELD = 'tests/forwarding/test_withheld_answers.py'
FORWARDER = 'shallotmux/forwarding/_forwarder.py'
ATTEMPT = 'shallotmux/forwarding/_attempt.py'
GIVEN_UP = 'tests/forwarding/test_given_up_attempts.py'
DIRECTORY = 'shallotmux/forwarding/_directory.py'

ATTEMPT_GUARDS = (
    Guard(
        'attempts (retry is reserved first)',
        SUPERVISION,
        'if not first.control.scope.cancel_called and self._reserve_retry(first.target):',
        'if True:',
        (f'{SLOW}::test_endpoint_is_awaited_once_the_budget_is_spent',),
    ),
    Guard(
        'attempts (endpoint is found first)',
        SUPERVISION,
        'return parts.targets.has_other(job) and parts.retries.reserve(job, runs)',
        'return parts.retries.reserve(job, runs)',
        (f'{SLOW}::test_only_endpoint_is_awaited',),
    ),
    Guard(
        'attempts (budget of one beside another)',
        SUPERVISION,
        'if target is None or not parts.retries.reserve(job, job.runs + len(self.running)):',
        'if target is None:',
        (f'{SLOW}::test_endpoint_is_awaited_once_the_budget_is_spent',),
    ),
    Guard(
        'attempts (limit counts those in progress)',
        SUPERVISION,
        'parts.retries.reserve(job, job.runs + len(self.running))',
        'parts.retries.reserve(job, job.runs)',
        (f'{SLOW}::test_attempts_go_on_when_no_further_one_is_allowed',),
    ),
    Guard(
        'attempts (first one goes on)',
        SUPERVISION,
        'return is_plain and not self.parts.directory.is_on_trial(job)',
        'return False',
        (f'{SLOW}::test_first_attempt_outlives_a_second_one_that_fails',),
    ),
    Guard(
        'attempts (streams run at one endpoint)',
        SUPERVISION,
        'is_plain = job.route.kind is RouteKind.SAFE and',
        'is_plain =',
        (f'{SLOW}::test_stream_runs_at_one_endpoint_at_a_time',),
    ),
    Guard(
        'attempts (others end with the first answer)',
        SUPERVISION,
        'self.job.silent_attempts.append(each.as_silent())\n                each.control.scope.cancel()',
        'self.job.silent_attempts.append(each.as_silent())',
        (f'{SLOW}::test_first_whole_answer_is_taken_and_the_other_attempt_ends',),
    ),
    Guard(
        'attempts (silent endpoint is found)',
        SUPERVISION,
        'self.parts.directory.record_overtaken(silent, took_s)',
        'pass',
        (f'{SLOW}::test_silent_endpoint_is_found',),
    ),
    Guard(
        'attempts (slow endpoint is not failing)',
        DIRECTORY,
        'if is_far_slower or silent.waited_s > max(took_s, UNRESPONSIVE_AFTER_S):',
        'if True:',
        (f'{SLOW}::test_silence_is_judged_by_the_pace_of_others',),
    ),
    Guard(
        'attempts (busy endpoint is not failing)',
        DIRECTORY,
        'if state is None or state.answered_at >= silent.started_at:',
        'if state is None:',
        (f'{SLOW}::test_busy_endpoint_is_not_taken_for_a_failing_one',),
    ),
    Guard(
        'attempts (withheld error is delivered)',
        FORWARDER,
        'if refusal is None or await self._send_withheld(job, refusal):',
        'if refusal is None:',
        (f'{WITHHELD}::test_error_is_delivered_if_the_retry_fails',),
    ),
    Guard(
        'attempts (long error is not withheld for nothing)',
        ATTEMPT,
        'if start.is_complete or attempt.control.reserve_retry():',
        'if True:',
        (f'{WITHHELD}::test_slow_error_is_delivered_once_the_budget_is_spent',),
    ),
    Guard(
        'attempts (no event is lost as one is given up)',
        'shallotmux/forwarding/_relay.py',
        'await trio.lowlevel.checkpoint_if_cancelled()',
        'pass',
        (f'{GIVEN_UP}::test_event_that_arrives_as_its_attempt_is_given_up_is_not_missing',),
    ),
    Guard(
        'attempts (begun answer is not given up)',
        'shallotmux/forwarding/_retries.py',
        'is_allowed = job.route.is_repeatable and self._may_follow(job)',
        'is_allowed = job.route.is_repeatable',
        (f'{GIVEN_UP}::test_answer_that_has_begun_is_not_given_up',),
    ),
    Guard(
        'attempts (out of reach, retry is reserved first)',
        'shallotmux/forwarding/_state.py',
        'if is_silent and not self.scope.cancel_called and self._may_abandon():',
        'if is_silent:',
        (f'{GIVEN_UP}::test_stream_is_not_given_up_without_another_endpoint',),
    ),
    Guard(
        'attempts (usual time is waited)',
        'shallotmux/forwarding/_retries.py',
        'return max(timeout_s, min(usual_s, MAX_TIME_SHARE * job.remaining_s))',
        'return timeout_s',
        (f'{SLOW}::test_slow_fleet_costs_few_repeats',),
    ),
    Guard(
        'answer (unexpected exception)',
        FORWARDER,
        'refusal = await self._contain_faults(job, run)',
        'refusal = await run(job)',
        ('tests/forwarding/test_handler_faults.py::test_unexpected_exception_ends_in_an_answer',),
    ),
    Guard(
        'attempts (replaced endpoint is tried again)',
        FORWARDER,
        'if target is not None or not job.silent_attempts:',
        'if True:',
        (f'{SLOW}::test_replaced_endpoint_is_tried_again_if_no_other_serves',),
    ),
    Guard(
        'attempts (ended one is not judged)',
        SUPERVISION,
        'is_over = self.has_ended.is_set() or self._is_answered()',
        'is_over = self._is_answered()',
        (f'{SLOW}::test_attempt_that_ends_as_its_timeout_expires_is_over',),
    ),
)
