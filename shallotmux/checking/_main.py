"""Command that explores random schedules of a simulated replication group."""

from __future__ import annotations

import sys
import time

import click

from shallotmux.checking._explorer import DEFAULT_PLAN, UNFENCED_PLAN, explore
from shallotmux.checking._managed_plan import managed_plan
from shallotmux.checking._shrinking import MAX_SHRINK_REPLAYS, format_trace, shrink

#: Limit of replays in one shrink of a schedule of replacements; each takes one to two seconds.
MANAGED_SHRINK_REPLAYS = 100


@click.command()
@click.option('--seed', default=1, show_default=True, help='Seed of the random schedules.')
@click.option(
    '--steps', default=200_000, show_default=True, help='Total number of steps of all schedules.'
)
@click.option(
    '--unfenced', is_flag=True, help='Explore calls of leaders to a target that checks no tokens.'
)
@click.option(
    '--replacements',
    type=click.IntRange(min=0),
    metavar='TOLERATED',
    help='Explore lost instances that new ones replace, with a number of tolerated losses; 0: any.',
)
def main(seed: int, steps: int, unfenced: bool, replacements: int | None) -> None:
    """Explore a simulated replication group under faults and check its invariants."""
    plan = UNFENCED_PLAN if unfenced else DEFAULT_PLAN
    if replacements is not None:
        plan = managed_plan(replacements or None)
    started = time.perf_counter()
    report = explore(seed, steps, plan)
    elapsed_s = time.perf_counter() - started
    click.echo(
        f'seed {seed}: {report.steps} steps, {len(report.states)} distinct states, '
        f'{report.schedules} schedules, {report.commits} commits, {report.calls} calls, '
        f'{report.promotions} promotions, {elapsed_s:.1f} s'
    )
    if report.failure is None:
        click.echo('no violation')
        return
    click.echo(f'violation in the schedule of seed {report.failure.seed}; shrinking')
    replays = MAX_SHRINK_REPLAYS if replacements is None else MANAGED_SHRINK_REPLAYS
    shortest = shrink(report.failure, plan.factory, replays)
    for line in format_trace(shortest, plan.factory):
        click.echo(line)
    sys.exit(1)
