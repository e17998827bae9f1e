"""Tests of the record of times in which the soak itself did not run."""

from __future__ import annotations

import time

import trio

from shallotmux.checking.programs._delays import INTERVAL_S, MAX_DELAY_S, record_own_delays
from shallotmux.checking.programs._records import Records, Trouble


async def test_time_without_a_turn_is_a_pause_of_all_instances() -> None:
    """Guards against violations that only show that the machine of the soak was busy."""
    records = Records()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record_own_delays, records, ('entry-1', 'control-1'))
        await trio.sleep(2.5 * INTERVAL_S)
        assert not records.disruptions
        time.sleep(2 * MAX_DELAY_S)
        await trio.sleep(2.5 * INTERVAL_S)
        nursery.cancel_scope.cancel()
    assert [each.instance for each in records.disruptions] == ['entry-1', 'control-1']
    assert all(each.trouble is Trouble.PAUSE for each in records.disruptions)
    assert all(each.ended_at - each.began_at > MAX_DELAY_S for each in records.disruptions)
    assert len(records.own_delays) == 1
