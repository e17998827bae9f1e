"""Guards of limits in bytes, and of what the review found."""

from __future__ import annotations

from tests.guards.catalogue import Guard

LOG_BYTES = 'tests/replication/test_log_bytes.py'
SHUTDOWN = 'tests/forwarding/test_shutdown.py'
BUDGET = 'tests/forwarding/test_budget_sharing.py'
BUILD = 'tests/deploy/test_build.py'

SIZE_GUARDS = (
    Guard(
        'log-bounded (snapshot)',
        'shallotmux/replication/_replica.py',
        'return size >= least',
        'return False',
        (f'{LOG_BYTES}::test_log_is_bounded_by_bytes',),
    ),
    Guard(
        'log-bounded (retained entries)',
        'shallotmux/replication/_log.py',
        'base = max(index - retained, self._first_retained(index, retained_bytes) - 1)',
        'base = index - retained',
        (f'{LOG_BYTES}::test_log_is_bounded_by_bytes',),
    ),
    Guard(
        'log-bounded (in flight)',
        'shallotmux/replication/_progress.py',
        'return min(window, max(least, last + 1 - self._next_index))',
        'return window',
        (f'{LOG_BYTES}::test_entries_in_flight_are_bounded_by_bytes',),
    ),
    Guard(
        'log-bounded (uncommitted)',
        'shallotmux/replication/_replica.py',
        'if uncommitted and uncommitted + added_bytes',
        'if False and uncommitted + added_bytes',
        (f'{LOG_BYTES}::test_uncommitted_entries_are_bounded_by_bytes',),
    ),
    Guard(
        'log-bounded (reading)',
        'shallotmux/storage/_reading.py',
        '        for payload in reader:\n            replay.add',
        '        for payload in list(reader):\n            replay.add',
        ('tests/storage/test_log_size.py::test_reading_a_log_holds_one_copy_of_it',),
    ),
    Guard(
        'memory-bounded (entries for followers)',
        'shallotmux/authority/_group_state.py',
        ' or self._recent_bytes > MAX_RECENT_BYTES',
        '',
        ('tests/authority/test_group_state.py',),
    ),
    Guard(
        'memory-bounded (commands for a slow disk)',
        'shallotmux/authority/_driver.py',
        'if queued and queued + size > MAX_INBOX_COMMAND_BYTES:',
        'if False:',
        ('tests/authority/test_driver_queues.py',),
    ),
    Guard(
        'memory-bounded (queue to a peer)',
        'shallotmux/transport/_link.py',
        ' or size > MAX_QUEUED_BYTES',
        '',
        ('tests/transport/test_memory.py::test_queue_is_bounded_by_bytes',),
    ),
    Guard(
        'memory-bounded (bodies)',
        'shallotmux/forwarding/_caller_connection.py',
        '            self._check_room(len(event.data))\n',
        '',
        ('tests/forwarding/test_body_memory.py',),
    ),
    Guard(
        'stream-version (unanswered questions)',
        'shallotmux/origins/_streams.py',
        'self.single_version(service) if is_complete else None',
        'self.single_version(service)',
        ('tests/origins/test_client.py',),
    ),
    Guard(
        'drain (late requests)',
        'shallotmux/forwarding/_forwarder.py',
        'if self._deadlines.is_ending:',
        'if False:',
        (f'{SHUTDOWN}::test_request_whose_body_ends_after_the_close_is_refused',),
    ),
    Guard(
        'drain (last answers)',
        'shallotmux/forwarding/_deadlines.py',
        'scope.deadline = min(scope.deadline, at)',
        'scope.deadline = scope.deadline',
        (f'{SHUTDOWN}::test_request_that_outlasts_the_drain_gets_an_answer',),
    ),
    Guard(
        'drain (waiting bytes)',
        'shallotmux/forwarding/_caller_connection.py',
        'return await self._begin()\n        return await self._read_waiting()',
        'return await self._begin()\n        return False',
        (f'{SHUTDOWN}::test_request_that_waits_in_the_kernel_at_the_close_gets_an_answer',),
    ),
    Guard(
        'retry-budget (largest fleet)',
        'shallotmux/forwarding/_budget.py',
        'return self._seen[0][1]',
        'return count',
        (BUDGET,),
    ),
    Guard(
        'retry-budget (start)',
        'shallotmux/forwarding/_budget.py',
        'return share if age >= 1 else share * age * START_FRACTION',
        'return share',
        (BUDGET,),
    ),
    Guard(
        'control-group (successor first)',
        'shallotmux/control/_group_changes.py',
        'if len(voters) <= view.target_voters:',
        'if len(voters) < view.target_voters:',
        ('tests/control/test_group_changes.py',),
    ),
    Guard(
        'header limit (kept connections)',
        'shallotmux/forwarding/_caller_connection.py',
        'if header_bytes == self._header_bytes:',
        'if True:',
        ('tests/forwarding/test_header_limits.py',),
    ),
    Guard(
        'build (stamp)',
        'deploy/build.py',
        'return stamp.is_file() and stamp.read_text',
        'return folder.is_dir() or stamp.read_text',
        (BUILD,),
    ),
    Guard(
        'start (reload signal)',
        'deploy/start.py',
        '_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)\n',
        '',
        ('tests/deploy/test_start.py',),
    ),
)
