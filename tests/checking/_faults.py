"""Simulated groups with known faults, which the explorer must detect."""

from __future__ import annotations

from dataclasses import replace

from shallotmux.checking import (
    FAILING_LEADERS_PROFILE,
    LEASE_PROFILE,
    Plan,
    SimulatedGroup,
    SimulatedGroupOptions,
)
from shallotmux.checking._node import Node, StoredLog
from shallotmux.replication import ReplicaOptions, StoredGroup

#: Bound on the relative difference of clock rates; a large one exposes faults in few schedules.
CLOCK_RATE_SPREAD = 0.25
OPTIONS = ReplicaOptions(
    election_max_s=0.9,
    lease_s=0.8,
    clock_rate_margin=CLOCK_RATE_SPREAD,
    max_batch_entries=1,
    retained_entries=0,
)


class VolatileVoterGroup(SimulatedGroup):
    """Group whose diskless voters restart under their old identity without vote and log."""

    def restart(self, node: Node) -> None:
        """Restart a node, with an empty log if it has no disk."""
        if not node.has_disk:
            node.log = StoredLog(StoredGroup())
        node.start(self.options.replica, self.now)


class ConfirmedReadsGroup(SimulatedGroup):
    """Group whose reads a majority confirms, whatever the lease."""

    def __init__(self, options: SimulatedGroupOptions, seed: int) -> None:
        super().__init__(replace(options, reads_use_lease=False), seed)


CONFIRMED_READS = Plan(factory=ConfirmedReadsGroup)

DISKLESS = Plan(SimulatedGroupOptions(OPTIONS, 3, 0, 0, CLOCK_RATE_SPREAD))
VOLATILE_VOTERS = replace(DISKLESS, factory=VolatileVoterGroup)

WITH_MARGIN = Plan(SimulatedGroupOptions(OPTIONS, 3, 3, 0, CLOCK_RATE_SPREAD), LEASE_PROFILE)
WITHOUT_MARGIN = Plan(
    SimulatedGroupOptions(replace(OPTIONS, clock_rate_margin=0), 3, 3, 0, CLOCK_RATE_SPREAD),
    LEASE_PROFILE,
)

FAILING_LEADERS = Plan(SimulatedGroupOptions(OPTIONS, 3, 3, 0, 0), FAILING_LEADERS_PROFILE)
