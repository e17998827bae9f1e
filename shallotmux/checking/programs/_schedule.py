"""Random disruptions of a deployment, drawn from a seed."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from random import Random

import trio

from shallotmux.checking.programs._callers import Operator
from shallotmux.checking.programs._deployment import CONTROL_NAMES, ENTRY_NAMES, Deployment
from shallotmux.checking.programs._standins import StandInEndpoint

#: Longest pause between two disruptions.
MAX_PAUSE_S = 1.2

#: Shortest and longest time for which a process stands still, or an endpoint is in trouble.
PAUSE_S = (0.2, 2.5)
TROUBLE_S = (1.0, 4.0)

#: Reload signals in one series, and longest pause between two.
MAX_SIGNALS = 12
MAX_SIGNAL_PAUSE_S = 0.05

#: Routes that a change of the configuration may add, and changes in one series.
MAX_PADDING_ROUTES = 600
MAX_CHANGES = 4


@dataclass(slots=True)
class Schedule:
    """Disrupts a deployment at random until cancelled."""

    deployment: Deployment
    endpoints: list[StandInEndpoint]
    operator: Operator
    random: Random

    async def run(self) -> None:
        """Draw one disruption after the other; those that last overlap with the next ones."""
        actions = (
            self._stop_entry,
            self._stop_entry,
            self._kill_any,
            self._kill_all_controls,
            self._reload_in_series,
            self._restart_with_reloads,
            self._pause_any,
            self._trouble_endpoint,
            self._trouble_endpoint,
            self._drain_endpoint,
            self._change_configuration,
        )
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.random.uniform(0, MAX_PAUSE_S))
                nursery.start_soon(self.random.choice(actions))

    async def _stop_entry(self) -> None:
        await self.deployment.stop(self.random.choice(ENTRY_NAMES))

    async def _kill_any(self) -> None:
        self.deployment.kill(self.random.choice((*CONTROL_NAMES, *ENTRY_NAMES)))

    async def _kill_all_controls(self) -> None:
        for name in CONTROL_NAMES:
            self.deployment.kill(name)

    async def _reload_in_series(self) -> None:
        name = self.random.choice((*CONTROL_NAMES, *ENTRY_NAMES))
        for _ in range(self.random.randint(1, MAX_SIGNALS)):
            await trio.sleep(self.random.uniform(0, MAX_SIGNAL_PAUSE_S))
            self._reload(name)

    async def _restart_with_reloads(self) -> None:
        """Stop an instance, and send it reload signals while it drains, exits and starts."""
        name = self.random.choice((*CONTROL_NAMES, *ENTRY_NAMES))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deployment.stop, name)
            for _ in range(MAX_SIGNALS):
                await trio.sleep(self.random.uniform(0, MAX_SIGNAL_PAUSE_S))
                self._reload(name)

    def _reload(self, name: str) -> None:
        """Send a reload signal once the process has had the time to ignore it.

        In the first milliseconds of an interpreter nothing can; a platform sends none then.
        """
        child = self.deployment.instances[name].child
        if child is not None and child.lines:
            self.deployment.send_signal(name, signal.SIGHUP)

    async def _pause_any(self) -> None:
        name = self.random.choice((*CONTROL_NAMES, *ENTRY_NAMES))
        await self.deployment.pause(name, self.random.uniform(*PAUSE_S))

    async def _trouble_endpoint(self) -> None:
        endpoint = self.random.choice(self.endpoints)
        endpoint.is_in_trouble = True
        await trio.sleep(self.random.uniform(*TROUBLE_S))
        endpoint.is_in_trouble = False

    async def _drain_endpoint(self) -> None:
        endpoint = self.random.choice(self.endpoints)
        endpoint.is_leaving = True
        await trio.sleep(self.random.uniform(*TROUBLE_S))
        endpoint.is_leaving = False

    async def _change_configuration(self) -> None:
        for _ in range(self.random.randint(1, MAX_CHANGES)):
            await self.operator.put(self.random.randint(0, MAX_PADDING_ROUTES))
