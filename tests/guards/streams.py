"""Guards of streams that break off."""

from __future__ import annotations

from tests.guards.catalogue import Guard

BROKEN = 'tests/forwarding/test_broken_streams.py'
UNFRAMED = 'tests/forwarding/test_unframed.py'

STREAM_GUARDS = (
    Guard(
        'broken-stream-incomplete',
        'shallotmux/forwarding/_relay.py',
        'if not (splitter.is_whole and has_end):',
        'if not has_end:',
        (UNFRAMED, f'{BROKEN}::test_stream_that_ends_inside_an_event_is_not_complete'),
    ),
    Guard(
        'broken-stream-incomplete (no event)',
        'shallotmux/forwarding/_relay.py',
        'has_end = head.has_length or splitter.has_events',
        'has_end = True',
        (UNFRAMED,),
    ),
    Guard(
        'broken-stream-incomplete (type of the answer)',
        'shallotmux/forwarding/_relay.py',
        'if content_type is not None:',
        'if False:',
        (f'{BROKEN}::test_stream_that_ends_inside_an_event_is_not_complete',),
    ),
    Guard(
        'broken-stream-incomplete (length)',
        'shallotmux/forwarding/_relay.py',
        "headers = drop_named(headers, frozenset((b'content-length',)))",
        'pass',
        (f'{BROKEN}::test_continued_stream_does_not_keep_the_length_of_its_first_answer',),
    ),
    Guard(
        'broken-stream-incomplete (error answer)',
        'shallotmux/forwarding/_attempt.py',
        'if job.reply.is_started and not may_continue_stream(job, head):',
        'if False:',
        (f'{BROKEN}::test_error_answer_does_not_continue_a_stream',),
    ),
    Guard(
        'broken-stream-incomplete (HTTP/1.0)',
        'shallotmux/forwarding/_caller_connection.py',
        "if is_open and self.protocol.their_http_version != b'1.1':",
        'if False:',
        (f'{BROKEN}::test_broken_stream_is_reset_for_callers_without_chunks',),
    ),
    Guard(
        'event-of-one-run',
        'shallotmux/forwarding/_retries.py',
        '(job.events is None or not job.events.can_be_continued)',
        'job.events is None',
        (f'{BROKEN}::test_event_that_was_relayed_in_part_is_not_sent_again',),
    ),
)

VERSIONS = 'tests/forwarding/test_stream_versions.py'
STARTS = 'tests/forwarding/test_endpoint_starts.py'
HISTORY = 'tests/origins/test_history.py'
CLIENT = 'tests/origins/test_client.py'
STORE = 'tests/origins/test_store.py'

VERSION_GUARDS = (
    Guard(
        'stream-of-one-version',
        'shallotmux/forwarding/_directory.py',
        'is_of_version = software_version in {None, listed.software_version}',
        'is_of_version = True',
        (f'{VERSIONS}::test_stream_goes_on_at_its_version_within_one_answer',),
    ),
    Guard(
        'stream-of-one-version (retry of the caller)',
        'shallotmux/forwarding/_forwarder.py',
        'if not job.resumes_stream(names):',
        'if True:',
        (f'{VERSIONS}::test_caller_resumes_a_stream_at_its_version',),
    ),
    Guard(
        'stream-of-one-version (unknown)',
        'shallotmux/origins/_decision.py',
        'if knowledge.single_version is not None:',
        'if True:',
        (f'{VERSIONS}::test_stream_of_unknown_version_is_refused_at_once', STORE),
    ),
    Guard(
        'stream-of-one-version (left)',
        'shallotmux/origins/_history.py',
        'if name == service and last >= earliest',
        'if name == service and last >= self.until',
        (f'{HISTORY}::test_version_that_has_left_counts_while_its_streams_may_last',),
    ),
    Guard(
        'stream-of-one-version (old list)',
        'shallotmux/origins/_history.py',
        'is_known = self.since <= earliest and now - self.until <= MAX_LIST_GAP_S',
        'is_known = self.since <= earliest',
        (f'{HISTORY}::test_nothing_is_derived_from_an_old_list',),
    ),
    Guard(
        'stream-of-one-version (restart)',
        'shallotmux/origins/_history.py',
        'is_known = self.since <= earliest and now - self.until <= MAX_LIST_GAP_S',
        'is_known = now - self.until <= MAX_LIST_GAP_S',
        (f'{HISTORY}::test_history_of_a_restarted_instance_is_not_complete',),
    ),
    Guard(
        'stream-of-one-version (told before the first event)',
        'shallotmux/forwarding/_relay.py',
        'if content and job.events is not None and not job.is_origin_recorded:',
        'if False:',
        (f'{VERSIONS}::test_caller_resumes_a_stream_at_its_version',),
    ),
    Guard(
        'stream-of-one-version (two copies)',
        'shallotmux/origins/_client.py',
        'for peer in (usable or ranked)[:COPIES]:',
        'for peer in (usable or ranked)[:1]:',
        (f'{CLIENT}::test_beginning_outlives_a_control_instance',),
    ),
    Guard(
        'stream-of-one-version (reused id)',
        'shallotmux/origins/_store.py',
        'if known is not None and (known.service, known.version) != (origin.service, origin.version):',
        'if False:',
        (f'{STORE}::test_two_beginnings_under_one_id_leave_the_version_uncertain',),
    ),
    Guard(
        'stream-of-one-version (other customer or target)',
        'shallotmux/origins/_store.py',
        '(request_id, target, customer.encode())',
        '(request_id,)',
        (f'{VERSIONS}::test_request_id_of_another_customer_or_route_tells_nothing',),
    ),
    Guard(
        'stream-of-one-version (restarted endpoint)',
        'shallotmux/forwarding/_starts.py',
        'if started_ms not in {None, state.listed.started_ms}:',
        'if False:',
        (f'{STARTS}::test_stream_does_not_go_on_at_an_endpoint_that_restarted',),
    ),
    Guard(
        'stream-of-one-version (suspended machine)',
        'shallotmux/origins/_streams.py',
        'if self.history.until <= self._suspension.noticed_at():',
        'if False:',
        ('tests/origins/test_streams.py',),
    ),
)
