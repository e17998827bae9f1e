"""Seeded random exploration of schedules of a simulated replication group."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol, TypeAlias

from shallotmux.checking._generation import (
    UNFENCED_PROFILE,
    Profile,
    StepGenerator,
    draw_profile,
)
from shallotmux.checking._history import is_linearizable
from shallotmux.checking._simulated_group import SimulatedGroup, SimulatedGroupOptions, Step
from shallotmux.checking._specifications import compare_and_set_register
from shallotmux.checking._unfenced import ALTERNATION_S, MAX_FLIGHT_S
from shallotmux.checking._violations import InvariantViolation
from shallotmux.errors import ShallotmuxError
from shallotmux.replication import ReplicaOptions

#: Steps of one schedule. Longer schedules seldom reach states that several short ones do not.
SCHEDULE_STEPS = 1000
#: Bound on the relative difference of clock rates in the simulated groups. It is far above that of
#: real clocks, so that a lease without the margin outlasts an election within a few schedules.
CLOCK_RATE_SPREAD = 0.25

GroupFactory: TypeAlias = Callable[[SimulatedGroupOptions, int], SimulatedGroup]


class StepSource(Protocol):
    """Generates the steps of a schedule."""

    def next_step(self) -> Step:
        """Return the next step."""


StepSourceFactory: TypeAlias = Callable[[Random, SimulatedGroup], StepSource]


@dataclass(frozen=True, slots=True)
class Failure:
    """A schedule whose last step violates an invariant."""

    seed: int
    options: SimulatedGroupOptions
    steps: tuple[Step, ...]
    violation: InvariantViolation


@dataclass(slots=True)
class Report:
    """Coverage of an exploration.

    :param commits: number of entries committed over all schedules.
    :param calls: number of calls that arrived at the target without fencing.
    :param promotions: number of learners that leaders promoted by the control plane's decisions.
    :param states: hashes of the distinct protocol states that were reached.
    """

    steps: int = 0
    schedules: int = 0
    commits: int = 0
    calls: int = 0
    promotions: int = 0
    states: set[int] = field(default_factory=set)
    failure: Failure | None = None


def draw_options(random: Random) -> SimulatedGroupOptions:
    """Return random group options with the longest lease that the clock margin allows."""
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
    return SimulatedGroupOptions(replica, voters, disks, witnesses, CLOCK_RATE_SPREAD)


@dataclass(frozen=True, slots=True)
class Plan:
    """What to explore; options that are None are drawn at random for each schedule.

    :param factory: builds the simulated group; tests pass groups with injected bugs.
    :param draw_options: draws the options of a schedule.
    :param source: builds the generator of the steps; one that draws by the profile by default.
    """

    options: SimulatedGroupOptions | None = None
    profile: Profile | None = None
    factory: GroupFactory = SimulatedGroup
    draw_options: Callable[[Random], SimulatedGroupOptions] = draw_options
    source: StepSourceFactory | None = None
    schedule_steps: int = SCHEDULE_STEPS


#: Calls of leaders to a target without fencing. The delay of a new leader is that of the control
#: group, see :func:`shallotmux.control.takeover_delay_s`, on a clock that may be fast.
UNFENCED_PLAN = Plan(
    SimulatedGroupOptions(
        ReplicaOptions(election_max_s=1.2, lease_s=0.8, clock_rate_margin=CLOCK_RATE_SPREAD),
        clock_rate_spread=CLOCK_RATE_SPREAD,
        takeover_delay_s=(1 + CLOCK_RATE_SPREAD) * ((ALTERNATION_S + MAX_FLIGHT_S) / 2 + 0.1),
    ),
    UNFENCED_PROFILE,
)

#: Draws the group options and the profile of each schedule at random.
DEFAULT_PLAN = Plan()


def explore(seed: int, steps: int, plan: Plan = DEFAULT_PLAN) -> Report:
    """Explore schedules until a number of steps is reached or an invariant is violated."""
    report = Report()
    while report.steps < steps and report.failure is None:
        schedule_seed = seed * 1_000_000 + report.schedules
        step_count = min(plan.schedule_steps, steps - report.steps)
        explore_schedule(report, schedule_seed, step_count, plan)
    return report


def explore_schedule(report: Report, seed: int, step_count: int, plan: Plan = DEFAULT_PLAN) -> None:
    """Explore one schedule and add its results to the report."""
    random = Random(f'schedule/{seed}')
    group = plan.factory(plan.options or plan.draw_options(random), seed)
    generator = _step_source(plan, random, group)
    performed: list[Step] = []
    report.schedules += 1
    try:
        for _ in range(step_count):
            performed.append(generator.next_step())
            perform_checked(group, performed[-1])
            report.states.add(group.state_hash())
        check_history(group)
    except InvariantViolation as violation:
        report.failure = Failure(seed, group.options, tuple(performed), violation)
    report.steps += len(performed)
    report.commits += group.invariants.committed_index
    report.calls += group.calls.target.arrived_count
    report.promotions += group.promotions


def _step_source(plan: Plan, random: Random, group: SimulatedGroup) -> StepSource:
    if plan.source is not None:
        return plan.source(random, group)
    return StepGenerator(random, group, plan.profile or draw_profile(random))


def replay(
    options: SimulatedGroupOptions,
    seed: int,
    steps: Sequence[Step],
    factory: GroupFactory = SimulatedGroup,
) -> InvariantViolation | None:
    """Replay a schedule and return the first violation, or None."""
    group = factory(options, seed)
    try:
        for step in steps:
            perform_checked(group, step)
        check_history(group)
    except InvariantViolation as violation:
        return violation
    return None


def perform_checked(group: SimulatedGroup, step: Step) -> None:
    """Perform a step and treat an error raised by the replica as a violation.

    :raises InvariantViolation: if an invariant is violated.
    """
    try:
        group.perform(step)
    except InvariantViolation:
        raise
    except ShallotmuxError as error:
        raise InvariantViolation('replica-consistent', str(error)) from error


def check_history(group: SimulatedGroup) -> None:
    """Check that the history of the register is linearizable.

    :raises InvariantViolation: if it is not.
    """
    operations = [
        each for each in group.history.operations if each.call != 'get' or each.end is not None
    ]
    if not is_linearizable(operations, compare_and_set_register, 0):
        raise InvariantViolation('history-linearizable', f'{operations}')
