"""Guards of announced role changes."""

from __future__ import annotations

from tests.guards.catalogue import Guard

HELD = 'shallotmux/plannedchanges/_held.py'
BOOK = 'shallotmux/plannedchanges/_book.py'
BALANCER = 'shallotmux/control/_role_balancer.py'
HELD_TESTS = 'tests/plannedchanges/test_held.py'
BOOK_TESTS = 'tests/plannedchanges/test_book.py'
EXCHANGE = 'tests/plannedchanges/test_exchange.py'
ROLES = 'tests/control/test_planned_roles.py'
PLANNED = 'tests/forwarding/test_planned_changes.py'
BACKOFF = 'tests/forwarding/test_refusal_backoff.py'

PLANNED_GUARDS = (
    Guard(
        'planned-change (unused no longer than the bound)',
        HELD,
        'present.until = min(present.until, received.until)',
        'present.until = received.until',
        (f'{HELD_TESTS}::test_repeated_copies_do_not_prolong_a_phase',),
    ),
    Guard(
        'planned-change (repeated after it was forgotten)',
        HELD,
        'if change.number > self._last_forgotten and len(self._held) < MAX_HELD:',
        'if len(self._held) < MAX_HELD:',
        (f'{HELD_TESTS}::test_repeated_copies_do_not_prolong_a_phase',),
    ),
    Guard(
        'planned-change (reordered)',
        HELD,
        'elif received.order > present.order:',
        'else:',
        (f'{HELD_TESTS}::test_announcement_that_arrives_after_the_order_is_ignored',),
    ),
    Guard(
        'planned-change (older term)',
        HELD,
        'if change.term < self._term:',
        'if False:',
        (f'{HELD_TESTS}::test_older_terms_are_dropped',),
    ),
    Guard(
        'planned-change (two leaders)',
        HELD,
        'self._held.clear()',
        'pass',
        (f'{EXCHANGE}::test_higher_term_wins_between_two_leaders',),
    ),
    Guard(
        'planned-change (restart)',
        HELD,
        'if held.change.start != start or held.change.role == role:',
        'if held.change.role == role:',
        (f'{EXCHANGE}::test_restarted_engine_is_used_at_once',),
    ),
    Guard(
        'planned-change (list ends it)',
        HELD,
        'if held.change.start != start or held.change.role == role:',
        'if held.change.start != start:',
        (f'{HELD_TESTS}::test_list_ends_a_plan_for_good',),
    ),
    Guard(
        'planned-change (list ends it for good)',
        HELD,
        'held.until = min(held.until, now)',
        'pass',
        (f'{PLANNED}::test_new_role_in_the_list_ends_the_plan',),
    ),
    Guard(
        'planned-change (delayed answer)',
        'shallotmux/fleet/_poller.py',
        'self.view.plans.merge(knowledge.plans, sent_at)',
        'self.view.plans.merge(knowledge.plans, trio.current_time())',
        (f'{EXCHANGE}::test_delayed_answers_do_not_prolong_a_plan',),
    ),
    Guard(
        'planned-change (term of the announcement)',
        BALANCER,
        'if holder is None or holder.token != plan.term:',
        'if holder is None:',
        (f'{ROLES}::test_order_is_not_sent_after_its_term',),
    ),
    Guard(
        'planned-change (not wanted any more)',
        BALANCER,
        'if wanted[plan.role] < 0:',
        'if False:',
        (f'{ROLES}::test_change_that_is_not_wanted_any_more_is_withdrawn',),
    ),
    Guard(
        'planned-change (pause after a withdrawal)',
        BALANCER,
        'if now < self._paused_until[service] or not self._book.has_room(service):',
        'if not self._book.has_room(service):',
        (f'{ROLES}::test_change_that_is_not_wanted_any_more_is_withdrawn',),
    ),
    Guard(
        'planned-change (last engine of a role)',
        BALANCER,
        'elif keeps_role_in_use(listed, others, endpoint):',
        'elif True:',
        (f'{ROLES}::test_last_working_engine_of_a_role_is_not_ordered',),
    ),
    Guard(
        'planned-change (two at a time, former leader)',
        BALANCER,
        'if former and not change.is_urgent:',
        'if False:',
        (f'{ROLES}::test_new_leader_waits_for_the_changes_of_the_former_one',),
    ),
    Guard(
        'planned-change (two at a time)',
        BOOK,
        'return len(self.live(service)) < MAX_PLANS_PER_SERVICE',
        'return True',
        (f'{ROLES}::test_two_engines_of_a_service_change_at_a_time',),
    ),
    Guard(
        'planned-change (too few engines that can answer)',
        BALANCER,
        'delay_s = 0.0 if change.is_urgent else ORDER_DELAY_S',
        'delay_s = ORDER_DELAY_S',
        (f'{ROLES}::test_order_is_sent_at_once_while_too_few_engines_can_answer',),
    ),
    Guard(
        'planned-change (order after the announcement)',
        BOOK,
        'due_at=now + delay_s,',
        'due_at=now,',
        (f'{ROLES}::test_order_follows_its_announcement_after_a_fixed_time',),
    ),
    Guard(
        'planned-change (expired announcement)',
        BOOK,
        'elif now >= plan.announced_at + ORDER_WITHIN_S:',
        'elif False:',
        (f'{BOOK_TESTS}::test_order_is_not_sent_when_the_announcement_has_expired',),
    ),
    Guard(
        'planned-change (no answer)',
        BALANCER,
        'DutyOutcome.UNKNOWN: PlanState.UNKNOWN',
        'DutyOutcome.UNKNOWN: PlanState.REFUSED',
        (f'{ROLES}::test_order_without_an_answer_is_not_repeated',),
    ),
    Guard(
        'planned-change (lease)',
        'shallotmux/plannedchanges/_publisher.py',
        'if not plans or not self._leads(self._book.term):',
        'if not plans:',
        (
            'tests/plannedchanges/test_publisher.py::test_instance_without_the_lease_publishes_nothing',
        ),
    ),
    Guard(
        'planned-change (no new work)',
        'shallotmux/forwarding/_planned.py',
        'if any(each.may_answer for each in free):',
        'if False:',
        (f'{PLANNED}::test_engine_under_a_plan_gets_no_new_work',),
    ),
    Guard(
        'planned-change (requests)',
        'shallotmux/forwarding/_directory.py',
        'available = prefer_unplanned(available, self.plans, now)',
        'pass',
        (f'{PLANNED}::test_request_avoids_an_engine_under_a_plan',),
    ),
    Guard(
        'refusal (role)',
        'shallotmux/forwarding/_state.py',
        'if is_engine and status == MISDIRECTED_STATUS:',
        'if False:',
        (f'{BACKOFF}::test_engine_in_another_role_is_avoided_until_it_is_listed',),
    ),
    Guard(
        'refusal (former role)',
        'shallotmux/forwarding/_state.py',
        'if sent_at < self.role_since:',
        'if False:',
        (f'{BACKOFF}::test_late_refusal_of_the_former_role_does_not_count',),
    ),
    Guard(
        'refusal (in a row)',
        'shallotmux/forwarding/_state.py',
        'self.refusal_s = min(2 * self.refusal_s, MAX_REFUSAL_BACKOFF_S)',
        'pass',
        (f'{BACKOFF}::test_refusals_in_a_row_lengthen_the_backoff',),
    ),
)
