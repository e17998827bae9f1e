"""Guards of a store and a program whose disk refuses operations."""

from __future__ import annotations

from tests.guards.catalogue import Guard

REFUSED = 'tests/storage/test_refused.py'
STORE = 'tests/storage/test_store.py'
MEMBER_DISK = 'tests/control/test_member_disk.py'
PROGRAM_DISK = 'tests/programs/test_disk.py'

DISK_GUARDS = (
    Guard(
        'disk (unlocked after a failed load)',
        'shallotmux/storage/_store.py',
        'on_failure.callback(self.close)',
        'pass',
        (f'{REFUSED}::test_folder_is_unlocked_after_a_torn_tail_that_cannot_be_truncated',),
    ),
    Guard(
        'disk (unlocked after a failed first save)',
        'shallotmux/control/_member.py',
        'self._store.close()\n            raise',
        'raise',
        (f'{MEMBER_DISK}::test_refused_first_start_is_repeated_in_the_same_process',),
    ),
    Guard(
        'disk (error of close)',
        'shallotmux/storage/_filesystem.py',
        'with suppress(OSError):\n        file.close()',
        'file.close()',
        (f'{REFUSED}::test_error_of_close_does_not_hide_the_refused_write',),
    ),
    Guard(
        'disk (last batch written again)',
        'shallotmux/storage/_store.py',
        'self._files.rewrite_tail(path, group_files.last_record_start)',
        'pass',
        (f'{STORE}::test_state_that_was_read_survives_a_power_loss',),
    ),
    Guard(
        'disk (folder synced)',
        'shallotmux/storage/_store.py',
        'group_files.last_record_start)\n            self._files.sync_folder(self._folder)',
        'group_files.last_record_start)',
        (f'{STORE}::test_state_that_was_read_survives_a_power_loss',),
    ),
    Guard(
        'disk (group before identity)',
        'shallotmux/control/_member.py',
        'settings.name if is_unused else',
        'settings.name if is_initial_voter else',
        (f'{MEMBER_DISK}::test_group_forms_after_all_first_starts_were_interrupted',),
    ),
    Guard(
        'disk (identity of an earlier build)',
        'shallotmux/control/_member.py',
        'identity in {None, settings.name}',
        'identity is None',
        (f'{MEMBER_DISK}::test_identity_without_group_of_an_earlier_build_starts_the_group',),
    ),
    Guard(
        'disk (wiped voter)',
        'shallotmux/control/_member.py',
        'and identity in {None, settings.name}',
        '',
        (f'{MEMBER_DISK}::test_new_identity_without_group_starts_no_group',),
    ),
    Guard(
        'disk (errors that may pass)',
        'shallotmux/storage/_refusals.py',
        'cause.errno in REFUSAL_ERRNOS',
        'cause.errno in _NO_ROOM',
        (f'{PROGRAM_DISK}::test_refused_write_is_retried',),
    ),
    Guard(
        'disk (errors that do not pass)',
        'shallotmux/programs/_disk.py',
        'if not all(map(is_refusal, errors)):',
        'if False:',
        (f'{PROGRAM_DISK}::test_other_errors_end_the_process',),
    ),
    Guard(
        'disk (room for the refused write)',
        'shallotmux/programs/_disk.py',
        'max(PROBE_BYTES, *(each.size for each in errors))',
        'PROBE_BYTES',
        (f'{PROGRAM_DISK}::test_room_for_small_writes_does_not_count',),
    ),
    Guard(
        'disk (pause)',
        'shallotmux/programs/_disk.py',
        '0 if is_steady else pause_s',
        '0',
        (f'{PROGRAM_DISK}::test_writes_that_fail_after_each_probe_are_retried_less_often',),
    ),
    Guard(
        'disk (stop while it hangs)',
        'shallotmux/programs/_disk.py',
        'abandon_on_cancel=True',
        'abandon_on_cancel=False',
        (f'{PROGRAM_DISK}::test_stop_does_not_wait_for_a_disk_that_hangs',),
    ),
    Guard(
        'disk (outdated document)',
        'shallotmux/control/_knowledge.py',
        'since is None or now - since >= OUTDATED_OFFER_S',
        'True',
        (
            'tests/control/test_outdated_document.py'
            '::test_document_older_than_acknowledged_is_not_offered_after_a_restart',
        ),
    ),
)
