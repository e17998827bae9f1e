"""Guards of forwarding, of the control group and of duties."""

from __future__ import annotations

from tests.guards.catalogue import Guard

FORWARDER = 'tests/forwarding/test_forwarder.py'
WIRE = 'tests/forwarding/test_wire.py'
ENGINES = 'tests/forwarding/test_engines.py'
PARTS = 'tests/forwarding/test_parts.py'
MEMBER = 'tests/control/test_member.py'

FORWARDING_GUARDS = (
    Guard(
        'answer-matched',
        'shallotmux/forwarding/_endpoint.py',
        'find_header(head.headers, self._request_id_header) == self._request.request_id',
        'True',
        (f'{WIRE}::test_late_answer_of_earlier_request_is_skipped',),
    ),
    Guard(
        'answer-matched (nothing behind it)',
        'shallotmux/forwarding/_endpoint.py',
        'return is_done and states == (h11.DONE, h11.DONE) and not has_trailing_data',
        'return True',
        (WIRE,),
    ),
    Guard(
        'answer-of-one-run',
        'shallotmux/forwarding/_retries.py',
        '(job.events is None or not job.events.can_be_continued)',
        'False',
        (
            f'{WIRE}::test_truncated_chunked_answer_is_not_joined_with_another',
            'tests/forwarding/test_broken_streams.py::test_stream_of_another_kind_of_route_is_not_continued',
        ),
    ),
    Guard(
        'answer-of-one-run (patience)',
        'shallotmux/forwarding/_attempt.py',
        'await trio.lowlevel.checkpoint_if_cancelled()',
        'pass',
        (f'{FORWARDER}::test_answer_at_timeout_is_not_mixed_with_another',),
    ),
    Guard(
        'runs-once',
        'shallotmux/forwarding/_retries.py',
        'if not job.route.is_repeatable or job.runs >= job.route.max_attempts:',
        'if job.runs >= job.route.max_attempts:',
        (f'{FORWARDER}::test_only_repeatable_requests_run_again',),
    ),
    Guard(
        'not-run-is-true',
        'shallotmux/forwarding/_outcome.py',
        'if head.status in NOT_RUN_STATUSES:',
        'if False:',
        (f'{PARTS}::test_only_marked_refusals_prove_that_nothing_ran',),
    ),
    Guard(
        'system-headers',
        'shallotmux/forwarding/_job.py',
        'dropped = names.reserved | {',
        'dropped = {',
        (f'{FORWARDER}::test_endpoint_receives_the_customer_but_not_the_key',),
    ),
    Guard(
        'repeats-bounded',
        'shallotmux/forwarding/_retries.py',
        'return not job.sends or self.budget.try_spend(job.service)',
        'return True',
        (f'{FORWARDER}::test_exhausted_budget_stops_retries',),
    ),
    Guard(
        'repeats-bounded (prefills)',
        'shallotmux/forwarding/_prefill.py',
        'self._budget.charge(job.service)\n            log_message(',
        'log_message(',
        (f'{ENGINES}::test_refused_and_further_prefills_count_as_retries',),
    ),
    Guard(
        'harmful-requests-stopped',
        'shallotmux/forwarding/_directory.py',
        'return self.crashes.quarantine_ends_in(job.subjects(), job.request_id)',
        'return 0.0',
        (f'{FORWARDER}::test_request_that_crashes_endpoints_is_not_sent_on',),
    ),
    Guard(
        'harmful-requests-stopped (told by others)',
        'shallotmux/crashes/_records.py',
        'self._add_crash(crash.subject, crash.endpoint, at, is_repeated=crash.is_repeated)',
        'pass',
        ('tests/crashes/test_records.py',),
    ),
    Guard(
        'leaving-endpoints',
        'shallotmux/forwarding/_directory.py',
        'return listed.service == service and not listed.is_leaving and is_of_version',
        'return listed.service == service and is_of_version',
        ('tests/forwarding/test_directory.py',),
    ),
    Guard(
        'leaving-endpoints (older list)',
        'shallotmux/forwarding/_directory.py',
        'if state.listed.is_leaving and not listed.is_leaving:',
        'if False:',
        ('tests/forwarding/test_directory.py',),
    ),
    Guard(
        'one-holder',
        'shallotmux/control/_duties.py',
        'if not driver.is_leader() or token <= self._fenced_token or self._is_resigned:',
        'if token <= self._fenced_token or self._is_resigned:',
        ('tests/control/test_duties.py',),
    ),
    Guard(
        'one-holder (refused token)',
        'shallotmux/control/_duties.py',
        'or token <= self._fenced_token or self._is_resigned:',
        'or self._is_resigned:',
        ('tests/control/test_duties.py::test_refused_token_is_not_used_again',),
    ),
    Guard(
        'document-never-older',
        'shallotmux/fleet/_poller.py',
        'if self.table is not None and document.version <= self.version:',
        'if False:',
        ('tests/fleet/test_poller.py',),
    ),
    Guard(
        'list-never-older',
        'shallotmux/fleet/_poller.py',
        'if listed_at <= self.listed_at:',
        'if False:',
        ('tests/fleet/test_poller.py',),
    ),
    Guard(
        'signals-until-exit',
        'shallotmux/signals.py',
        'signal.signal(number, signal.SIG_IGN)',
        'signal.getsignal(number)',
        ('tests/platform/test_process.py',),
    ),
    Guard(
        'signals-until-exit (start)',
        'shallotmux/launcher.py',
        'signal.signal(signal.SIGHUP, signal.SIG_IGN)',
        'signal.getsignal(signal.SIGHUP)',
        ('tests/platform/test_process.py',),
    ),
    Guard(
        'signals-until-exit (full disk)',
        'shallotmux/programs/_disk.py',
        'while not self._stop.is_set():',
        'while True:',
        ('tests/platform/test_process.py',),
    ),
    Guard(
        'one-holder (takeover delay)',
        'shallotmux/control/_duties.py',
        'return (alternation_s + CALL_FLIGHT_S) / 2 + TAKEOVER_MARGIN_S',
        'return 0.0',
        ('tests/control/test_duties.py::test_leadership_that_returns_makes_no_calls_too_soon',),
    ),
    Guard(
        'one-holder (call in flight)',
        'shallotmux/control/_duties.py',
        'return (alternation_s + CALL_FLIGHT_S) / 2 + TAKEOVER_MARGIN_S',
        'return 0.0',
        ('tests/control/test_duties.py::test_new_leader_waits_for_calls_of_its_predecessor',),
    ),
    Guard(
        'one-holder (shutdown)',
        'shallotmux/control/_duties.py',
        'self._is_resigned = True',
        'self._is_resigned = False',
        ('tests/control/test_duties.py::test_resigned_leader_makes_no_calls',),
    ),
    Guard(
        'one-holder (suspension)',
        'shallotmux/authority/_driver.py',
        'and status.last_leader_contact > self._suspension.noticed_at()',
        'and True',
        ('tests/control/test_duties.py::test_suspended_leader_makes_no_calls_until_confirmed',),
    ),
    Guard(
        'linearizable (reads that a majority confirms)',
        'shallotmux/authority/_reads.py',
        'uses_lease=False',
        'uses_lease=True',
        ('tests/control/test_reads.py::test_leader_without_a_majority_answers_no_read',),
    ),
    Guard(
        'one-holder (lease at the write)',
        'shallotmux/calls/_guarded.py',
        'self.guard.check()',
        'pass',
        ('tests/platform/test_duties.py::test_call_is_not_written_after_the_lease',),
    ),
    Guard(
        'answers-bounded (calls of the leader)',
        'shallotmux/calls/_guarded.py',
        'if len(content) > limit:',
        'if False:',
        ('tests/platform/test_duties.py::test_endless_answer_ends_with_unknown_outcome',),
    ),
    Guard(
        'shutdown-safe (late requests)',
        'shallotmux/forwarding/_caller_connection.py',
        'if self.listener.is_closed:',
        'if False:',
        ('tests/forwarding/test_shutdown.py',),
    ),
    Guard(
        'shutdown-safe (time to accept)',
        'shallotmux/programs/_entry.py',
        'DEREGISTRATION_DELAY_S = 2.6',
        'DEREGISTRATION_DELAY_S = 3.2',
        ('tests/programs/test_drain.py',),
    ),
    Guard(
        'answers-bounded (whole bodies)',
        'shallotmux/forwarding/_endpoint.py',
        'if size > MAX_WHOLE_BODY_BYTES:',
        'if False:',
        ('tests/forwarding/test_endless.py',),
    ),
    Guard(
        'answers-bounded (discarded bodies)',
        'shallotmux/forwarding/_attempt.py',
        """            await connection.discard_body()
            reason = f""",
        """            await connection.receive_body()
            reason = f""",
        ('tests/forwarding/test_endless.py',),
    ),
    Guard(
        'answers-bounded (interim answers)',
        'shallotmux/forwarding/_endpoint.py',
        'for _ in range(MAX_INTERIM_ANSWERS):',
        'while True:',
        ('tests/forwarding/test_endless.py',),
    ),
    Guard(
        'answers-bounded (list)',
        'shallotmux/calls/_guarded.py',
        'if len(content) > limit:',
        'if False:',
        ('tests/platform/test_list_client.py',),
    ),
)
