"""Tests of membership changes of zone and fleet groups with the replica's own checks."""

from __future__ import annotations

from random import Random

import pytest

from shallotmux.membership import GroupPlan, GroupView, Report, next_change
from shallotmux.membership._policy import desired_voters
from shallotmux.replication import Configuration
from shallotmux.replication._membership import change_configuration
from shallotmux.transport import new_identity

ZONES = ('zone-a', 'zone-b', 'zone-c')
EVENTS = 40
MAX_CHANGES = 40
LEADER = 'i0'


class SimulatedGroup:
    """Group whose members catch up at once, and whose instances are lost and come back.

    :param plan: settings of the group.
    """

    def __init__(self, plan: GroupPlan, random: Random) -> None:
        self.plan = plan
        self._random = random
        own = frozenset((LEADER,))
        self.configuration = Configuration(own, disks=own & plan.disks)
        self.live = {name: name for name in sorted(plan.names())}

    def disturb(self) -> None:
        """Lose an instance or bring one back, as long as a majority of the voters is live."""
        name = self._random.choice(sorted(self.plan.names() - {LEADER}))
        if name in self.live:
            lost = self.live.pop(name)
            if not self._has_majority():
                self.live[name] = lost
            return
        has_disk = name in self.plan.disks
        self.live[name] = name if has_disk else new_identity(name, self._random)

    def view(self) -> GroupView:
        """Return the view of the leader."""
        live = {
            identity: Report(identity, self._zone(name), name in self.plan.disks)
            for name, identity in self.live.items()
            if identity != LEADER
        }
        present = frozenset(self.live.values())
        lost = self.configuration.members - present
        return GroupView(LEADER, self.configuration, live, lost, present)

    def settle(self) -> int:
        """Carry out changes until none is wanted; returns their number."""
        for number in range(MAX_CHANGES):
            change = next_change(self.plan, self.view())
            if change is None:
                return number
            # Raises an error if the replica would refuse the change.
            self.configuration = change_configuration(self.configuration, change)
        raise AssertionError(f'no end of changes at {self.configuration}, last {change}')

    def _has_majority(self) -> bool:
        voters = self.configuration.voters
        live = voters & frozenset(self.live.values())
        disks = voters & self.configuration.disks
        return 2 * len(live) > len(voters) and (not disks or bool(disks & live))

    def _zone(self, name: str) -> str:
        return next((zone for zone, names in self.plan.zones.items() if name in names), 'zone-w')


def make_plan(random: Random) -> GroupPlan:
    """Return a plan with up to nine instances."""
    names = [f'i{number}' for number in range(random.randint(2, 9))]
    disks = frozenset(each for each in names if random.randrange(10) < 5)
    if random.randrange(10) < 3:
        zones = {zone: tuple(names[at::3]) for at, zone in enumerate(ZONES)}
        return GroupPlan(
            {zone: each for zone, each in zones.items() if each}, disks, one_per_zone=True
        )
    witness = 'w' if random.randrange(10) < 3 else ''
    return GroupPlan({'zone-a': tuple(names)}, disks, witness)


@pytest.mark.parametrize('seed', range(200))
def test_each_wanted_change_is_accepted_and_comes_to_an_end(seed: int) -> None:
    """Guards against changes that the leader wants and the replica refuses, or that never end."""
    random = Random(seed)
    group = SimulatedGroup(make_plan(random), random)
    group.settle()
    for _ in range(EVENTS):
        group.disturb()
        group.settle()
        wanted = desired_voters(group.plan, group.view())
        lost = group.configuration.voters & group.view().lost
        # A leader that should not vote stays until another one leads, which then removes it.
        if LEADER in wanted:
            assert lost <= wanted, 'a lost voter is kept'
