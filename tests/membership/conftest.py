"""Fixtures that run a zone of instances on the in-memory network and the test clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest
import trio
import trio.testing

from shallotmux.authority import run_inline
from shallotmux.membership import GroupMember, GroupOptions, GroupPlan, MemberSpec
from shallotmux.replication import Effects, HardState, ReplicaOptions, StoredGroup
from shallotmux.storage import VolatileStore
from shallotmux.transport import ForwardAnswer, MemoryPeerFabric, PeerEnvelope, new_identity

SEED = 11
ZONE = 'zone-a'


class MemoryDisk:
    """In-memory storage that survives a restart of its instance."""

    def __init__(self) -> None:
        self._stored: StoredGroup | None = None

    def load(self) -> StoredGroup | None:
        """Return the saved state, or None."""
        return self._stored

    def save(self, effects: Effects) -> None:
        """Store hard state, entries and snapshot."""
        known = self._stored or StoredGroup(HardState(0))
        entries = known.entries
        if effects.entries:
            first = effects.entries[0].index
            entries = (*(each for each in entries if each.index < first), *effects.entries)
        snapshot = effects.snapshot or known.snapshot
        if snapshot:
            entries = tuple(each for each in entries if each.index > snapshot.index)
        self._stored = StoredGroup(effects.hard_state or known.hard_state, entries, snapshot)


@dataclass
class Zone:
    """Instances of one zone, which tests start, kill, isolate and pause."""

    nursery: trio.Nursery
    plan: GroupPlan
    options: GroupOptions
    fabric: MemoryPeerFabric
    random: Random = field(default_factory=lambda: Random(SEED))
    disks: dict[str, MemoryDisk] = field(default_factory=dict)
    members: dict[str, GroupMember] = field(default_factory=dict)
    scopes: dict[str, trio.CancelScope] = field(default_factory=dict)

    async def start(self, *names: str, bootstrap: str = '', recover: str = '') -> None:
        """Start instances."""
        for name in names:
            await self.nursery.start(self._run, name, name == bootstrap, name == recover)

    def kill(self, *names: str) -> None:
        """Stop instances without a shutdown."""
        for name in names:
            self.scopes.pop(name).cancel()
            self.members.pop(name)

    def leader(self) -> GroupMember | None:
        """Return the member that holds the lease, if any."""
        leading = [each for each in self.members.values() if each.driver.is_leader()]
        assert len(leading) <= 1, 'two instances hold the lease'
        return leading[0] if leading else None

    async def wait_until(self, condition: Callable[[], object], timeout_s: float) -> float:
        """Wait until a condition holds, and return the elapsed seconds."""
        start = trio.current_time()
        while not condition():
            assert trio.current_time() - start <= timeout_s, 'condition did not hold in time'
            await trio.sleep(0.01)
        return trio.current_time() - start

    async def wait_stable(self, voters: int, timeout_s: float = 30) -> GroupMember:
        """Wait until the group is stable with this number of voters, and return its leader."""
        await self.wait_until(lambda: self.is_stable(voters), timeout_s)
        leader = self.leader()
        assert leader is not None
        return leader

    def is_stable(self, voters: int) -> bool:
        """Return whether all voters have the same configuration and all instances are fresh."""
        leader = self.leader()
        if leader is None or not all(each.authority.is_fresh() for each in self.members.values()):
            return False
        configuration = leader.driver.status().configuration
        configurations = {
            each.driver.status().configuration
            for each in self.members.values()
            if each.spec.identity in configuration.voters
        }
        return len(configuration.voters) == voters and configurations == {configuration}

    async def _run(
        self, name: str, bootstrap: bool, recover: bool, task_status: trio.TaskStatus[None]
    ) -> None:
        has_disk = name in self.plan.disks
        identity = name if has_disk else new_identity(name, self.random)
        store = self.disks.setdefault(name, MemoryDisk()) if has_disk else VolatileStore()
        network = self.fabric.network(name)
        random = Random(self.random.getrandbits(32))
        spec = MemberSpec(ZONE, identity, ZONE, has_disk, self.plan, bootstrap, recover)
        member = GroupMember(spec, network, store, self.options, random)
        self.members[name] = member
        with trio.CancelScope() as scope:
            self.scopes[name] = scope
            async with trio.open_nursery() as nursery:
                await nursery.start(network.run, Receiver(member))
                nursery.start_soon(member.run)
                task_status.started()


@dataclass(frozen=True)
class Receiver:
    """Passes messages from peers to an instance's only group."""

    member: GroupMember

    def receive(self, envelope: PeerEnvelope) -> None:
        """Pass on an envelope that is addressed to this incarnation or to any."""
        if envelope.recipient in {
            self.member.spec.identity,
            self.member.spec.identity.split('~')[0],
        }:
            self.member.receive(envelope)

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Commit a forwarded command."""
        return await self.member.handle_forward(command)


MakeZone = Callable[..., Zone]


@pytest.fixture
def make_zone(nursery: trio.Nursery, autojump_clock: trio.testing.MockClock) -> MakeZone:
    """Return a function that creates a zone of ``count`` instances, the first ``disks`` with a disk.

    The test must request the clock as well: pytest-trio looks for it in the test's parameters only.
    """

    def make(count: int, disks: int = 0, **options: object) -> Zone:
        assert trio.lowlevel.current_clock() is autojump_clock
        names = tuple(f'entry-{number + 1:02}' for number in range(count))
        plan = GroupPlan({ZONE: names}, frozenset(names[:disks]))
        fabric = MemoryPeerFabric(Random(SEED))
        nursery.start_soon(fabric.run)
        settings = {'run_blocking': run_inline, 'replica': ReplicaOptions(), **options}
        return Zone(nursery, plan, GroupOptions(**settings), fabric)

    return make
