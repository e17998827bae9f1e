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
        'shallotmux/forwarding/_listener.py',
        "if is_open and self.protocol.their_http_version != b'1.1':",
        'if False:',
        (f'{BROKEN}::test_broken_stream_is_reset_for_callers_without_chunks',),
    ),
    Guard(
        'event-of-one-run',
        'shallotmux/forwarding/_forwarder.py',
        '(job.events is None or not job.events.can_be_continued)',
        'job.events is None',
        (f'{BROKEN}::test_event_that_was_relayed_in_part_is_not_sent_again',),
    ),
)
