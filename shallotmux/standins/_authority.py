"""In-memory zone authority: instances share one state, and the test sets the leader."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio

from shallotmux.authority import Command, Leadership, Result, ZoneState
from shallotmux.errors import AuthorityUnavailable, OutcomeUnknown

#: Duration of a leader lease, counted from its last renewal.
LEASE_S = 0.7

#: Simulated duration of a commit.
COMMIT_DELAY_S = 0.005


@dataclass(slots=True)
class SharedGroup:
    """A zone group reduced to one state and one current leader.

    :param isolated: names of the instances that cannot reach the group.
    :param lease_ends: end of each instance's last leader lease, in seconds.
    :param views: leader and term that each instance last saw.
    """

    state: ZoneState = field(default_factory=ZoneState)
    leader: str = ''
    term: int = 0
    isolated: set[str] = field(default_factory=set)
    lease_ends: dict[str, float] = field(default_factory=dict)
    views: dict[str, tuple[str, int]] = field(default_factory=dict)
    #: Number of upcoming commits that are applied but not answered.
    lose_answers: int = 0

    def elect(self, name: str) -> None:
        """Make an instance the leader of a new term.

        A previous leader that is isolated still considers itself leader until its lease ends.
        """
        if self.leader and self.leader not in self.isolated:
            self.lease_ends.pop(self.leader, None)
        self.term += 1
        self.leader = name

    def member(self, name: str) -> SharedAuthority:
        """Return the authority of an instance in the group."""
        return SharedAuthority(self, name)


@dataclass(slots=True)
class SharedAuthority:
    """Authority of one instance in a :class:`SharedGroup`."""

    group: SharedGroup
    name: str
    incarnation: int = 1

    async def submit(self, command: Command) -> Result:
        """Commit a command after a short delay.

        :raises AuthorityUnavailable: if the instance is isolated or there is no leader.
        :raises OutcomeUnknown: if the answer to the applied command is lost.
        """
        await trio.sleep(COMMIT_DELAY_S)
        if self.name in self.group.isolated or not self.group.leader:
            raise AuthorityUnavailable('no quorum', step='commit', peer=self.name)
        result = self.group.state.apply(command)
        if self.group.lose_answers:
            self.group.lose_answers -= 1
            raise OutcomeUnknown(
                'answer lost after the commit was applied', step='commit', peer=self.name
            )
        return result

    def read(self) -> ZoneState:
        """Return the shared state."""
        return self.group.state

    def is_fresh(self) -> bool:
        """Return whether the instance is connected to the group."""
        return self.name not in self.group.isolated

    async def wait_changed(self, revision: int) -> None:
        """Wait until the revision of the shared state exceeds the given one."""
        while self.group.state.revision <= revision:
            await trio.sleep(COMMIT_DELAY_S)

    def leadership(self) -> Leadership:
        """Return the leader as this instance sees it."""
        group = self.group
        if self.name not in group.isolated:
            group.views[self.name] = (group.leader, group.term)
            if group.leader == self.name:
                group.lease_ends[self.name] = trio.current_time() + LEASE_S
        leader, term = group.views.get(self.name, ('', 0))
        lease_end = group.lease_ends.get(self.name, 0)
        is_expired = self.name in group.isolated and trio.current_time() >= lease_end
        return Leadership(leader, term, lease_end, leader == self.name and not is_expired)
