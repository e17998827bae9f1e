"""Groups with a known fault, which the explorer has to find."""

from __future__ import annotations

from dataclasses import replace

from shallotmux.checking import Action, Plan, Profile, World, WorldOptions
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

_LEASE_PROFILE = Profile(
    mean_elapsed_s=0.002,
    longest_idle_s=0.05,
    faults={Action.PAUSE: 1, Action.CUT: 1},
    requests={Action.SET: 1},
)
WITH_MARGIN = Plan(WorldOptions(OPTIONS, 3, 3, 0, CLOCK_RATE_SPREAD), _LEASE_PROFILE)
WITHOUT_MARGIN = Plan(
    WorldOptions(replace(OPTIONS, clock_rate_margin=0), 3, 3, 0, CLOCK_RATE_SPREAD),
    _LEASE_PROFILE,
)

FAILING_LEADERS = Plan(
    WorldOptions(OPTIONS, 3, 3, 0, 0),
    Profile(
        fault_rate=0.1,
        new_leader_fault_rate=0.3,
        repair_rate=0.1,
        longest_idle_s=0.5,
        faults={Action.CRASH: 1, Action.CRASH_BEFORE_SEND: 2, Action.CUT: 2},
        requests={Action.SET: 1},
    ),
)
