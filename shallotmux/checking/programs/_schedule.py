"""Random disruptions of a deployment, drawn from a seed."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import trio

from shallotmux.checking.programs._deployment import Deployment
from shallotmux.checking.programs._fleet import EndpointFleet
from shallotmux.checking.programs._operator import Operator
from shallotmux.checking.programs._starts import Starts

#: Longest pause between two disruptions.
MAX_PAUSE_S = 0.8

#: Share of disruptions that a calm time follows, and its length, after which time limits hold again.
CALM_SHARE = 0.15
CALM_S = 6.0

#: Longest time after changes in which no other change is sent, so that each may have to be in force.
MAX_SETTLE_S = 5.0

#: Shortest and longest time for which a process stands still, or an endpoint is in trouble.
PAUSE_S = (0.2, 2.5)
TROUBLE_S = (1.0, 4.0)

#: Longest time for which a process runs, and stands still, in each turn while it shares a core.
TURN_S = (0.05, 0.2)
TURNS = 20

#: Reload signals in one series, and longest pause between two.
MAX_SIGNALS = 12
MAX_SIGNAL_PAUSE_S = 0.05

#: Routes that a change of the configuration may add, and changes in one series.
MAX_PADDING_ROUTES = 600
MAX_CHANGES = 4

#: Share of the runs in which control instances are disrupted. Time limits hold in the others.
DISRUPTED_CONTROL_SHARE = 0.5

#: Share of lost disks whose instance is replaced by another one.
REPLACED_SHARE = 0.5

#: A disruption that runs until it is over.
Action = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class Schedule:
    """Disrupts a deployment at random until cancelled.

    :param disrupts_control: whether control instances are disrupted too.
    :param changing: held while changes are sent and settle.
    :param is_disk_lost: whether a control instance has lost its disk.
    """

    starts: Starts
    fleet: EndpointFleet
    operator: Operator
    random: Random
    disrupts_control: bool
    is_disk_lost: bool = False
    changing: trio.Lock = field(default_factory=trio.Lock)

    @property
    def deployment(self) -> Deployment:
        """Return the deployment that is disrupted."""
        return self.starts.deployment

    async def run(self) -> None:
        """Disrupt and change until cancelled."""
        actions = [*self._instance_actions(), *self._endpoint_actions()]
        if self.disrupts_control:
            actions.extend(self._control_actions())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._draw, actions, CALM_SHARE)
            nursery.start_soon(self._draw, self._operator_actions(), 0)

    async def _draw(self, actions: list[Action], calm_share: float) -> None:
        """Draw one action after the other; those that last overlap with the next ones."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.random.uniform(0, MAX_PAUSE_S))
                nursery.start_soon(self.random.choice(actions))
                if self.random.random() < calm_share:
                    await trio.sleep(CALM_S)

    def _instance_actions(self) -> list[Action]:
        return [
            self._stop_entry,
            self._stop_entries,
            self._kill_any,
            self._reload_in_series,
            self._restart_with_reloads,
            self._pause_any,
            self._pause_any,
            self._slow_any,
            self._restart_often,
            self._start_beside_used_ports,
            self._write_settings_in_parts,
        ]

    def _control_actions(self) -> tuple[Action, ...]:
        return (self._kill_all_controls, self._lose_disk)

    def _endpoint_actions(self) -> tuple[Action, ...]:
        return (
            self._trouble_endpoint,
            self._trouble_endpoint,
            self._drain_endpoint,
            self.fleet.join_beside_odd_entries,
        )

    def _operator_actions(self) -> list[Action]:
        return [
            self._change_configuration,
            self._change_configuration,
            self._change_at_once,
            self._change_again,
            self.operator.put_conflicting,
            self.operator.put_invalid,
        ]

    def _choose_entry(self) -> str:
        return self.random.choice(self.deployment.entry_names)

    def _choose_any(self) -> str:
        deployment = self.deployment
        if not self.disrupts_control:
            return self._choose_entry()
        return self.random.choice((*deployment.control_names, *deployment.entry_names))

    async def _stop_entry(self) -> None:
        await self.deployment.stop(self._choose_entry())

    async def _stop_entries(self) -> None:
        """Stop two instances at once, and ask one of them a second time while it drains."""
        first, second = self.random.sample(self.deployment.entry_names, 2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deployment.stop, first)
            nursery.start_soon(self.deployment.stop, second)
            await trio.sleep(self.random.uniform(0, 2))
            if self.deployment.instances[first].is_asked_to_end:
                self.deployment.send_signal(first, signal.SIGTERM)

    async def _kill_any(self) -> None:
        self.deployment.kill(self._choose_any())

    async def _kill_all_controls(self) -> None:
        for name in self.deployment.control_names:
            self.deployment.kill(name)

    async def _lose_disk(self) -> None:
        """Start a control instance with an empty data folder, at its address or at a new one.

        The group bears the loss of one disk until the instance has caught up, so there is one in a run.
        """
        if self.is_disk_lost:
            return
        self.is_disk_lost = True
        if self.random.random() < REPLACED_SHARE:
            await self.starts.replace_control()
        else:
            self.deployment.wipe(self.random.choice(self.deployment.control_names))

    async def _restart_often(self) -> None:
        await self.starts.restart_often(self._choose_any())

    async def _start_beside_used_ports(self) -> None:
        await self.starts.start_beside_used_ports(self._choose_any())

    async def _write_settings_in_parts(self) -> None:
        await self.starts.write_settings_in_parts(self._choose_any())

    async def _reload_in_series(self) -> None:
        name = self._choose_any()
        for _ in range(self.random.randint(1, MAX_SIGNALS)):
            await trio.sleep(self.random.uniform(0, MAX_SIGNAL_PAUSE_S))
            self.deployment.send_signal(name, signal.SIGHUP)

    async def _restart_with_reloads(self) -> None:
        """Stop an instance, and send it reload signals while it drains, exits and starts."""
        name = self._choose_any()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deployment.stop, name)
            for _ in range(MAX_SIGNALS):
                await trio.sleep(self.random.uniform(0, MAX_SIGNAL_PAUSE_S))
                self.deployment.send_signal(name, signal.SIGHUP)

    async def _pause_any(self) -> None:
        await self.deployment.pause(self._choose_any(), self.random.uniform(*PAUSE_S))

    async def _slow_any(self) -> None:
        """Let a process run in short turns, as with a share of a core."""
        name = self._choose_any()
        running_s, still_s = (self.random.uniform(*TURN_S) for _ in range(2))
        for _ in range(TURNS):
            await self.deployment.pause(name, still_s)
            await trio.sleep(running_s)

    async def _trouble_endpoint(self) -> None:
        endpoint = self.random.choice(self.fleet.endpoints)
        endpoint.is_in_trouble = True
        await trio.sleep(self.random.uniform(*TROUBLE_S))
        endpoint.is_in_trouble = False

    async def _drain_endpoint(self) -> None:
        endpoint = self.random.choice(self.fleet.endpoints)
        endpoint.is_leaving = True
        await trio.sleep(self.random.uniform(*TROUBLE_S))
        endpoint.is_leaving = False

    async def _change_configuration(self) -> None:
        async with self.changing:
            for _ in range(self.random.randint(1, MAX_CHANGES)):
                await self.operator.put(self.random.randint(0, MAX_PADDING_ROUTES))
            await trio.sleep(self.random.uniform(0, MAX_SETTLE_S))

    async def _change_again(self) -> None:
        async with self.changing:
            await self.operator.put_again()
            await trio.sleep(self.random.uniform(0, MAX_SETTLE_S))

    async def _change_at_once(self) -> None:
        """Send changes side by side, as two operators do."""
        async with self.changing:
            async with trio.open_nursery() as nursery:
                for _ in range(self.random.randint(2, MAX_CHANGES)):
                    nursery.start_soon(self.operator.put)
            await trio.sleep(self.random.uniform(0, MAX_SETTLE_S))
