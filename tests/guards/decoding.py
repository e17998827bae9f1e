"""Guards against what other programs send: odd values, sizes and nesting."""

from __future__ import annotations

from tests.guards.catalogue import Guard

LISTING = 'tests/platform/test_listing.py'
ENTRIES = 'tests/platform/test_adapter.py'
FRAMES = 'tests/transport/test_odd_frames.py'
ODD_ENTRY = f'{LISTING}::test_odd_entry_neither_raises_nor_hides_others'
OUT_OF_RANGE = f'{LISTING}::test_entry_out_of_range_names_no_worker'

DECODING_GUARDS = (
    Guard(
        'listing (entries apart)',
        'shallotmux/platform/_listing.py',
        '    if start is None:\n        raise',
        '    if True:\n        raise',
        (f'{ENTRIES}::test_entry_that_cannot_be_read_hides_no_other',),
    ),
    Guard(
        'listing (required fields)',
        'shallotmux/platform/_listing.py',
        "    version: _Name\n    stage: str = ''\n",
        "    version: _Name = ''\n    stage: str = ''\n",
        (f'{ENTRIES}::test_entry_without_a_field_that_each_has_is_skipped',),
    ),
    Guard(
        'listing (deep nesting)',
        'shallotmux/decoding.py',
        ', RecursionError)',
        ')',
        (ODD_ENTRY,),
    ),
    Guard(
        'listing (cut entries)',
        'shallotmux/platform/_entries.py',
        'may_open = self._open[-1] < 0 or is_field',
        'may_open = True',
        (f'{LISTING}::test_several_odd_entries_hide_no_other',),
    ),
    Guard(
        'listing (linear time)',
        'shallotmux/platform/_entries.py',
        r'\{(?=\s*+")',
        r'\{',
        (f'{LISTING}::test_costly_page_is_read_in_linear_time',),
    ),
    Guard(
        'listing (slots)',
        'shallotmux/platform/_listing.py',
        'msgspec.Meta(ge=1, le=MAX_SLOTS)',
        'msgspec.Meta(ge=1)',
        (OUT_OF_RANGE,),
    ),
    Guard(
        'listing (address)',
        'shallotmux/platform/_listing.py',
        'socket.inet_pton(socket.AF_INET, host)',
        'host.strip()',
        (OUT_OF_RANGE,),
    ),
    Guard(
        'listing (event loop)',
        'shallotmux/platform/_client.py',
        'if page is None and len(content) < LARGE_PAGE_BYTES:',
        'if page is None:',
        ('tests/platform/test_list_client.py',),
    ),
    Guard(
        'listing (token)',
        'shallotmux/platform/_client.py',
        'quote(token, safe="")',
        'token',
        ('tests/platform/test_list_client.py',),
    ),
    Guard(
        'decoding (messages)',
        'shallotmux/decoding.py',
        'except DECODE_ERRORS as error:',
        'except ValueError as error:',
        ('tests/test_decoding.py::test_deeply_nested_datagram_is_dropped',),
    ),
    Guard(
        'supervision (restart)',
        'shallotmux/programs/_supervision.py',
        'if _concerns_storage(error):',
        'if True:',
        ('tests/programs/test_supervision.py::test_failed_task_is_restarted_beside_the_others',),
    ),
    Guard(
        'supervision (storage)',
        'shallotmux/programs/_supervision.py',
        'if _concerns_storage(error):',
        'if False:',
        ('tests/programs/test_supervision.py::test_error_of_the_storage_is_not_held_back',),
    ),
    Guard(
        'supervision (programs)',
        'shallotmux/programs/_control.py',
        'nursery.start_soon(supervisor.run, name, task)',
        'nursery.start_soon(task)',
        ('tests/programs/test_supervision.py::test_programs_serve_while_reading_the_list_fails',),
    ),
    Guard(
        'process-failed',
        'shallotmux/platform/__main__.py',
        'with log_fatal_errors():',
        'if True:',
        ('tests/platform/test_process.py::test_error_that_ends_the_process_is_a_log_line',),
    ),
    Guard(
        'transport (later channels)',
        'shallotmux/transport/_grpc.py',
        'is_from_peer and is_own and each.channel in CHANNELS',
        'is_from_peer and is_own',
        (f'{FRAMES}::test_envelope_for_an_unknown_channel_is_dropped',),
    ),
    Guard(
        'document (numbers)',
        'shallotmux/platform/_configuration.py',
        '_bound(parsed.limits.header_timeout_ms, MAX_MS)',
        'parsed.limits.header_timeout_ms',
        ('tests/platform/test_odd_documents.py::test_number_far_out_of_the_usual_can_be_used',),
    ),
    Guard(
        'document (versions)',
        'shallotmux/routes/_checks.py',
        'if not MIN_VERSION <= document.version <= MAX_VERSION:',
        'if False:',
        ('tests/routes/test_checks.py::test_version_that_cannot_be_stored_is_refused',),
    ),
    Guard(
        'settings (addresses)',
        'shallotmux/platform/_settings.py',
        '            split_address(address)\n',
        '            address.strip()\n',
        ('tests/platform/test_adapter.py::test_invalid_settings_are_refused_by_name',),
    ),
    Guard(
        'messages (limits)',
        'shallotmux/ratelimits/_known.py',
        'for each in filter(_is_in_range, reports):',
        'for each in reports:',
        (
            'tests/ratelimits/test_endpoint_limits.py'
            '::test_limit_out_of_range_from_another_instance_is_ignored',
        ),
    ),
    Guard(
        'messages (demands)',
        'shallotmux/control/_knowledge.py',
        'tuple(each for each in poll.demands if _is_plausible(each))',
        'poll.demands',
        ('tests/control/test_knowledge.py::test_implausible_demand_is_ignored',),
    ),
    Guard(
        'messages (times)',
        'shallotmux/fleet/_clock.py',
        'if not 0 <= estimate <= MAX_TIME_S:',
        'if False:',
        ('tests/fleet/test_clock.py::test_estimate_that_is_no_time_is_ignored',),
    ),
    Guard(
        'transport (cancelled links)',
        'shallotmux/transport/_link.py',
        '        async with asyncio.timeout(CONNECT_TIMEOUT_S):\n'
        '            await self._channel.__connect__()\n',
        '        await asyncio.wait_for(self._channel.__connect__(), CONNECT_TIMEOUT_S)\n',
        ('tests/transport/test_link.py', 'tests/transport/test_link_cancellation.py'),
    ),
    Guard(
        'real programs (odd entries)',
        'shallotmux/decoding.py',
        ', RecursionError)',
        ')',
        ('tests/platform/test_odd_entries.py',),
    ),
    Guard(
        'listing (same page)',
        'shallotmux/platform/_client.py',
        'page = self._parsed.pop(key, None)',
        'page = None',
        (
            'tests/platform/test_list_client.py::test_page_that_is_the_same_again_is_not_parsed_again',
        ),
    ),
)
