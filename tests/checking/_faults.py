"""Groups with a known fault, which the explorer has to find."""

from __future__ import annotations

from dataclasses import replace

from shallotmux.checking import (
    FAILING_LEADERS_PROFILE,
    LEASE_PROFILE,
    Plan,
    World,
    WorldOptions,
)
from shallotmux.checking._node import Node, StoredLog
from shallotmux.replication import ReplicaOptions, StoredGroup

#: Bound on the difference of clock rates in these groups, large so that few schedules suffice.
CLOCK_RATE_SPREAD = 0.25
OPTIONS = ReplicaOptions(
    election_max_s=0.9,
    lease_s=0.8,
    clock_rate_margin=CLOCK_RATE_SPREAD,
    max_batch_entries=1,
    retained_entries=0,
)


class ForgettingWorld(World):
    """Diskless voters restart under their old identity without vote and log."""

    def restart(self, node: Node) -> None:
        """Start a node again, empty if it has no disk."""
        if not node.has_disk:
            node.log = StoredLog(StoredGroup())
        node.start(self.options.replica, self.now)


DISKLESS = Plan(WorldOptions(OPTIONS, 3, 0, 0, CLOCK_RATE_SPREAD))
FORGETTING = replace(DISKLESS, factory=ForgettingWorld)

WITH_MARGIN = Plan(WorldOptions(OPTIONS, 3, 3, 0, CLOCK_RATE_SPREAD), LEASE_PROFILE)
WITHOUT_MARGIN = Plan(
    WorldOptions(replace(OPTIONS, clock_rate_margin=0), 3, 3, 0, CLOCK_RATE_SPREAD),
    LEASE_PROFILE,
)

FAILING_LEADERS = Plan(WorldOptions(OPTIONS, 3, 3, 0, 0), FAILING_LEADERS_PROFILE)
