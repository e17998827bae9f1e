"""Control instances that share an in-memory network and have separate data folders."""

from __future__ import annotations

import shutil
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from uuid import uuid4

import trio

from shallotmux.authority import (
    DocumentRead,
    PutDocument,
    ReadDocument,
    RunBlocking,
    run_inline,
)
from shallotmux.control import CONTROL_GROUP, ControlMember, MemberSettings
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import ANNOUNCEMENT_GROUP, JOIN_GROUP, LEAVE_GROUP
from shallotmux.transport import ForwardAnswer, MemoryPeerFabric, PeerEnvelope, Refusal

SEEDS = ('10.0.0.1:7', '10.0.0.2:7', '10.0.0.3:7')


@dataclass(slots=True)
class ControlInstance:
    """One running control instance."""

    member: ControlMember
    scope: trio.CancelScope
    #: Whether the instance understands the notice of one that stops; earlier builds do not.
    knows_leaving: bool = True
    ended: trio.Event = field(default_factory=trio.Event)

    def receive(self, envelope: PeerEnvelope) -> None:
        """Process a replication message."""
        self.member.receive(envelope)

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Answer a forwarded command."""
        if group == JOIN_GROUP:
            return self.member.handle_join_request(command)
        if group == ANNOUNCEMENT_GROUP:
            return self.member.zones.handle_announcement(command)
        if group == LEAVE_GROUP and self.knows_leaving:
            return self.member.handle_leave_notice(command)
        if group == CONTROL_GROUP:
            return await self.member.driver.commit(command, 0.9)
        return ForwardAnswer(refusal=Refusal.NOT_COMMITTED)


@dataclass(slots=True)
class ControlGroup:
    """A group of control instances; a stopped one keeps its folder unless it is wiped.

    :param zones: zone of each instance in its settings; others have none.
    """

    nursery: trio.Nursery
    folder: Path
    tolerated: int = 1
    replacement_s: float = 6.0
    fabric: MemoryPeerFabric = field(default_factory=lambda: MemoryPeerFabric(Random(1)))
    running: dict[str, ControlInstance] = field(default_factory=dict)
    #: Instances that were paused for good; they still have their files open.
    stood_still: dict[str, ControlInstance] = field(default_factory=dict)
    zones: Mapping[str, str] = field(default_factory=dict)
    run_blocking: RunBlocking = run_inline

    def data(self, name: str) -> Path:
        """Return the data folder of an instance."""
        return self.folder / name.replace(':', '-')

    async def start(
        self, name: str, *, bootstrap: bool = False, seeds: tuple[str, ...] = SEEDS
    ) -> ControlInstance:
        """Start an instance with the present content of its folder."""
        network = self.fabric.network(name)
        settings = MemberSettings(
            name,
            self.data(name),
            seeds,
            bootstrap,
            self.tolerated,
            self.zones.get(name, ''),
            self.replacement_s,
        )
        random = Random(f'{name}/{trio.current_time()}')
        scope = trio.CancelScope()
        instance = ControlInstance(
            ControlMember(settings, network, random, self.run_blocking), scope
        )
        self.running[name] = instance

        async def run() -> None:
            with scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(network.run, instance)
                    nursery.start_soon(instance.member.run)
            instance.ended.set()

        self.nursery.start_soon(run)
        return instance

    async def kill(self, name: str, *, wipe: bool = False) -> None:
        """Stop an instance without a shutdown; ``wipe`` also deletes its data folder."""
        instance = self.running.pop(name)
        instance.scope.cancel()
        # The driver may still be scheduled once, and must not find its files closed.
        await instance.ended.wait()
        instance.member.close()
        if wipe:
            shutil.rmtree(self.data(name))

    async def bootstrap(self, *others: str) -> None:
        """Start the three seeds and others with empty folders, and wait for a leader."""
        self.nursery.start_soon(self.fabric.run)
        for name in (*SEEDS, *others):
            await self.start(name, bootstrap=True)
        await self.wait_for_leader()

    async def wait_for_leader(self) -> ControlInstance:
        """Wait until an instance holds the leader lease, and return it."""
        with trio.fail_after(30):
            while True:
                leading = [each for each in self.running.values() if each.member.driver.is_leader()]
                if leading:
                    return leading[0]
                await trio.sleep(0.05)

    async def put(self, version: int, *, through: str = '') -> bool:
        """Submit a document to an instance and return whether it was acknowledged."""
        instance = self.running[through or min(self.running)]
        command = PutDocument(uuid4().hex, version, str(version).encode())
        try:
            await instance.member.authority.submit(command)
        except ShallotmuxError:
            return False
        return True

    async def read(self, through: str = '') -> int | None:
        """Return the document version read from an instance, None if the read fails."""
        instance = self.running[through or min(self.running)]
        try:
            found = await instance.member.authority.submit(ReadDocument(uuid4().hex))
        except ShallotmuxError:
            return None
        assert isinstance(found, DocumentRead)
        return found.version

    def voters(self) -> set[str]:
        """Return the identities of the voters in the leader's configuration."""
        for instance in self.running.values():
            if instance.member.driver.is_leader():
                return set(instance.member.driver.status().configuration.voters)
        return set()
