"""Control instances whose disks refuse operations for a time."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import trio

from shallotmux.authority import run_inline
from shallotmux.control import ControlMember, MemberSettings
from shallotmux.errors import StorageError
from tests.control._instances import SEEDS, ControlGroup, ControlInstance
from tests.storage._refusing import RefusingFileSystem

#: Interval at which an instance checks whether its disk accepts writes again.
PROBE_INTERVAL_S = 0.5


@dataclass(slots=True)
class DiskGroup(ControlGroup):
    """A group whose instances are rebuilt from their disks after refused operations.

    :param files: file system of each instance.
    :param rebuilds: number of times that each instance was rebuilt.
    """

    files: dict[str, RefusingFileSystem] = field(default_factory=dict)
    rebuilds: dict[str, int] = field(default_factory=dict)

    async def start(self, name: str, *, bootstrap: bool = False) -> ControlInstance:
        """Start an instance, and return it once its disk lets it run."""
        files = self.files.setdefault(name, RefusingFileSystem())
        started = trio.Event()
        self.nursery.start_soon(self._run_repeatedly, name, files, bootstrap, started)
        await started.wait()
        return self.running[name]

    async def _run_repeatedly(
        self, name: str, files: RefusingFileSystem, bootstrap: bool, started: trio.Event
    ) -> None:
        settings = MemberSettings(name, self.data(name), SEEDS, bootstrap)
        while True:
            try:
                await self._run(settings, files, started)
            except* StorageError:
                self.running.pop(name, None)
                self.rebuilds[name] = self.rebuilds.get(name, 0) + 1
            else:
                return
            while files.state.steps:
                await trio.sleep(PROBE_INTERVAL_S)

    async def _run(
        self, settings: MemberSettings, files: RefusingFileSystem, started: trio.Event
    ) -> None:
        network = self.fabric.network(settings.name)
        random = Random(f'{settings.name}/{trio.current_time()}')
        member = ControlMember(settings, network, random, run_inline, files)
        instance = ControlInstance(member, trio.CancelScope())
        self.running[settings.name] = instance
        started.set()
        try:
            with instance.scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(network.run, instance)
                    nursery.start_soon(member.run)
        except BaseException:
            member.close()
            raise
        finally:
            instance.ended.set()
