"""Control instances over an in-memory network, with data folders of their own."""

from __future__ import annotations

import shutil
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from uuid import uuid4

import trio

from shallotmux.authority import DocumentRead, PutDocument, ReadDocument, run_inline
from shallotmux.control import CONTROL_GROUP, ControlMember, MemberSettings
from shallotmux.errors import ShallotmuxError
from shallotmux.fleet import JOIN_GROUP
from shallotmux.transport import ForwardAnswer, MemoryPeerFabric, PeerEnvelope, Refusal

SEEDS = ('10.0.0.1:7', '10.0.0.2:7', '10.0.0.3:7')


@dataclass(slots=True)
class Core:
    """One running control instance."""

    member: ControlMember
    scope: trio.CancelScope

    def receive(self, envelope: PeerEnvelope) -> None:
        """Take a message."""
        self.member.receive(envelope)

    async def handle_forward(self, group: str, command: bytes) -> ForwardAnswer:
        """Answer a call."""
        if group == JOIN_GROUP:
            return self.member.handle_join_request(command)
        if group == CONTROL_GROUP:
            return await self.member.driver.commit(command, 0.9)
        return ForwardAnswer(refusal=Refusal.NOT_COMMITTED)


@dataclass(slots=True)
class Cores:
    """Control instances by name; each keeps its folder until it is wiped."""

    nursery: trio.Nursery
    folder: Path
    fabric: MemoryPeerFabric = field(default_factory=lambda: MemoryPeerFabric(Random(1)))
    running: dict[str, Core] = field(default_factory=dict)

    def data(self, name: str) -> Path:
        """Return the data folder of an instance."""
        return self.folder / name.replace(':', '-')

    async def start(self, name: str, *, bootstrap: bool = False) -> Core:
        """Start an instance with what its folder holds."""
        network = self.fabric.network(name)
        settings = MemberSettings(name, self.data(name), SEEDS, bootstrap)
        random = Random(f'{name}/{trio.current_time()}')
        scope = trio.CancelScope()
        core = Core(ControlMember(settings, network, random, run_inline), scope)
        self.running[name] = core

        async def run() -> None:
            with scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(network.run, core)
                    nursery.start_soon(core.member.run)

        self.nursery.start_soon(run)
        return core

    async def kill(self, name: str, *, wipe: bool = False) -> None:
        """End an instance at once; a wiped one loses its disk."""
        core = self.running.pop(name)
        core.scope.cancel()
        await trio.sleep(0)
        core.member.close()
        if wipe:
            shutil.rmtree(self.data(name))

    async def found(self) -> None:
        """Start the three seeds for the first time, and wait for a leader."""
        self.nursery.start_soon(self.fabric.run)
        for name in SEEDS:
            await self.start(name, bootstrap=True)
        await self.wait_for_leader()

    async def wait_for_leader(self) -> Core:
        """Wait until an instance leads under a lease."""
        with trio.fail_after(30):
            while True:
                leading = [each for each in self.running.values() if each.member.driver.is_leader()]
                if leading:
                    return leading[0]
                await trio.sleep(0.05)

    async def put(self, version: int, *, through: str = '') -> bool:
        """Put a document through an instance; returns whether it was acknowledged."""
        core = self.running[through or min(self.running)]
        command = PutDocument(uuid4().hex, version, str(version).encode())
        try:
            await core.member.authority.submit(command)
        except ShallotmuxError:
            return False
        return True

    async def read(self, through: str = '') -> int | None:
        """Return the version read through an instance, None if it cannot tell."""
        core = self.running[through or min(self.running)]
        try:
            found = await core.member.authority.submit(ReadDocument(uuid4().hex))
        except ShallotmuxError:
            return None
        assert isinstance(found, DocumentRead)
        return found.version

    def voters(self) -> set[str]:
        """Return the identities of the voters as the leader sees them."""
        for core in self.running.values():
            if core.member.driver.is_leader():
                return set(core.member.driver.status().configuration.voters)
        return set()
