"""Guards of the attribution and quarantine of what crashes endpoints."""

from __future__ import annotations

from tests.guards.catalogue import Guard

QUARANTINE = 'tests/forwarding/test_quarantine.py'
RECORDS = 'tests/crashes/test_records.py'
CULPRITS = 'tests/crashes/test_culprits.py'
EXCHANGE = 'tests/crashes/test_exchange.py'

CRASH_GUARDS = (
    Guard(
        'crashes-bounded (parts are recorded)',
        'shallotmux/forwarding/_job.py',
        'self._subjects = self.shared_parts() | {self.fingerprint()}',
        'self._subjects = frozenset({self.fingerprint()})',
        (f'{QUARANTINE}::test_requests_with_a_part_that_crashes_engines_stop',),
    ),
    Guard(
        'crashes-bounded (check after a prefill)',
        'shallotmux/forwarding/_forwarder.py',
        'quarantine_s = quarantine_s or self.directory.quarantine_ends_in(job)',
        'quarantine_s = quarantine_s or 0.0',
        (f'{QUARANTINE}::test_part_is_quarantined_while_its_prompt_is_prefilled',),
    ),
    Guard(
        'crashes-bounded (check between prefills)',
        'shallotmux/forwarding/_engines.py',
        'if self._directory.quarantine_ends_in(job):',
        'if False:',
        (f'{QUARANTINE}::test_part_is_quarantined_between_two_prefills',),
    ),
    Guard(
        'crashes-bounded (error answers clear nothing)',
        'shallotmux/forwarding/_forwarder.py',
        'if result.is_success:',
        'if True:',
        (f'{QUARANTINE}::test_error_answer_does_not_clear_a_part',),
    ),
    Guard(
        'crashes-bounded (one trial)',
        'shallotmux/crashes/_culprits.py',
        'return int(slot) if ahead < owners else None',
        'return int(slot)',
        (CULPRITS,),
    ),
    Guard(
        'crashes-bounded (restart of a control instance)',
        'shallotmux/crashes/_exchange.py',
        'if known.source not in {0, answer.source}:',
        'if False:',
        (f'{EXCHANGE}::test_evidence_survives_restarts',),
    ),
    Guard(
        'sound-requests-served (blamed once)',
        'shallotmux/crashes/_culprits.py',
        'name: each - endpoints for',
        'name: each if len(each) < len(endpoints) else frozenset() for',
        (CULPRITS,),
    ),
    Guard(
        'sound-requests-served (shared causes)',
        'shallotmux/crashes/_culprits.py',
        'if crash.at - since > SAME_CAUSE_S or subject in crash.repeated:',
        'if True:',
        (f'{CULPRITS}::test_endpoints_that_crash_together_count_once',),
    ),
    Guard(
        'sound-requests-served (refutations are passed on)',
        'shallotmux/crashes/_records.py',
        'self._announce_served(subject)\n            case',
        'pass\n            case',
        (f'{RECORDS}::test_refutation_of_a_late_report_reaches_other_instances',),
    ),
    Guard(
        'sound-requests-served (late reports)',
        'shallotmux/crashes/_evidence.py',
        "if at <= self.served.get(subject, float('-inf')):\n            return Addition",
        'if False:\n            return Addition',
        (f'{RECORDS}::test_part_served_before_a_late_report_is_not_quarantined',),
    ),
    Guard(
        'sound-requests-served (resets)',
        'shallotmux/crashes/_evidence.py',
        'return is_alive and self.add_alive(endpoint, sent_at)',
        'return False',
        (f'{RECORDS}::test_endpoint_that_answers_has_not_crashed',),
    ),
    Guard(
        'whole-answer (unframed streams)',
        'shallotmux/forwarding/_relay.py',
        'if not (splitter.is_whole and has_end):',
        'if False:',
        ('tests/forwarding/test_unframed.py::test_unframed_stream_is_whole_if_its_events_are',),
    ),
)
