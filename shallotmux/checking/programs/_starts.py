"""Starts in any order, again and again, beside ports in use and with settings that change."""

from __future__ import annotations

import signal
from dataclasses import dataclass, replace
from random import Random

import trio

from shallotmux.checking.programs._deployment import RESTART_DELAY_S, Deployment
from shallotmux.platform._samples import encode_settings

#: Longest time between the first starts in a deployment, and after which control instances follow.
START_SPREAD_S = 0.3
LATE_CONTROL_S = 4.0

#: Starts of one instance in a row, and longest time between two.
STARTS = 10
START_INTERVAL_S = 1.0

#: Shortest and longest time for which ports stay in use.
HELD_S = (0.2, 3.0)

#: Longest time for which half of a settings file is all that can be read.
HALF_WRITTEN_S = 1.5


@dataclass(slots=True)
class Starts:
    """Disrupts the starts of a deployment."""

    deployment: Deployment
    random: Random

    def start_all(self) -> None:
        """Start all instances at once, or control instances later than the others."""
        late_s = self.random.choice((0, 0, LATE_CONTROL_S))

        def delay(name: str) -> float:
            is_late = name in self.deployment.control_names
            return self.random.uniform(0, START_SPREAD_S) + late_s * is_late

        self.deployment.start_all(delay)

    async def restart_often(self, name: str) -> None:
        """Kill an instance again and again, also while it starts."""
        for _ in range(STARTS):
            self.deployment.kill(name)
            await trio.sleep(self.random.uniform(RESTART_DELAY_S, START_INTERVAL_S))

    async def start_beside_used_ports(self, name: str) -> None:
        """Stop an instance; its ports are still in use for a time when it starts again."""
        self.deployment.instances[name].held_s = self.random.uniform(*HELD_S)
        await self.deployment.stop(name)

    async def write_settings_in_parts(self, name: str) -> None:
        """Let an instance find half of its settings file for a time."""
        instance, path = self.deployment.instances[name], self.deployment.settings_path(name)
        content = encode_settings(instance.settings)
        path.write_bytes(content[: len(content) // 2])
        self.deployment.send_signal(name, signal.SIGHUP)
        await trio.sleep(self.random.uniform(0, HALF_WRITTEN_S))
        self.deployment.write_settings(name, instance.settings)

    async def replace_control(self) -> None:
        """Remove a control instance for good; another one starts at a new address with an empty disk."""
        deployment = self.deployment
        removed = self.random.choice(deployment.control_names)
        deployment.instances[removed].is_removed = True
        deployment.kill(removed)
        name = f'{removed}-successor'
        known = [deployment.instances[each].settings.host for each in deployment.control_names]
        deployment.add_instance(name, tuple(known[:2]), has_disk=True)
        host = deployment.instances[name].settings.host
        for each, instance in deployment.instances.items():
            seeds = (*known[:2], host)
            deployment.write_settings(each, replace(instance.settings, seeds=seeds))
        deployment.keep_running(name)
        await trio.lowlevel.checkpoint()
