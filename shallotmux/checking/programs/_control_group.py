"""Control instances alone, for measurements."""

from __future__ import annotations

from pathlib import Path
from random import Random

import trio

from shallotmux.checking.programs._deployment import ROOT, Deployment, choose_network
from shallotmux.checking.programs._machine import NO_LIMITS
from shallotmux.checking.programs._records import Records


class ControlGroup:
    """Control instances alone.

    :param build: repository whose programs are run; None for this one.
    """

    def __init__(
        self, nursery: trio.Nursery, folder: Path, records: Records, build: Path | None = None
    ) -> None:
        network = choose_network()
        builds = (build.resolve() if build else ROOT,)
        # Nothing listens at the address of the platform.
        platform = f'{network}.250:9'
        self._deployment = Deployment(
            nursery, folder, records, platform, network, builds, Random(1), limits=NO_LIMITS
        )
        self._deployment.prepare()
        self.names = self._deployment.control_names

    async def start(self) -> None:
        """Start all instances."""
        for name in self.names:
            self._deployment.keep_running(name)
        await trio.sleep(1)

    def operator_addresses(self) -> list[str]:
        """Return the addresses for operators."""
        return self._deployment.operator_addresses()

    def folder(self, name: str) -> Path:
        """Return the data folder of an instance."""
        return Path(self._deployment.instances[name].settings.folder)

    def pid(self, name: str) -> int:
        """Return the process id of an instance, 0 if it does not run."""
        child = self._deployment.instances[name].child
        return child.pid if child is not None and child.exit_code is None else 0

    def kill(self, name: str) -> None:
        """Kill the process of an instance; it starts again."""
        self._deployment.kill(name)

    async def pause(self, name: str, duration_s: float) -> None:
        """Let the process of an instance stand still for a time."""
        await self._deployment.pause(name, duration_s)

    def close(self) -> None:
        """End all processes."""
        self._deployment.close()
