"""Run the tasks of a zone's leader."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from shallotmux.authority import Command
from shallotmux.controllers._fleet import FleetController
from shallotmux.controllers._roles import RoleController
from shallotmux.controllers._tools import ControllerDependencies
from shallotmux.orders import LeadershipOptions, Term, commit, run_as_leader
from shallotmux.provisioning import PlatformPoller
from shallotmux.usage import UsageReporter


@dataclass(frozen=True, slots=True)
class ZoneLeader:
    """Tasks that only the leader of a zone's group runs.

    :param sender: name and incarnation of this instance.
    :param poller: follows the platform's lists; None without a platform.
    :param reporter: reports usage to the platform; None without a platform.
    :param fleet: orders endpoints from the platform; None without a platform.
    """

    tools: ControllerDependencies
    sender: str
    options: LeadershipOptions
    roles: RoleController
    poller: PlatformPoller | None = None
    reporter: UsageReporter | None = None
    fleet: FleetController | None = None

    async def run(self) -> None:
        """Run the tasks in each term in which this instance leads."""
        await run_as_leader(self.tools.authority, self.sender, self.options, self._lead)

    async def _lead(self, term: Term) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.tools.dispatcher.run, term)
            nursery.start_soon(self.roles.run, term)
            if self.poller is not None:
                nursery.start_soon(self._poll, self.poller, term)
            if self.reporter is not None:
                nursery.start_soon(self.reporter.run, term)
            if self.fleet is not None:
                nursery.start_soon(self.fleet.run, term)

    async def _poll(self, poller: PlatformPoller, term: Term) -> None:
        async def record(command: Command) -> None:
            await commit(self.tools.authority, command)

        await poller.run(self.tools.authority.read, record, term.number, term.operation_id)
