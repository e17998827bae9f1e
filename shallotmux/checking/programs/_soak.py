"""One run: a deployment under traffic and random disruptions, and what was broken in it."""

from __future__ import annotations

import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

import trio

from shallotmux.checking.processes import CheckResult, wait_until
from shallotmux.checking.programs._callers import Callers
from shallotmux.checking.programs._configuration_promises import count_judged_probes
from shallotmux.checking.programs._delays import record_own_delays
from shallotmux.checking.programs._deployment import ROOT, Deployment, choose_network
from shallotmux.checking.programs._fleet import PLATFORM_NUMBER, STANDIN_PORT, EndpointFleet
from shallotmux.checking.programs._load import start_load
from shallotmux.checking.programs._operator import Operator
from shallotmux.checking.programs._probes import Probes
from shallotmux.checking.programs._promises import find_violations
from shallotmux.checking.programs._records import Records
from shallotmux.checking.programs._schedule import DISRUPTED_CONTROL_SHARE, Schedule
from shallotmux.checking.programs._standins import SERVICE, StandInPlatform
from shallotmux.checking.programs._starts import Starts
from shallotmux.forwarding import RetryBudgetLimits

ENDPOINTS = 4
CALLERS = 24

#: Time for the first start, and for the group to have a leader again after the last disruption.
START_TIMEOUT_S = 30.0
RECOVERY_S = 15.0

#: Budget of the settings that the stand-in platform writes.
BUDGET = RetryBudgetLimits()


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What a run consists of.

    :param builds: repositories whose programs are run side by side.
    :param load: busy processes beside the run.
    :param logs: folder for the output of all processes; None to keep none.
    """

    seed: int = 1
    duration_s: float = 20.0
    builds: tuple[Path, ...] = (ROOT,)
    controls: int = 3
    entries: int = 3
    load: int = 0
    logs: Path | None = None


async def run_soak(plan: SoakPlan) -> CheckResult:
    """Run a deployment for a time, and check what callers and endpoints saw."""
    records = Records()
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            await start_load(nursery, plan.load)
            await _run(nursery, Path(folder), records, plan)
            nursery.cancel_scope.cancel()
    result = CheckResult(f'seed {plan.seed}', 1, find_violations(records, BUDGET))
    result.figures.extend(_describe(records))
    return result


def _describe(records: Records) -> list[str]:
    answers = Counter(str(each.status) for each in records.calls)
    counts = ', '.join(f'{name}: {count}' for name, count in sorted(answers.items()))
    runs = sum(each.has_run for each in records.arrivals)
    valid = sum(each.is_valid for each in records.changes)
    return [
        f'{len(records.calls)} requests ({counts}), {runs} runs',
        f'{len(records.changes)} changes, {valid} of them valid, {len(records.readings)} reads',
        f'{count_judged_probes(records)} probes with a time limit',
        f'{records.early_reload_ends} ended by a reload signal before the program began',
        f'{len(records.own_delays)} times without a turn of the soak, {sum(records.own_delays):.1f} s',
    ]


async def _run(nursery: trio.Nursery, folder: Path, records: Records, plan: SoakPlan) -> None:
    random = Random(plan.seed)
    network = choose_network()
    platform = StandInPlatform(f'{network}.{PLATFORM_NUMBER}:{STANDIN_PORT}')
    fleet = EndpointFleet(nursery, network, records, random, platform)
    await fleet.start(ENDPOINTS)
    await nursery.start(platform.run)
    deployment = Deployment(
        nursery,
        folder,
        records,
        platform.address,
        network,
        plan.builds,
        Random(random.random()),
        plan.controls,
        plan.entries,
    )
    deployment.prepare()
    nursery.start_soon(record_own_delays, records, deployment.instances)
    starts = Starts(deployment, random)
    starts.start_all()
    operator = Operator(records, random, deployment.operator_addresses, SERVICE)
    with trio.fail_after(START_TIMEOUT_S):
        await operator.put()
        await wait_until(lambda: len(deployment.ready_entries()) == plan.entries)
    disrupts_control = random.random() < DISRUPTED_CONTROL_SHARE
    schedule = Schedule(starts, fleet, operator, random, disrupts_control)
    await _disrupt(schedule, records, plan.duration_s)
    await operator.read_back(RECOVERY_S)
    if plan.logs is not None:
        deployment.write_logs(plan.logs / f'seed-{plan.seed}')
    deployment.close()


async def _disrupt(schedule: Schedule, records: Records, duration_s: float) -> None:
    deployment, random = schedule.deployment, schedule.random

    def choose_entry() -> tuple[str, str] | None:
        ready = deployment.ready_entries()
        return random.choice(ready) if ready else None

    callers = Callers(records, random, choose_entry)
    probes = Probes(records, Random(random.random()), deployment.entry_instances)
    async with trio.open_nursery() as traffic:
        traffic.start_soon(callers.run, CALLERS)
        async with trio.open_nursery() as watchers:
            watchers.start_soon(probes.run)
            watchers.start_soon(schedule.operator.read_repeatedly)
            with trio.move_on_after(duration_s):
                await schedule.run()
            records.ended_at = trio.current_time()
            watchers.cancel_scope.cancel()
        callers.is_stopping = True
