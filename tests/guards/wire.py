"""Guards against odd requests and answers that end other requests, or the process."""

from __future__ import annotations

from tests.guards.catalogue import Guard

ANSWERS = 'tests/forwarding/test_odd_answers.py'
REQUESTS = 'tests/forwarding/test_odd_requests.py'
FAULTS = 'tests/forwarding/test_faults.py'
IDS = 'tests/forwarding/test_event_ids.py'
MESSAGES = 'tests/ratelimits/test_odd_messages.py'
DESCRIPTORS = 'tests/forwarding/test_descriptors.py'

WIRE_GUARDS = (
    Guard(
        'answer-numbers (range)',
        'shallotmux/forwarding/_headers.py',
        'if not digits.isdigit() or len(digits) > len(str(most)):',
        'if not digits.isdigit():',
        (f'{ANSWERS}::test_keep_alive_out_of_range_loses_no_answer',),
    ),
    Guard(
        'answer-numbers (load)',
        'shallotmux/forwarding/_headers.py',
        'return number if number <= most else None',
        'return number',
        (f'{ANSWERS}::test_load_that_is_no_count_is_ignored',),
    ),
    Guard(
        'answer-framing (length beside chunks)',
        'shallotmux/forwarding/_endpoint.py',
        'AnswerHead(event.status_code, drop_ignored_length(headers))',
        'AnswerHead(event.status_code, headers)',
        (f'{ANSWERS}::test_length_beside_chunks_does_not_cut_an_answer',),
    ),
    Guard(
        'fault-answered',
        'shallotmux/forwarding/_caller_connection.py',
        'await reply.send_fault()',
        'pass',
        (f'{FAULTS}::test_request_whose_handler_fails_gets_an_answer',),
    ),
    Guard(
        'fault-contained',
        'shallotmux/forwarding/_listener.py',
        'except* Exception as error:',
        'except* trio.Cancelled as error:',
        (f'{FAULTS}::test_fault_while_a_request_is_cancelled_ends_only_its_connection',),
    ),
    Guard(
        'head-request-whole',
        'shallotmux/forwarding/_caller_reply.py',
        'if content and self.has_body:',
        'if content:',
        (f'{FAULTS}::test_refused_head_request_keeps_its_connection',),
    ),
    Guard(
        'request-encoded (host and id)',
        'shallotmux/forwarding/_job.py',
        'passed = drop_connection_headers(self.request.headers, needed)',
        'passed = drop_connection_headers(self.request.headers)',
        (f'{REQUESTS}::test_connection_header_removes_neither_host_nor_id',),
    ),
    Guard(
        'request-encoded (blame)',
        'shallotmux/forwarding/_endpoint.py',
        "raise EndpointError(f'{error!r}', step='encode', peer=self._peer) from error",
        "raise ConnectionUnusable(f'{error!r}', step='encode', peer=self._peer) from error",
        (f'{IDS}::test_request_that_cannot_be_encoded_shows_nothing_of_the_endpoint',),
    ),
    Guard(
        'request-matched (two ids)',
        'shallotmux/forwarding/_admission.py',
        "return Refusal(400, 'the request has two ids')",
        'pass',
        (f'{REQUESTS}::test_request_with_two_ids_is_refused',),
    ),
    Guard(
        'reason-short',
        'shallotmux/forwarding/_refusals.py',
        'return self.reason[:MAX_REASON_CHARS]',
        'return self.reason',
        (f'{ANSWERS}::test_reason_of_a_refusal_is_short',),
    ),
    Guard(
        'no-tunnel',
        'shallotmux/forwarding/_caller_connection.py',
        "if head.method == b'CONNECT':",
        'if False:',
        (f'{REQUESTS}::test_connect_request_to_a_page_is_refused',),
    ),
    Guard(
        'stream-continued (usable id)',
        'shallotmux/forwarding/_events.py',
        "self.last_id = event_id if _USABLE_ID.fullmatch(event_id) else b''",
        'self.last_id = event_id',
        (f'{IDS}::test_broken_stream_with_unusable_id_spoils_no_endpoint',),
    ),
    Guard(
        'limit-range (reports)',
        'shallotmux/ratelimits/_known.py',
        'for each in filter(_is_in_range, reports):',
        'for each in reports:',
        (f'{MESSAGES}::test_limit_out_of_range_does_not_end_the_rounds',),
    ),
    Guard(
        'limit-range (header)',
        'shallotmux/ratelimits/_known.py',
        'return limit if 0 <= limit <= MAX_LIMIT_PER_S else None',
        'return limit if 0 <= limit < math.inf else None',
        (f'{MESSAGES}::test_limit_out_of_range_in_a_header_is_none',),
    ),
    Guard(
        'permits-bounded',
        'shallotmux/ratelimits/_endpoint_limits.py',
        'wanted = max(1, min(count, MAX_WANTED))',
        'wanted = count',
        (f'{MESSAGES}::test_number_of_wanted_permits_is_bounded',),
    ),
    Guard(
        'descriptors (idle connections)',
        'shallotmux/forwarding/_pool.py',
        'if not self._make_room(endpoint):\n                    raise',
        'if True:\n                    raise',
        (f'{DESCRIPTORS}::test_idle_connections_make_room_for_a_request',),
    ),
    Guard(
        'descriptors (reach)',
        'shallotmux/forwarding/_pool.py',
        '        except LocalResourcesSpent:\n            raise\n        except ConnectionUnusable:',
        '        except ConnectionUnusable:',
        (f'{DESCRIPTORS}::test_lack_of_descriptors_shows_nothing_of_an_endpoint',),
    ),
    Guard(
        'idle-connection (waiting request)',
        'shallotmux/forwarding/_caller_connection.py',
        'return await self._begin()\n        return await self._read_waiting()',
        'return await self._begin()\n        return self.listener.is_closed and await self._read_waiting()',
        ('tests/forwarding/test_idle.py',),
    ),
)
