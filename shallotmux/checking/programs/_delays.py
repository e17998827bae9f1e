"""Record when the soak itself did not run, as its machine was busy."""

from __future__ import annotations

from collections.abc import Collection

import trio

from shallotmux.checking.programs._records import Disruption, Records, Trouble

#: Interval at which the soak looks at the clock, and delay beyond which it stood still.
INTERVAL_S = 0.1
MAX_DELAY_S = 0.5


async def record_own_delays(records: Records, instances: Collection[str]) -> None:
    """Record each time without a turn of this process as a pause of all instances, until cancelled.

    Callers, endpoints, the operator and the platform are tasks of this process. Meanwhile none of them
    sends or answers anything, and instances that stand still are not continued.
    """
    began_at = trio.current_time()
    while True:
        await trio.sleep(INTERVAL_S)
        now = trio.current_time()
        if now - began_at > MAX_DELAY_S:
            records.own_delays.append(now - began_at)
            for name in instances:
                records.disruptions.append(Disruption(name, began_at, now, Trouble.PAUSE))
        began_at = now
