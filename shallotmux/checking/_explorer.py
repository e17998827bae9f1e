"""Seeded exploration of schedules of a group."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import TypeAlias

from shallotmux.checking._generation import Profile, StepGenerator, draw_profile
from shallotmux.checking._history import is_linearizable
from shallotmux.checking._specifications import compare_and_set_register
from shallotmux.checking._violations import InvariantViolation
from shallotmux.checking._world import Step, World, WorldOptions
from shallotmux.errors import ShallotmuxError
from shallotmux.replication import ReplicaOptions

#: Steps of one schedule. Longer ones seldom reach states that several short ones do not.
SCHEDULE_STEPS = 1000
#: Bound on the relative difference of clock rates in the explored groups. It is far above that of
#: real clocks, so that a lease without the margin outlives an election in few schedules.
CLOCK_RATE_SPREAD = 0.25

WorldFactory: TypeAlias = Callable[[WorldOptions, int], World]


@dataclass(frozen=True, slots=True)
class Failure:
    """A schedule that breaks an invariant at its last step."""

    seed: int
    options: WorldOptions
    steps: tuple[Step, ...]
    violation: InvariantViolation


@dataclass(slots=True)
class Report:
    """What an exploration covered.

    :param commits: entries committed over all schedules.
    """

    steps: int = 0
    schedules: int = 0
    commits: int = 0
    states: set[int] = field(default_factory=set)
    failure: Failure | None = None


@dataclass(frozen=True, slots=True)
class Plan:
    """What to explore; each schedule draws what is left open.

    :param factory: builds the world; tests pass worlds with faults.
    """

    options: WorldOptions | None = None
    profile: Profile | None = None
    factory: WorldFactory = World


#: Draws the shape of the group and the kinds of steps for each schedule.
OPEN_PLAN = Plan()


def explore(seed: int, steps: int, plan: Plan = OPEN_PLAN) -> Report:
    """Explore schedules until a number of steps or the first violation."""
    report = Report()
    while report.steps < steps and report.failure is None:
        schedule_seed = seed * 1_000_000 + report.schedules
        count = min(SCHEDULE_STEPS, steps - report.steps)
        explore_schedule(report, schedule_seed, count, plan)
    return report


def explore_schedule(report: Report, seed: int, count: int, plan: Plan = OPEN_PLAN) -> None:
    """Explore one schedule and add to the report."""
    random = Random(f'schedule/{seed}')
    world = plan.factory(plan.options or draw_options(random), seed)
    generator = StepGenerator(random, world, plan.profile or draw_profile(random))
    performed: list[Step] = []
    report.schedules += 1
    try:
        for _ in range(count):
            performed.append(generator.next_step())
            perform_checked(world, performed[-1])
            report.states.add(world.state_hash())
        check_history(world)
    except InvariantViolation as violation:
        report.failure = Failure(seed, world.options, tuple(performed), violation)
    report.steps += len(performed)
    report.commits += world.invariants.committed_index


def replay(
    options: WorldOptions, seed: int, steps: Sequence[Step], factory: WorldFactory = World
) -> InvariantViolation | None:
    """Perform a schedule and return the violation that it leads to."""
    world = factory(options, seed)
    try:
        for step in steps:
            perform_checked(world, step)
        check_history(world)
    except InvariantViolation as violation:
        return violation
    return None


def perform_checked(world: World, step: Step) -> None:
    """Perform a step; an error of the replica itself counts as a violation.

    :raises InvariantViolation: if an invariant is broken.
    """
    try:
        world.perform(step)
    except InvariantViolation:
        raise
    except ShallotmuxError as error:
        raise InvariantViolation('replica-consistent', str(error)) from error


def check_history(world: World) -> None:
    """Check that the register's history is linearizable.

    :raises InvariantViolation: if it is not.
    """
    operations = [
        each for each in world.history.operations if each.call != 'get' or each.end is not None
    ]
    if not is_linearizable(operations, compare_and_set_register, 0):
        raise InvariantViolation('history-linearizable', f'{operations}')


def draw_options(random: Random) -> WorldOptions:
    """Return a group of random shape, with a lease as long as the margin allows."""
    voters = random.choice((3, 3, 4, 5))
    disks = random.choice((0, 1, 2, voters, voters))
    witnesses = random.choice((0, 0, 1))
    replica = ReplicaOptions(
        election_max_s=random.choice((0.9, 1.6)),
        lease_s=0.8,
        clock_rate_margin=CLOCK_RATE_SPREAD,
        max_batch_entries=random.choice((1, 2, 16)),
        retained_entries=random.choice((0, 5)),
    )
    return WorldOptions(replica, voters, disks, witnesses, CLOCK_RATE_SPREAD)
