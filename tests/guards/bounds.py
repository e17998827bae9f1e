"""Guards of the bounds on memory and connections."""

from __future__ import annotations

from tests.guards.catalogue import Guard

SLOTS = 'tests/membounds/test_slots.py'
UPLOADS = 'tests/forwarding/test_reset_uploads.py'
PEERS = 'tests/transport/test_peer_bounds.py'
CROWDS = 'tests/platform/test_memory_bounds.py'
CONNECTION = 'shallotmux/forwarding/_caller_connection.py'
WRITES = 'shallotmux/forwarding/_caller_writes.py'
SERVER = 'shallotmux/transport/_bounded_server.py'
SLOTS_CODE = 'shallotmux/membounds/_slots.py'

BOUND_GUARDS = (
    Guard(
        'read-ahead',
        CONNECTION,
        'await wait_for_end(self.stream.socket)',
        'self.protocol.receive_data(await self._receive())\n            await trio.sleep_forever()',
        (f'{CROWDS}::test_small_requests_ahead_at_the_readiness_page',),
    ),
    Guard(
        'disconnect (behind unread requests)',
        'shallotmux/membounds/_sockets.py',
        'poll.register(sock.fileno(), select.POLLRDHUP)',
        'poll.register(sock.fileno(), 0)',
        (f'{SLOTS}::test_disconnect_is_noticed_behind_unread_requests',),
    ),
    Guard(
        'unread-answer (reset)',
        WRITES,
        'if not sent and unacknowledged == before:',
        'if False:',
        (f'{SLOTS}::test_caller_who_reads_nothing_is_reset',),
    ),
    Guard(
        'unread-answer (slow reader)',
        WRITES,
        'if not sent and unacknowledged == before:',
        'if not sent or unacknowledged == before or sent < len(rest):',
        (f'{SLOTS}::test_caller_who_reads_slowly_is_kept',),
    ),
    Guard(
        'body-copies',
        'shallotmux/forwarding/_endpoint.py',
        'return tuple(part for part in parts if part)',
        "return (b''.join(parts),)",
        ('tests/forwarding/test_body_memory.py::test_body_is_sent_without_a_copy',),
    ),
    Guard(
        'document-copies',
        'shallotmux/programs/_pages.py',
        'return self._shared[0]',
        'return bytes(bytearray(content))',
        (f'{CROWDS}::test_documents_that_are_not_read',),
    ),
    Guard(
        'listener-connections',
        SLOTS_CODE,
        'while self.taken >= self.limit:',
        'while False:',
        (f'{CROWDS}::test_connections_that_are_only_held[nothing-callers]',),
    ),
    Guard(
        'listener-connections (room for new ones)',
        SLOTS_CODE,
        'self._evict(trio.current_time())',
        'pass',
        (f'{SLOTS}::test_idle_connection_is_closed_for_a_new_one',),
    ),
    Guard(
        'listener-connections (requests in progress)',
        CONNECTION,
        'return self._wait.lasted_s(now, count_unacknowledged(self.stream.socket))',
        'return 1',
        (f'{SLOTS}::test_request_in_progress_is_not_closed_for_a_new_connection',),
    ),
    Guard(
        'peer-messages',
        SERVER,
        '_bound_messages(stream, self.bounds)',
        'pass',
        (f'{CROWDS}::test_long_messages_at_the_port_for_instances[entry]',),
    ),
    Guard(
        'peer-messages (budget)',
        SERVER,
        'if size > bounds.message_bytes:',
        'if False:',
        (f'{PEERS}::test_message_of_any_length_is_refused',),
    ),
    Guard(
        'peer-connections',
        SERVER,
        'if len(self._connections) >= self.bounds.connections:',
        'if False:',
        (f'{PEERS}::test_connections_beyond_the_bound_are_closed',),
    ),
    Guard(
        'peer-connections (no call)',
        SERVER,
        'if not self.is_identified:',
        'if False:',
        (f'{PEERS}::test_connection_without_a_call_is_closed',),
    ),
    Guard(
        'peer-connections (unread answers)',
        SERVER,
        'if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:',
        'if False:',
        (f'{PEERS}::test_answers_that_are_not_read_are_bounded',),
    ),
    Guard(
        'reset-during-upload',
        'shallotmux/forwarding/_endpoint.py',
        'if is_broken:',
        'if False:',
        (f'{UPLOADS}::test_answer_that_is_reset_during_the_upload_is_not_complete',),
    ),
    Guard(
        'reset-during-upload (at a peer)',
        'shallotmux/forwarding/_endpoint.py',
        'if is_broken:',
        'if False:',
        (f'{UPLOADS}::test_answer_that_is_reset_at_a_peer_is_not_complete',),
    ),
    Guard(
        'reset-during-upload (early answers)',
        'shallotmux/forwarding/_endpoint.py',
        'if is_broken:',
        'if not self._progress.is_request_complete:',
        (f'{UPLOADS}::test_early_answer_that_is_closed_in_order_is_complete',),
    ),
)
