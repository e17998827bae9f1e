"""Control instances that are replaced for good, one after the other."""

from __future__ import annotations

import signal
import tempfile
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random

import trio

from shallotmux.checking.processes import CheckResult
from shallotmux.checking.programs._deployment import ROOT, Deployment, choose_network
from shallotmux.checking.programs._machine import NO_LIMITS
from shallotmux.checking.programs._operator import Operator
from shallotmux.checking.programs._records import Records
from shallotmux.checking.programs._standins import SERVICE

#: Time for the first start, and for the voters of a new group to be complete.
START_TIMEOUT_S = 30.0
SETTLE_S = 6.0

#: Time for a change to be acknowledged, and then to be read at an instance.
ACKNOWLEDGED_WITHIN_S = 4.0
READ_WITHIN_S = 4.0

#: Time for which a successor runs before an instance is asked to stop.
OVERLAP_S = 1.0

#: Time in which an instance that is asked to stop exits.
STOP_TIMEOUT_S = 10.0


class Departure(Enum):
    """Ways in which an instance leaves for good."""

    STANDS_STILL = 'stands still'
    KILLED = 'killed'
    STOPPED = 'stopped after its successor started'


@dataclass(frozen=True, slots=True)
class ReplacementPlan:
    """What a run consists of.

    :param tolerated: number of control instances that may be lost at once.
    :param replacement_s: time from a replacement to the next one.
    :param build: repository whose programs are run.
    :param logs: folder for the output of all processes; None to keep none.
    """

    seed: int = 1
    tolerated: int = 2
    replacement_s: float = 6.0
    controls: int = 8
    build: Path = ROOT
    logs: Path | None = None


async def run_replacements(plan: ReplacementPlan) -> CheckResult:
    """Replace all control instances one after the other, and check changes and reads after each."""
    result = CheckResult(f'replacements, seed {plan.seed}', 1)
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            series = _Series.prepare(nursery, Path(folder), plan, result)
            try:
                await series.run()
            finally:
                if plan.logs is not None:
                    series.deployment.write_logs(plan.logs / f'replacements-{plan.seed}')
                series.deployment.close()
                nursery.cancel_scope.cancel()
    result.violations.extend(series.records.problems)
    return result


@dataclass(slots=True)
class _Series:
    """Replacements in one deployment."""

    deployment: Deployment
    operator: Operator
    records: Records
    random: Random
    plan: ReplacementPlan
    result: CheckResult
    names: tuple[str, ...] = field(init=False)

    @classmethod
    def prepare(
        cls, nursery: trio.Nursery, folder: Path, plan: ReplacementPlan, result: CheckResult
    ) -> _Series:
        """Write the settings of a deployment of control instances alone."""
        records, random, network = Records(), Random(plan.seed), choose_network()
        deployment = Deployment(
            nursery,
            folder,
            records,
            # Nothing listens at the address of the platform.
            f'{network}.250:9',
            network,
            (plan.build.resolve(),),
            random,
            plan.controls,
            0,
            NO_LIMITS,
            plan.tolerated,
            plan.replacement_s,
        )
        deployment.prepare()
        operator = Operator(records, random, deployment.operator_addresses, SERVICE)
        return cls(deployment, operator, records, random, plan, result)

    def __post_init__(self) -> None:
        """Keep the names of the first instances, all of which are replaced."""
        self.names = self.deployment.control_names

    async def run(self) -> None:
        """Replace all first instances; stop at the first violation."""
        for name in self.names:
            self.deployment.keep_running(name)
        with trio.fail_after(START_TIMEOUT_S):
            await self.operator.put()
        await trio.sleep(SETTLE_S)
        # Drawn apart from the other draws, whose number depends on the time that a run takes.
        ways = Random(self.plan.seed).choices(tuple(Departure), k=len(self.names))
        for number, (name, way) in enumerate(zip(self.names, ways, strict=True)):
            started_at = trio.current_time()
            await self._replace(name, f'successor-{number}', way)
            await trio.sleep_until(started_at + self.plan.replacement_s)
            await self._check(f'after replacement {number + 1} ({way.value})')
            if self.result.violations:
                return
        self.result.figures.append(', '.join(each.value for each in ways))

    async def _replace(self, old: str, new: str, way: Departure) -> None:
        deployment = self.deployment
        deployment.instances[old].is_removed = True
        deployment.instances[old].is_asked_to_end = True
        if way is Departure.STANDS_STILL:
            deployment.send_signal(old, signal.SIGSTOP)
        elif way is Departure.KILLED:
            deployment.kill(old)
        self._start(new)
        if way is Departure.STOPPED:
            await trio.sleep(OVERLAP_S)
            with trio.move_on_after(STOP_TIMEOUT_S):
                await deployment.stop(old)

    def _start(self, name: str) -> None:
        deployment = self.deployment
        known = [deployment.instances[each].settings.host for each in deployment.control_names]
        deployment.add_instance(name, tuple(self.random.sample(known, 3)), has_disk=True)
        deployment.keep_running(name)

    async def _check(self, when: str) -> None:
        """Check that a change is acknowledged, and then read at each running instance."""
        scope = trio.move_on_after(ACKNOWLEDGED_WITHIN_S)
        with scope:
            await self.operator.put()
        if scope.cancelled_caught:
            self.result.violations.append(f'{when}: a change was not acknowledged in time')
            return
        version = self.records.acknowledged
        async with trio.open_nursery() as nursery:
            for address in self.deployment.operator_addresses():
                nursery.start_soon(self._check_read, address, version, when)

    async def _check_read(self, address: str, version: int, when: str) -> None:
        scope = trio.move_on_after(READ_WITHIN_S)
        with scope:
            await self.operator.read_until(address, version)
        if scope.cancelled_caught:
            self.result.violations.append(f'{when}: version {version} was not read at {address}')
