"""Guards of reach, of relays through peers, and of what endpoints say of themselves."""

from __future__ import annotations

from tests.guards.catalogue import Guard

VERDICT = 'tests/reachability/test_verdict.py'
RELAYED = 'tests/forwarding/test_relayed.py'
RELAYED_STREAMS = 'tests/forwarding/test_relayed_streams.py'
REST = 'tests/forwarding/test_rest.py'
RELAY_CLIENT = 'tests/http/test_relay_client.py'

REACH_GUARDS = (
    Guard(
        'reach (verdict)',
        'shallotmux/reachability/_verdict.py',
        'return None if any(each.connected_at > since for each in reaches) else since',
        'return since',
        (VERDICT,),
    ),
    Guard(
        'reach (sample)',
        'shallotmux/reachability/_verdict.py',
        'needed = min(len(reaches), CUT_SAMPLE)',
        'needed = len(reaches)',
        (VERDICT,),
    ),
    Guard(
        'reach (old connections)',
        'shallotmux/reachability/_verdict.py',
        'return has_idle_connection and reach.answered_at > failing_since',
        'return has_idle_connection',
        (VERDICT,),
    ),
    Guard(
        'reach (evidence)',
        'shallotmux/forwarding/_paths.py',
        'self._directory.record_relayed(job.service)',
        'pass',
        ('tests/forwarding/test_cut_off_evidence.py',),
    ),
    Guard(
        'relay-once',
        'shallotmux/forwarding/_targets.py',
        'if target is not None or job.relayed_for or not self.directory.is_out_of_reach(job):',
        'if target is not None or not self.directory.is_out_of_reach(job):',
        (f'{RELAYED}::test_relayed_request_is_not_relayed_again',),
    ),
    Guard(
        'relay-strangers',
        'shallotmux/forwarding/_listener.py',
        'return self.accepts(host)',
        'return True',
        (f'{RELAYED}::test_only_instances_of_the_fleet_are_relayed_for',),
    ),
    Guard(
        'relay-header',
        'shallotmux/forwarding/_job.py',
        "replaced = {names.deadline, b'content-length', RELAY_HEADER}",
        "replaced = {names.deadline, b'content-length'}",
        (f'{RELAYED}::test_request_runs_once_through_a_peer_with_all_that_callers_rely_on',),
    ),
    Guard(
        'relay-version',
        'shallotmux/forwarding/_relayed.py',
        'job.stream_version = message.software',
        'job.stream_version = None',
        (f'{RELAYED_STREAMS}::test_open_stream_goes_on_through_a_peer_at_its_version',),
    ),
    Guard(
        'rest',
        'shallotmux/forwarding/_state.py',
        'return self.rest_until > now',
        'return False',
        (REST,),
    ),
    Guard(
        'rest (few requests first)',
        'shallotmux/forwarding/_state.py',
        'if self.is_returning else max_requests',
        'if False else max_requests',
        (f'{REST}::test_few_requests_come_first_when_the_rest_ends',),
    ),
    Guard(
        'rest (start of the endpoint)',
        'shallotmux/forwarding/_notices.py',
        'rest_until = self._rests.until(state.start_number)',
        "rest_until = float('-inf')",
        (f'{REST}::test_rest_is_bound_to_the_start_of_the_endpoint',),
    ),
    Guard(
        'leaving (notice)',
        'shallotmux/forwarding/_notices.py',
        'if says_leaving(head.header(self._names.leaving)):',
        'if False:',
        (REST,),
    ),
    Guard(
        'refusal-closes',
        'shallotmux/http/_relay_client.py',
        'is_refusal = response.status >= MIN_REFUSAL_STATUS',
        'is_refusal = False',
        (f'{RELAY_CLIENT}::test_refusal_written_again_answers_no_later_request',),
    ),
)
