"""Run the tasks of the leader of a zone's group."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from shallotmux.authority import Command
from shallotmux.controllers._dependencies import ControllerDependencies
from shallotmux.controllers._fleet import FleetController
from shallotmux.controllers._roles import RoleController
from shallotmux.orders import LeadershipOptions, Term, commit, run_as_leader
from shallotmux.provisioning import PlatformPoller
from shallotmux.usage import UsageReporter


@dataclass(frozen=True, slots=True)
class ZoneLeader:
    """Tasks that only the leader of a zone's group runs.

    :param sender: name and incarnation of this instance.
    :param poller: polls the lists of the platform; None without a platform.
    :param reporter: reports usage to the platform; None without a platform.
    :param fleet: orders endpoints from the platform; None without a platform.
    """

    dependencies: ControllerDependencies
    sender: str
    options: LeadershipOptions
    roles: RoleController
    poller: PlatformPoller | None = None
    reporter: UsageReporter | None = None
    fleet: FleetController | None = None

    async def run(self) -> None:
        """Run the tasks in each term in which this instance is leader."""
        await run_as_leader(
            self.dependencies.authority, self.sender, self.options, self._run_leader_tasks
        )

    async def _run_leader_tasks(self, term: Term) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.dependencies.dispatcher.run, term)
            nursery.start_soon(self.roles.run, term)
            if self.poller is not None:
                nursery.start_soon(self._poll, self.poller, term)
            if self.reporter is not None:
                nursery.start_soon(self.reporter.run, term)
            if self.fleet is not None:
                nursery.start_soon(self.fleet.run, term)

    async def _poll(self, poller: PlatformPoller, term: Term) -> None:
        async def record(command: Command) -> None:
            await commit(self.dependencies.authority, command)

        await poller.run(self.dependencies.authority.read, record, term.number, term.operation_id)
